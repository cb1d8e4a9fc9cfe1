package verifier_test

import (
	"strings"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/verifier"
)

var start = time.Unix(1000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// history is one in which nothing is wrong.
func history() verifier.History {
	return verifier.History{
		Bounds: verifier.Bounds{
			Revoke: 5 * time.Second, Drain: 2 * time.Second, Gone: 500 * time.Millisecond, Window: 8 * time.Second, Overage: 0.25, Slack: 100,
			RepeatRatio: 0.2, RepeatExtra: 2, RepeatWindow: 10 * time.Second,
		},
		Requests: []verifier.Request{
			{ID: "a", Kind: verifier.Once, Account: "acc", Key: "k", Tokens: 10, Sent: at(0), Ended: at(100), Status: 200},
			{ID: "b", Kind: verifier.Again, Account: "acc", Key: "k", Tokens: 10, Sent: at(50), Ended: at(900), Status: 200},
			{ID: "c", Kind: verifier.Once, Account: "acc", Key: "k", Tokens: 10, Sent: at(60), Ended: at(70), Status: 503},
		},
		Runs: []verifier.Run{
			{ID: "a", Account: "acc", Endpoint: "e1", Began: at(10), Ended: at(90)},
			{ID: "b", Account: "acc", Endpoint: "e1", Began: at(60), Ended: at(80)},
			{ID: "b", Account: "acc", Endpoint: "e2", Began: at(100), Ended: at(890)},
		},
		Plans: map[string]verifier.Plan{"acc": {Rate: 10, Burst: 10}}, Withdrawn: map[string]time.Time{}, Leaving: map[string]time.Time{},
		Calm: func(time.Time, time.Time) bool { return true },
	}
}

func TestNothingIsFoundWhereNothingIsWrong(t *testing.T) {
	if f := verifier.New(history()).Check(); len(f) > 0 {
		t.Errorf("found %v", f)
	}
}

func TestBrokenPromisesAreFound(t *testing.T) {
	for promise, spoil := range map[string]func(h *verifier.History){
		"at most once": func(h *verifier.History) {
			h.Runs = append(h.Runs, verifier.Run{ID: "a", Account: "acc", Endpoint: "e2", Began: at(20), Ended: at(90)})
		},
		"true refusals": func(h *verifier.History) {
			h.Runs = append(h.Runs, verifier.Run{ID: "c", Account: "acc", Endpoint: "e2", Began: at(200), Ended: at(300)})
		},
		"own whole answer":  func(h *verifier.History) { h.Requests[0].Spoilt = "another request's answer" },
		"own account":       func(h *verifier.History) { h.Runs[0].Account = "other" },
		"keys stay here":    func(h *verifier.History) { h.Runs[0].KeySeen = true },
		"only asked runs":   func(h *verifier.History) { h.Runs[0].ID = "nobody's" },
		"withdrawn keys":    func(h *verifier.History) { h.Withdrawn["k"] = at(-5001) },
		"leaving endpoints": func(h *verifier.History) { h.Leaving["e1"] = at(-2001) },
		"no work for callers gone": func(h *verifier.History) {
			h.Requests[1].Left = at(300)
		},
		"served after recovery": func(h *verifier.History) {
			h.Plans, h.Settled, h.Requests[2].Status = nil, at(55), 502
		},
		"orderly ends": func(h *verifier.History) {
			h.Stops = []verifier.Stop{{From: at(-10), To: at(1000)}}
			h.Requests[0].Status = 0
		},
		"limits": func(h *verifier.History) { h.Requests[0].Tokens = 300 },
		"repeats": func(h *verifier.History) {
			for i := range 3 {
				h.Runs = append(h.Runs, verifier.Run{ID: "b", Account: "acc", Endpoint: "e3", Began: at(110 + i), Ended: at(890)})
			}
		},
	} {
		h := history()
		spoil(&h)
		found := false
		for _, f := range verifier.New(h).Check() {
			found = found || strings.HasPrefix(f.String(), promise+": ")
		}
		if !found {
			t.Errorf("a break of %q was not found", promise)
		}
	}
}
