package controller_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/config/tracker"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/capper"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/limits/retrier"
	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/controller"
	"github.com/pistachiovane/pistachiovane/internal/routing/fencer"
	"github.com/pistachiovane/pistachiovane/internal/routing/planner"
	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
)

// gateway is a controller under test with a clock that the test sets.
type gateway struct {
	*controller.Controller
	now     time.Duration
	tracker *tracker.Tracker
}

// newGateway returns the controller of a gateway before nine endpoints, of which the first four are prefill endpoints.
func newGateway(t *testing.T, initial profiler.Usage) *gateway {
	t.Helper()
	g := &gateway{}
	clock := func() time.Duration { return g.now }
	g.tracker = tracker.New(clock)
	g.Controller = controller.New(controller.Components{
		Clock: clock, Tracker: g.tracker,
		Planner: planner.New(planner.Options{
			Domain: "a", PrefillRate: 50000, DecodeRate: 1550, MaxMemoryFraction: 0.9, MaxPrefillWait: 450 * time.Millisecond,
			MaxQueueWait: 2500 * time.Millisecond, MaxLoadAge: 1500 * time.Millisecond,
		}, rand.New(rand.NewPCG(1, 1))),
		Suspender: suspender.New(rand.New(rand.NewPCG(1, 1))),
		Balancer:  balancer.New("a", rand.New(rand.NewPCG(1, 1)), nil), Capper: capper.New(capper.Options{MinGateways: 1}, 0),
		Retrier: retrier.New(retrier.Options{Window: time.Second}),
		Rebalancer: rebalancer.New(rebalancer.Options{
			MinGenerations: 20, PrefillReserve: 0.5, MinGain: 1.1, UrgentGain: 1.5, LeaderSettleTime: 4 * time.Second,
			MinOrderInterval: 15 * time.Second,
		}),
		Profiler: profiler.New(profiler.Options{DecayTime: 20 * time.Second, MaxPeerAge: 3 * time.Second}),
		Fencer:   fencer.New(), CrashTracker: crashtracker.New(time.Minute, 16), InitialUsage: initial,
		Log: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	})
	g.Configure(matcher.New(matcher.Config{Version: 1, Services: []matcher.Service{
		{Name: "m", Engine: &matcher.Engine{Slots: 12, KVCapacityTokens: 100000}},
	}}))
	var list []lister.Endpoint
	for i := range 9 {
		list = append(list, lister.Endpoint{
			ID: fmt.Sprintf("e%d", i), Address: "x", Service: "m", Domain: "a", Slots: 12, Model: true, Prefill: i < 4,
		})
	}
	g.SetEndpoints(list)
	return g
}

// rebalance lets the gateway decide as the leader once a second until the given time, and returns all its orders.
func (g *gateway) rebalance(until time.Duration) []controller.StageChange {
	var orders []controller.StageChange
	for ; g.now < until; g.now += time.Second {
		orders = append(orders, g.Rebalance(true, 3, 3)...)
	}
	return orders
}

// Before the first traffic an order costs nothing. A restarted system must not go back to assumptions: its split may
// have been adapted to the traffic.
func TestAssumedUsageAppliesOnlyBeforeFirstTraffic(t *testing.T) {
	assumed := profiler.Usage{Generations: 20, PrefillSeconds: 1, DecodeSeconds: 3}
	if got := newGateway(t, assumed).rebalance(10 * time.Second); len(got) != 1 || got[0].ToPrefill {
		t.Errorf("first start: got orders %+v, want one for decode", got)
	}
	if got := newGateway(t, profiler.Usage{}).rebalance(10 * time.Second); len(got) != 0 {
		t.Errorf("restart: got orders %+v, want none", got)
	}
	g := newGateway(t, assumed)
	peer := newGateway(t, profiler.Usage{})
	peer.runGenerations(t, 1)
	m, _ := peer.Compose(false)
	m.From = "peer"
	g.Receive(m)
	if got := g.rebalance(10 * time.Second); len(got) != 0 {
		t.Errorf("after the first generation at a peer: got orders %+v, want none", got)
	}
}

// runGenerations runs generations with prompts of 5000 tokens, 100 ms of prefill and 3 s of decode, one after another
// within 10 s.
func (g *gateway) runGenerations(t *testing.T, count int) {
	t.Helper()
	for range count {
		g.now += 10 * time.Second / time.Duration(count)
		id, d := g.ScheduleGeneration(t.Context(), planner.Request{
			Account: "acc", Service: "m", PromptTokens: 5000, ExpectedOutputTokens: 400,
			FirstEventDeadline: g.now + time.Second, CallerDeadline: g.now + 4*time.Second,
		})
		if d.Plan == nil {
			t.Fatalf("got %+v, want a start", d)
		}
		g.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision {
			p.RecordPrefill(id, 100*time.Millisecond, now)
			return nil
		})
		g.RecordDecode(id, 400, 3*time.Second)
		g.UpdatePlanner(func(p *planner.Planner, now time.Duration) []planner.Decision { return p.End(id, now) })
	}
}

// The leader serves only a part of the traffic. It must decide on that of all gateways, and every gateway must stop
// using an endpoint that the leader has ordered to change its stage.
func TestLeaderDecidesOnTrafficOfAllGateways(t *testing.T) {
	leader, peer := newGateway(t, profiler.Usage{}), newGateway(t, profiler.Usage{})
	peer.runGenerations(t, 30)
	m, _ := peer.Compose(false)
	m.From = "peer"
	leader.now = 4 * time.Second
	leader.Rebalance(true, 3, 3)
	leader.now = 8 * time.Second
	leader.Receive(m)
	orders := leader.Rebalance(true, 3, 3)
	if len(orders) != 1 || orders[0].ToPrefill {
		t.Fatalf("got orders %+v, want one for decode: 30 generations use 0.1 s of prefill and 0.26 s of decode", orders)
	}
	token := leader.NextFencingToken("leader", time.UnixMilli(1778120205064))
	m, _ = leader.Compose(false)
	m.From = "leader"
	if age, ok := m.OrderAgesMs[orders[0].ID]; !ok || age != 0 || len(m.PrefillOrders) != 0 {
		t.Errorf("got order ages %v and prefill orders %v, want a new order for %s", m.OrderAgesMs, m.PrefillOrders, orders[0].ID)
	}
	peer.Receive(m)
	if next := peer.NextFencingToken("peer", time.UnixMilli(1)); next <= token {
		t.Errorf("got token %d of the peer, want one above %d of the leader", next, token)
	}
	for range 40 {
		_, d := peer.ScheduleGeneration(t.Context(), planner.Request{
			Account: "acc", Service: "m", PromptTokens: 100, ExpectedOutputTokens: 10,
			FirstEventDeadline: peer.now + time.Second, CallerDeadline: peer.now + 4*time.Second,
		})
		if d.Plan == nil || d.Plan.Prefill == nil {
			t.Fatalf("got %+v, want a start with a prefill endpoint", d)
		}
		if d.Plan.Prefill.ID == orders[0].ID {
			t.Fatalf("a prompt was sent to %s, which is changing its stage", orders[0].ID)
		}
	}
}
