// Package rebalancer decides which model endpoints change their stage. Every generation needs a prefill endpoint for a
// while and a decode endpoint for longer; how long depends on the prompts, the responses and the engines. The rebalancer
// splits the endpoints so that both stages reach their capacity at the same load: with any other split, one stage would
// queue generations, or refuse them, while the other has endpoints to spare.
//
// The split follows the measured use of endpoint time and not the volume of the traffic, so that it holds for bursts of
// the same kind of requests. An endpoint that changes its stage serves nothing for seconds. The split is therefore
// changed only if it gains much.
//
// One gateway, the leader, orders endpoints to change their stage.
package rebalancer

import (
	"math"
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
)

// Endpoint describes a model endpoint. Prefill is set for a prefill endpoint, otherwise it is a decode endpoint.
type Endpoint struct {
	ID      string
	Domain  string
	Prefill bool
}

// Order tells an endpoint to change its stage. ToPrefill is set if it is to become a prefill endpoint, otherwise it is
// to become a decode endpoint.
type Order struct {
	ID        string
	ToPrefill bool
}

// RecentOrder is the latest order that any gateway gave to an endpoint, at the time At.
type RecentOrder struct {
	At        time.Duration
	ToPrefill bool
}

// Options configures a rebalancer.
type Options struct {
	// MinGenerations is the number of measured generations below which no orders are given.
	MinGenerations float64
	// PrefillReserve is the number of prefill endpoints, relative to the square root of their number, that must be idle
	// on average at the capacity of the fleet. With less, prompts that arrive at random wait for each other for too long.
	// Many endpoints need a smaller part of them idle than few.
	PrefillReserve float64
	// MinGain is the smallest ratio of the capacity after a change of the split to the capacity before it for which
	// endpoints change their stage. It is above 1.
	MinGain float64
	// UrgentGain is the gain for which endpoints change their stage also while generations are queued. For a smaller gain
	// the changes wait: an endpoint that changes its stage is missing for seconds.
	UrgentGain float64
	// LeaderSettleTime is the time for which this gateway must have been the leader before it gives its first order.
	LeaderSettleTime time.Duration
	// MinOrderInterval is the time after an order of any gateway during which an endpoint gets no further order.
	MinOrderInterval time.Duration
}

// minEndpointsPerChange is the number of endpoints of a service for each one that may change its stage at the same time.
// At least one may.
const minEndpointsPerChange = 10

// Rebalancer decides about orders for one gateway. It is not safe for concurrent use.
type Rebalancer struct {
	options Options
	// leading is set while this gateway is the leader. leadingSince is the time at which it became the leader and is
	// valid only while leading is set.
	leadingSince time.Duration
	leading      bool
	// lastOrders holds, by endpoint ID, the latest order that any gateway gave to the endpoint.
	lastOrders map[string]RecentOrder
}

// New returns a rebalancer that knows no orders.
func New(o Options) *Rebalancer {
	return &Rebalancer{options: o, lastOrders: map[string]RecentOrder{}}
}

// UpdateLeadership records whether this gateway is the leader. It is the leader if leaderCandidate is set and more than
// half of the known gateways are reachable. leaderCandidate means that this gateway is ready for callers and its
// address is the lowest of the reachable gateways.
func (r *Rebalancer) UpdateLeadership(leaderCandidate bool, reachable, known int, now time.Duration) {
	leading := leaderCandidate && 2*reachable > known
	if leading && !r.leading {
		r.leadingSince = now
	}
	r.leading = leading
}

// RecordOrder records an order that any gateway gave to an endpoint. An older order than the known one is ignored.
func (r *Rebalancer) RecordOrder(id string, o RecentOrder) {
	if last, known := r.lastOrders[id]; !known || o.At > last.At {
		r.lastOrders[id] = o
	}
}

// RecentOrders returns, by endpoint ID, the orders that are at most maxAge old. It deletes orders that are older than
// twice maxAge.
func (r *Rebalancer) RecentOrders(maxAge, now time.Duration) map[string]RecentOrder {
	recent := make(map[string]RecentOrder)
	for id, o := range r.lastOrders {
		switch age := now - o.At; {
		case age <= maxAge:
			recent[id] = o
		case age > 2*maxAge:
			delete(r.lastOrders, id)
		}
	}
	return recent
}

// SelectOrders returns the orders that improve the split of the model endpoints of one service, given the endpoint time
// that its recent generations used. queued is set while generations wait for endpoints. It returns nil unless this
// gateway has been the leader for long enough.
func (r *Rebalancer) SelectOrders(endpoints []Endpoint, usage profiler.Usage, queued bool, now time.Duration) []Order {
	if !r.leading || now-r.leadingSince < r.options.LeaderSettleTime {
		return nil
	}
	if len(endpoints) < 2 || usage.Generations < r.options.MinGenerations {
		return nil
	}
	current, underway := r.prefillCount(endpoints, now)
	allowed := max(1, len(endpoints)/minEndpointsPerChange) - underway
	best := r.bestPrefillCount(len(endpoints), usage)
	minGain := r.options.MinGain
	if queued {
		minGain = r.options.UrgentGain
	}
	if r.capacity(best, len(endpoints), usage) < minGain*r.capacity(current, len(endpoints), usage) {
		return nil
	}
	toPrefill := best > current
	return r.takeEndpoints(endpoints, toPrefill, min(allowed, max(best-current, current-best)), now)
}

// capacity returns how many times the measured usage the endpoints can serve per unit of time if the given number of
// them are prefill endpoints. It is limited by the stage that reaches its capacity first.
func (r *Rebalancer) capacity(prefill, endpoints int, u profiler.Usage) float64 {
	busy := max(0, float64(prefill)-r.options.PrefillReserve*math.Sqrt(float64(prefill)))
	prefillCapacity := busy / max(u.PrefillSeconds, math.SmallestNonzeroFloat64)
	decodeCapacity := float64(endpoints-prefill) / max(u.DecodeSeconds, math.SmallestNonzeroFloat64)
	return min(prefillCapacity, decodeCapacity)
}

// bestPrefillCount returns the number of prefill endpoints with the highest capacity, at least one. At least one
// endpoint is left for decode.
func (r *Rebalancer) bestPrefillCount(endpoints int, u profiler.Usage) int {
	best := 1
	for n := 2; n < endpoints; n++ {
		if r.capacity(n, endpoints, u) > r.capacity(best, endpoints, u) {
			best = n
		}
	}
	return best
}

// prefillCount returns the number of prefill endpoints once all orders under way are carried out, and the number of
// these orders.
func (r *Rebalancer) prefillCount(endpoints []Endpoint, now time.Duration) (prefill, underway int) {
	for _, e := range endpoints {
		becomesPrefill := e.Prefill
		if r.recentlyOrdered(e.ID, now) && r.lastOrders[e.ID].ToPrefill != e.Prefill {
			becomesPrefill = !e.Prefill
			underway++
		}
		if becomesPrefill {
			prefill++
		}
	}
	return prefill, underway
}

// recentlyOrdered reports whether an endpoint was ordered so recently that its change of stage may not be finished.
func (r *Rebalancer) recentlyOrdered(id string, now time.Duration) bool {
	last, known := r.lastOrders[id]
	return known && now-last.At < r.options.MinOrderInterval
}

// takeEndpoints returns orders for up to count endpoints of the other stage, spread over the failure domains.
func (r *Rebalancer) takeEndpoints(endpoints []Endpoint, toPrefill bool, count int, now time.Duration) []Order {
	byDomain := make(map[string][]string)
	for _, e := range endpoints {
		if e.Prefill != toPrefill && !r.recentlyOrdered(e.ID, now) {
			byDomain[e.Domain] = append(byDomain[e.Domain], e.ID)
		}
	}
	var orders []Order
	for range max(0, count) {
		id, ok := takeEndpoint(byDomain)
		if !ok {
			break
		}
		orders = append(orders, Order{ID: id, ToPrefill: toPrefill})
	}
	return orders
}

// takeEndpoint removes one endpoint from the failure domain with the most endpoints and returns its ID. ok is false
// if no endpoint is left.
func takeEndpoint(byDomain map[string][]string) (id string, ok bool) {
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, d)
	}
	sort.Slice(domains, func(i, j int) bool {
		a, b := domains[i], domains[j]
		if len(byDomain[a]) != len(byDomain[b]) {
			return len(byDomain[a]) > len(byDomain[b])
		}
		return a < b
	})
	for _, d := range domains {
		ids := byDomain[d]
		if len(ids) == 0 {
			continue
		}
		sort.Strings(ids)
		byDomain[d] = ids[1:]
		return ids[0], true
	}
	return "", false
}
