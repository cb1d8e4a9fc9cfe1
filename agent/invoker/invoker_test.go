package invoker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/deduplicator"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/standin/plain"
)

// agentTrio is three agents of one service that mirror records to each other.
type agentTrio struct {
	t        *testing.T
	service  *plain.Service
	server   *httptest.Server
	url      string
	invokers map[string]*Invoker
	// unreachable holds the agents that the others can't reach.
	unreachable map[string]bool
}

// newAgentTrio returns the agents a, b and c with a service that counts its runs.
func newAgentTrio(t *testing.T) *agentTrio {
	t.Helper()
	trio := &agentTrio{
		t: t, service: plain.New(0), invokers: make(map[string]*Invoker), unreachable: make(map[string]bool),
	}
	server := httptest.NewServer(trio.service.Handler())
	t.Cleanup(server.Close)
	trio.server, trio.url = server, server.URL
	for _, name := range []string{"a", "b", "c"} {
		trio.restart(name, "1")
	}
	return trio
}

// restart replaces an agent by one without records.
func (trio *agentTrio) restart(name, incarnation string) {
	records := deduplicator.New(time.Hour, 100)
	trio.invokers[name] = New(trio.url, name+incarnation, records, time.Hour, http.DefaultClient, trio.mirror)
}

func (trio *agentTrio) mirror(_ context.Context, address string, m fleet.MirrorUpdate) (fleet.MirrorUpdate, error) {
	if trio.unreachable[address] {
		return fleet.MirrorUpdate{}, errors.New("agent unreachable")
	}
	return trio.invokers[address].HandleMirror(m), nil
}

// wantCall runs the same keyed call at an agent and compares the outcome.
func (trio *agentTrio) wantCall(name string, want fleet.CallOutcome) {
	trio.t.Helper()
	call := fleet.CallRequest{
		Account: "studio", Service: "bookings", Name: "pay", IdempotencyKey: "k", BodyDigest: 1, Body: []byte("m"),
	}
	for _, other := range []string{"a", "b", "c"} {
		if other != name {
			call.MirrorAgents = append(call.MirrorAgents, other)
		}
	}
	if got := trio.invokers[name].Call(context.Background(), call); got.Outcome != want {
		trio.t.Errorf("call at agent %s: got outcome %s, want %s", name, got.Outcome, want)
	}
}

// wantRuns compares the number of times that the service ran the call.
func (trio *agentTrio) wantRuns(want int) {
	trio.t.Helper()
	if got := len(trio.service.Executions()); got != want {
		trio.t.Errorf("the call ran %d times, want %d", got, want)
	}
}

// TestUnknownOutcomeIsNotForgottenAfterRestart guards against a call that runs again after its outcome was unknown and
// its agent has restarted without records. The mirrors still have the record.
func TestUnknownOutcomeIsNotForgottenAfterRestart(t *testing.T) {
	trio := newAgentTrio(t)
	trio.service.FailNext(1)
	trio.wantCall("a", fleet.CallUnknown)
	trio.restart("a", "2")
	trio.wantCall("b", fleet.CallUnknown)
	trio.wantCall("a", fleet.CallUnknown)
	trio.wantRuns(1)
}

// TestAnswerIsNotLostWhenTwoAgentsRestart guards against a completed call that runs again, or whose answer is lost,
// after two of its three agents have restarted without records.
func TestAnswerIsNotLostWhenTwoAgentsRestart(t *testing.T) {
	trio := newAgentTrio(t)
	trio.wantCall("a", fleet.CallDone)
	trio.restart("a", "2")
	trio.restart("b", "2")
	trio.wantCall("b", fleet.CallDone)
	trio.wantRuns(1)
}

// TestCallDoesNotRunWithoutQuorum guards against a call that runs while no mirror stores its record. Both mirrors are
// unreachable at first; the call runs once they can be reached.
func TestCallDoesNotRunWithoutQuorum(t *testing.T) {
	trio := newAgentTrio(t)
	trio.unreachable["b"], trio.unreachable["c"] = true, true
	trio.wantCall("a", fleet.CallNotExecuted)
	trio.wantRuns(0)
	trio.unreachable = map[string]bool{}
	trio.wantCall("b", fleet.CallDone)
	trio.wantRuns(1)
}

// TestRefusedConnectionIsReportedAsNotRun guards against a call that is reported as possibly run, or whose key stays
// in use, although the service refused the connection.
func TestRefusedConnectionIsReportedAsNotRun(t *testing.T) {
	trio := newAgentTrio(t)
	closed := httptest.NewServer(trio.service.Handler())
	closed.Close()
	for _, invoker := range trio.invokers {
		invoker.serviceURL = closed.URL
	}
	trio.wantCall("a", fleet.CallNotExecuted)
	for _, invoker := range trio.invokers {
		invoker.serviceURL = trio.url
	}
	trio.wantCall("c", fleet.CallDone)
	trio.wantRuns(1)
}

// TestPartOfAnswerIsRecordedAsWhole guards against an answer that is recorded under its key, and repeated for ever, as
// whole although nobody marked its end, its service crashed or it is too long.
func TestPartOfAnswerIsRecordedAsWhole(t *testing.T) {
	for name, c := range map[string]struct {
		body     string
		unframed bool
		crash    bool
		want     fleet.CallOutcome
		unmarked bool
	}{
		"framed":           {"answer", false, false, fleet.CallDone, false},
		"unframed":         {"answer", true, false, fleet.CallDone, true},
		"service crashed":  {"ans", true, true, fleet.CallUnknown, false},
		"longest":          {strings.Repeat("x", maxAnswerBytes), false, false, fleet.CallDone, false},
		"too long":         {strings.Repeat("x", maxAnswerBytes+1), false, false, fleet.CallUnknown, false},
		"framed and crash": {"answer", false, true, fleet.CallDone, false},
	} {
		t.Run(name, func(t *testing.T) {
			trio := newAgentTrio(t)
			trio.service.SetAnswer(c.body, c.unframed, func() {
				if c.crash {
					_ = trio.server.Listener.Close()
				}
			})
			call := fleet.CallRequest{
				Account: "studio", Service: "bookings", Name: "pay", IdempotencyKey: "k", BodyDigest: 1, MirrorAgents: []string{"b", "c"},
			}
			for _, agent := range []string{"a", "b"} {
				got := trio.invokers[agent].Call(context.Background(), call)
				if got.Outcome != c.want || got.EndUnmarked != c.unmarked || (c.want == fleet.CallDone && got.Result != c.body) {
					t.Errorf("agent %s: got outcome %s, unmarked %t, %d bytes", agent, got.Outcome, got.EndUnmarked, len(got.Result))
				}
			}
			trio.wantRuns(1)
		})
	}
}
