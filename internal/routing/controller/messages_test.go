package controller_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
)

// A process that was suspended first sends its state and then reads a message that waited meanwhile. The configuration
// must not seem confirmed at the time of reading: its keys may have been withdrawn since.
func TestMessageThatWaitedConfirmsConfig(t *testing.T) {
	g := newGateway(t, profiler.Usage{})
	g.tracker.Accept(matcher.New(matcher.Config{Version: 1}), 0, 1)
	g.now = 5 * time.Second
	g.Compose(false)
	g.Receive(broadcaster.Message{
		From: "peer", Incarnation: 1, ConfigVersion: 1, ConfigAgeMs: 300, Age: 4 * time.Second, AgeKnown: true,
	})
	if _, age := g.tracker.Active(); age < 4300*time.Millisecond {
		t.Errorf("got age %v of the configuration, want at least the 4.3s of the message", age)
	}
}

// The first messages of a peer may all have waited while this process was suspended. Nothing that they say may seem current
// before their age is known: a withdrawn key was accepted for 1.4 s too long (review/3), and loads of endpoints were taken for
// the latest.
func TestMessageOfUnknownAgeConfirmsConfig(t *testing.T) {
	g := newGateway(t, profiler.Usage{})
	g.tracker.Accept(matcher.New(matcher.Config{Version: 1}), 0, 1)
	g.now = 5 * time.Second
	g.Receive(broadcaster.Message{From: "peer", Incarnation: 1, ConfigVersion: 1, ConfigAgeMs: 300, SentAtMs: 1})
	if _, age := g.tracker.Active(); age != 5*time.Second {
		t.Errorf("got age %v of the configuration after a message of unknown age, want it unchanged, 5s", age)
	}
	g.Receive(broadcaster.Message{From: "peer", Incarnation: 1, ConfigVersion: 1, ConfigAgeMs: 300, SentAtMs: 1, AgeKnown: true})
	if _, age := g.tracker.Active(); age != 300*time.Millisecond {
		t.Errorf("got age %v of the configuration after a fresh message, want its 300ms", age)
	}
}

// What an account had left some seconds ago has been spent since. A gateway that was suspended right after its start took it
// over from a message that had waited.
func TestAvailableTokensOfMessageThatWaitedAreTakenOver(t *testing.T) {
	for name, c := range map[string]struct {
		age   time.Duration
		known bool
		want  bool
	}{
		"fresh":          {100 * time.Millisecond, true, true},
		"waited":         {3 * time.Second, true, false},
		"of unknown age": {0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t, profiler.Usage{})
			g.Configure(matcher.New(matcher.Config{Version: 1, Accounts: []matcher.Account{
				{Name: "acc", TokensPerSecond: 1000, BurstTokens: 100000},
			}}))
			g.Receive(broadcaster.Message{
				From: "peer", Incarnation: 1, SentAtMs: 1, AvailableTokens: map[string]float64{"acc": 50000}, Age: c.age, AgeKnown: c.known,
			})
			if taken := g.AvailableTokens()["acc"] == 50000; taken != c.want {
				t.Errorf("got available tokens %v, want those of the message taken over: %t", g.AvailableTokens()["acc"], c.want)
			}
		})
	}
}

// Loads and orders in a message that waited while this process was suspended are from before that. Loads counted as the latest
// ones, so that a generation was queued before free endpoints, and an order as one that is being carried out.
func TestLoadsOfMessageThatWaitedAreCurrent(t *testing.T) {
	for name, c := range map[string]struct {
		age     time.Duration
		loads   bool
		running bool
	}{
		"fresh":       {50 * time.Millisecond, false, true},
		"waited":      {4 * time.Second, false, false},
		"loads alone": {4 * time.Second, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGateway(t, profiler.Usage{})
			g.now = time.Minute
			m := broadcaster.Message{From: "peer", Incarnation: 1, SentAtMs: 1, Age: c.age, AgeKnown: true, LoadsOnly: c.loads}
			for i := range 9 {
				l := broadcaster.Load{Endpoint: fmt.Sprintf("e%d", i)}
				for range 12 {
					l.RunningRequests = append(l.RunningRequests, [3]int{5000, 1000, 10})
				}
				m.Loads = append(m.Loads, l)
			}
			m.OrderAgesMs = map[string]int64{"e8": 8500}
			g.Receive(m)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
			defer cancel()
			_, d := g.ScheduleGeneration(ctx, planner.Request{
				Account: "a", Service: "m", PromptTokens: 1000, ExpectedOutputTokens: 100, FirstEventDeadline: g.now + time.Second,
				CallerDeadline: g.now + time.Second,
			})
			if queued := d.Plan == nil; queued != c.running {
				t.Errorf("got decision %+v, want the generation queued: %t", d, c.running)
			}
			composed, _ := g.Compose(false)
			if _, recent := composed.OrderAgesMs["e8"]; recent != c.running {
				t.Errorf("got orders %v, want the one to e8 among them: %t", composed.OrderAgesMs, c.running)
			}
		})
	}
}
