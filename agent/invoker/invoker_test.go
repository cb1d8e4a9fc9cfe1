package invoker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/deduplicator"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/standin/plain"
)

// agentTrio is three agents of one service that mirror to each other.
type agentTrio struct {
	t        *testing.T
	service  *plain.Plain
	url      string
	invokers map[string]*Invoker
	// unreachable holds the agents that can't be reached.
	unreachable map[string]bool
}

func newAgentTrio(t *testing.T) *agentTrio {
	t.Helper()
	trio := &agentTrio{
		t: t, service: plain.New(0), invokers: make(map[string]*Invoker), unreachable: make(map[string]bool),
	}
	server := httptest.NewServer(trio.service.Handler())
	t.Cleanup(server.Close)
	trio.url = server.URL
	for _, name := range []string{"a", "b", "c"} {
		trio.restart(name, "1")
	}
	return trio
}

// restart starts an agent with an empty memory.
func (trio *agentTrio) restart(name, incarnation string) {
	records := deduplicator.New(time.Hour, 100)
	trio.invokers[name] = New(trio.url, name+incarnation, records, time.Hour, http.DefaultClient, trio.mirror)
}

func (trio *agentTrio) mirror(_ context.Context, address string, m fleet.Mirror) (fleet.Mirror, error) {
	if trio.unreachable[address] {
		return fleet.Mirror{}, errors.New("cut off")
	}
	return trio.invokers[address].HandleMirror(m), nil
}

func (trio *agentTrio) wantCall(name string, want fleet.CallOutcome) {
	trio.t.Helper()
	call := fleet.Call{Account: "studio", Service: "bookings", Name: "pay", Key: "k", Digest: 1, Body: []byte("m")}
	for _, other := range []string{"a", "b", "c"} {
		if other != name {
			call.Mirrors = append(call.Mirrors, other)
		}
	}
	if got := trio.invokers[name].Call(context.Background(), call); got.Outcome != want {
		trio.t.Errorf("call at %s: %s, want %s", name, got.Outcome, want)
	}
}

func (trio *agentTrio) wantRuns(want int) {
	trio.t.Helper()
	if got := len(trio.service.Runs()); got != want {
		trio.t.Errorf("the call ran %d times, want %d", got, want)
	}
}

func TestUnknownOutcomeIsNotForgottenAfterRestart(t *testing.T) {
	trio := newAgentTrio(t)
	trio.service.FailNext(1)
	trio.wantCall("a", fleet.CallUnknown)
	trio.restart("a", "2")
	trio.wantCall("b", fleet.CallUnknown)
	trio.wantCall("a", fleet.CallUnknown)
	trio.wantRuns(1)
}

func TestAnswerIsNotLostWhenTwoAgentsRestart(t *testing.T) {
	trio := newAgentTrio(t)
	trio.wantCall("a", fleet.CallDone)
	trio.restart("a", "2")
	trio.restart("b", "2")
	trio.wantCall("b", fleet.CallDone)
	trio.wantRuns(1)
}

// TestCallDoesNotRunWithoutQuorum cuts both mirrors off; once they are back the call runs.
func TestCallDoesNotRunWithoutQuorum(t *testing.T) {
	trio := newAgentTrio(t)
	trio.unreachable["b"], trio.unreachable["c"] = true, true
	trio.wantCall("a", fleet.CallNotRun)
	trio.wantRuns(0)
	trio.unreachable = map[string]bool{}
	trio.wantCall("b", fleet.CallDone)
	trio.wantRuns(1)
}

// TestRefusedConnectionIsReportedAsNotRun stops the service: nothing ran, and the key is free again.
func TestRefusedConnectionIsReportedAsNotRun(t *testing.T) {
	trio := newAgentTrio(t)
	closed := httptest.NewServer(trio.service.Handler())
	closed.Close()
	for _, invoker := range trio.invokers {
		invoker.serviceURL = closed.URL
	}
	trio.wantCall("a", fleet.CallNotRun)
	for _, invoker := range trio.invokers {
		invoker.serviceURL = trio.url
	}
	trio.wantCall("c", fleet.CallDone)
	trio.wantRuns(1)
}
