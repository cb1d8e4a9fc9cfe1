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

// trio is three agents of one service that mirror to each other.
type trio struct {
	t        *testing.T
	service  *plain.Plain
	url      string
	invokers map[string]*Invoker
	// cut holds the agents that can't be reached.
	cut map[string]bool
}

func newTrio(t *testing.T) *trio {
	t.Helper()
	w := &trio{t: t, service: plain.New(0), invokers: make(map[string]*Invoker), cut: make(map[string]bool)}
	server := httptest.NewServer(w.service.Handler())
	t.Cleanup(server.Close)
	w.url = server.URL
	for _, name := range []string{"a", "b", "c"} {
		w.restart(name, "1")
	}
	return w
}

// restart starts an agent with an empty memory.
func (w *trio) restart(name, incarnation string) {
	memory := deduplicator.New(time.Hour, 100)
	w.invokers[name] = New(w.url, name+incarnation, memory, time.Hour, http.DefaultClient, w.mirror)
}

func (w *trio) mirror(_ context.Context, address string, m fleet.Mirror) (fleet.Mirror, error) {
	if w.cut[address] {
		return fleet.Mirror{}, errors.New("cut off")
	}
	return w.invokers[address].HandleMirror(m), nil
}

func (w *trio) wantCall(name string, want fleet.CallOutcome) {
	w.t.Helper()
	call := fleet.Call{Account: "studio", Service: "bookings", Name: "pay", Key: "k", Digest: 1, Body: []byte("m")}
	for _, other := range []string{"a", "b", "c"} {
		if other != name {
			call.Mirrors = append(call.Mirrors, other)
		}
	}
	if got := w.invokers[name].Call(context.Background(), call); got.Outcome != want {
		w.t.Errorf("call at %s: %s, want %s", name, got.Outcome, want)
	}
}

func (w *trio) wantRuns(want int) {
	w.t.Helper()
	if got := len(w.service.Runs()); got != want {
		w.t.Errorf("the call ran %d times, want %d", got, want)
	}
}

func TestUnknownOutcomeIsKnownToTheMirrors(t *testing.T) {
	w := newTrio(t)
	w.service.FailNext(1)
	w.wantCall("a", fleet.CallUnknown)
	w.restart("a", "2")
	w.wantCall("b", fleet.CallUnknown)
	w.wantCall("a", fleet.CallUnknown)
	w.wantRuns(1)
}

func TestAnswerSurvivesTheLossOfTwo(t *testing.T) {
	w := newTrio(t)
	w.wantCall("a", fleet.CallDone)
	w.restart("a", "2")
	w.restart("b", "2")
	w.wantCall("b", fleet.CallDone)
	w.wantRuns(1)
}

// TestNothingRunsWithoutASecondMemory cuts both mirrors off; once they are back the call runs.
func TestNothingRunsWithoutASecondMemory(t *testing.T) {
	w := newTrio(t)
	w.cut["b"], w.cut["c"] = true, true
	w.wantCall("a", fleet.CallNotRun)
	w.wantRuns(0)
	w.cut = map[string]bool{}
	w.wantCall("b", fleet.CallDone)
	w.wantRuns(1)
}

// TestRefusedConnectionIsNotRun stops the service: nothing ran, and the key is free again.
func TestRefusedConnectionIsNotRun(t *testing.T) {
	w := newTrio(t)
	closed := httptest.NewServer(w.service.Handler())
	closed.Close()
	for _, invoker := range w.invokers {
		invoker.service = closed.URL
	}
	w.wantCall("a", fleet.CallNotRun)
	for _, invoker := range w.invokers {
		invoker.service = w.url
	}
	w.wantCall("c", fleet.CallDone)
	w.wantRuns(1)
}
