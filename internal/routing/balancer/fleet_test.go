package balancer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/balancer"
)

// The load is that of a large deployment in a burst: calls of 30 ms arrive through 103 gateways at five endpoints of six
// slots each, one in each failure domain; two domains have more callers than the others. A gateway learns of the
// load of an endpoint from its own responses, and from the reports that its peers pass on every 0.4 s.
const (
	fleetGateways  = 103
	fleetEndpoints = 5
	fleetSlots     = 6
	fleetQueue     = 24
	callsPerSecond = 650.0
	meanCall       = 30 * time.Millisecond
	reportInterval = 410 * time.Millisecond
	simulatedTime  = 20 * time.Second
	callObjective  = 150 * time.Millisecond
)

// call is a call that an endpoint runs or has queued.
type call struct {
	gateway   int
	arrivedAt time.Duration
	endsAt    time.Duration
}

// fleetResult counts the calls of a simulated fleet by outcome.
type fleetResult struct {
	calls, rejected, late int
}

// simulateFleet sends calls at random times through the gateways. The endpoints start calls in the order of arrival.
func simulateFleet(seed uint64, gateways int) fleetResult {
	rng := rand.New(rand.NewPCG(seed, 1))
	var balancers []*balancer.Balancer
	for g := range gateways {
		b := balancer.New(fmt.Sprintf("zone%d", g*fleetEndpoints/gateways), rand.New(rand.NewPCG(seed, uint64(g)+2)), nil)
		var list []balancer.Endpoint
		for e := range fleetEndpoints {
			list = append(list, balancer.Endpoint{
				ID: fmt.Sprintf("e%d", e), Service: "s", Domain: fmt.Sprintf("zone%d", e), Slots: fleetSlots,
			})
		}
		b.SetEndpoints(list)
		b.SetGateways(gateways)
		balancers = append(balancers, b)
	}
	running := make([][]call, fleetEndpoints)
	freeAt := make([][]time.Duration, fleetEndpoints)
	for e := range freeAt {
		freeAt[e] = make([]time.Duration, fleetSlots)
	}
	var r fleetResult
	nextReport := time.Duration(0)
	for now := time.Duration(0); now < simulatedTime; {
		now += time.Duration(rng.ExpFloat64() / callsPerSecond * float64(time.Second))
		endCalls(balancers, running, now)
		if now >= nextReport {
			exchangeReports(balancers, now)
			nextReport = now + reportInterval
		}
		// The square makes the gateways of the first domains busier than the others.
		g := min(gateways-1, int(float64(gateways)*math.Pow(rng.Float64(), 1.3)))
		r.calls++
		chosen := balancers[g].Acquire("s", nil, now)
		e := int(chosen.ID[1] - '0')
		if len(running[e]) >= fleetSlots+fleetQueue {
			r.rejected++
			balancers[g].Release(chosen.ID)
			balancers[g].ReportActiveRequests(chosen.ID, len(running[e]), now)
			balancers[g].RecordFull(chosen.ID, now)
			continue
		}
		sort.Slice(freeAt[e], func(i, j int) bool { return freeAt[e][i] < freeAt[e][j] })
		duration := time.Duration(float64(meanCall) * math.Exp(0.5*rng.NormFloat64()-0.125))
		freeAt[e][0] = max(now, freeAt[e][0]) + duration
		running[e] = append(running[e], call{gateway: g, arrivedAt: now, endsAt: freeAt[e][0]})
		if freeAt[e][0]-now > callObjective {
			r.late++
		}
	}
	return r
}

// endCalls ends the calls that are done by now. The response of each tells its gateway how many calls the endpoint has.
func endCalls(balancers []*balancer.Balancer, running [][]call, now time.Duration) {
	for e := range running {
		kept := running[e][:0]
		for _, c := range running[e] {
			if c.endsAt > now {
				kept = append(kept, c)
				continue
			}
			id := fmt.Sprintf("e%d", e)
			balancers[c.gateway].Release(id)
			balancers[c.gateway].ReportActiveRequests(id, len(running[e])-1, c.endsAt)
			balancers[c.gateway].RecordOutcome(id, true, c.endsAt)
		}
		running[e] = kept
	}
}

// exchangeReports passes the reports of each gateway to all others.
func exchangeReports(balancers []*balancer.Balancer, now time.Duration) {
	for i, from := range balancers {
		for id, report := range from.RecentReports(now) {
			for k, to := range balancers {
				if k != i {
					to.MergePeerReport(id, report.Requests, now-report.Age)
				}
			}
		}
	}
}

// Calls use two thirds of the slots, so that nearly all can be served within their objective. When all gateways sent
// their calls to the endpoint that was the least loaded one at the last exchange, its queue overflowed while others
// idled (benchmark: large deployment, scale-1: 1945 of some 30000 calls rejected, 3578 bookings late).
func TestManyGatewaysSpreadCallsOverFewEndpoints(t *testing.T) {
	for _, gateways := range []int{5, 25, fleetGateways, 300} {
		r := simulateFleet(1, gateways)
		t.Logf("%d gateways: %d calls, %d rejected, %d late", gateways, r.calls, r.rejected, r.late)
		if r.rejected*1000 > r.calls {
			t.Errorf("%d gateways: got %d of %d calls rejected, want at most 0.1%%", gateways, r.rejected, r.calls)
		}
		if r.late*50 > r.calls {
			t.Errorf("%d gateways: got %d of %d calls late, want at most 2%%", gateways, r.late, r.calls)
		}
	}
}
