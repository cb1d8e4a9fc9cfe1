// Package rebalancer decides which model endpoints change their stage. Prefill processes tokens much faster than
// decode generates them, so a fleet with a fixed fraction of prefill endpoints runs out of decode slots while its
// prefill endpoints are idle. The number of prefill endpoints follows from the prompt tokens that the limits of all
// client accounts allow together. The other endpoints become decode endpoints.
//
// One gateway, the leader, orders endpoints to change their stage, and only from prefill to decode.
package rebalancer

import (
	"math"
	"sort"
	"time"
)

// Endpoint describes a model endpoint. Prefill is set for a prefill endpoint, otherwise it is a decode endpoint.
type Endpoint struct {
	ID      string
	Domain  string
	Prefill bool
}

// Options configures a rebalancer.
type Options struct {
	// PrefillRate is the prefill speed of an endpoint, in prompt tokens per second.
	PrefillRate float64
	// PromptFraction is the fraction of the tokens of a request that are prompt tokens.
	PromptFraction float64
	// MaxUtilization is the fraction of time that a prefill endpoint may be busy.
	MaxUtilization float64
	// LeaderSettleTime is the time for which this gateway must have been the leader before it gives its first order.
	LeaderSettleTime time.Duration
	// MinOrderInterval is the time after an order of any gateway during which an endpoint gets no further order.
	MinOrderInterval time.Duration
}

// maxOrdersPerDecision limits the orders given at a time, because each one is sent to all peers.
const maxOrdersPerDecision = 4

// Rebalancer decides about orders for one gateway. It is not safe for concurrent use.
type Rebalancer struct {
	options Options
	// leading is set while this gateway is the leader. leadingSince is the time at which it became the leader and is
	// valid only while leading is set.
	leadingSince time.Duration
	leading      bool
	// lastOrderAt holds, by endpoint ID, the time of the latest order that any gateway gave to the endpoint.
	lastOrderAt map[string]time.Duration
}

// New returns a rebalancer that knows no orders.
func New(o Options) *Rebalancer {
	return &Rebalancer{options: o, lastOrderAt: map[string]time.Duration{}}
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

// RecordOrder records the time of an order that any gateway gave to an endpoint.
func (r *Rebalancer) RecordOrder(id string, at time.Duration) {
	r.lastOrderAt[id] = max(at, r.lastOrderAt[id])
}

// RecentOrders returns, by endpoint ID, the times of the orders that are at most maxAge old. It deletes orders that are
// older than twice maxAge.
func (r *Rebalancer) RecentOrders(maxAge, now time.Duration) map[string]time.Duration {
	recent := make(map[string]time.Duration)
	for id, at := range r.lastOrderAt {
		switch age := now - at; {
		case age <= maxAge:
			recent[id] = at
		case age > 2*maxAge:
			delete(r.lastOrderAt, id)
		}
	}
	return recent
}

// SelectForDecode returns the IDs of the prefill endpoints that are to be ordered to become decode endpoints.
// endpoints are the model endpoints of one service, and tokensPerSecond is the sum of the limits of all client
// accounts. It returns nil unless this gateway has been the leader for long enough.
func (r *Rebalancer) SelectForDecode(endpoints []Endpoint, tokensPerSecond float64, now time.Duration) []string {
	if !r.leading || now-r.leadingSince < r.options.LeaderSettleTime {
		return nil
	}
	byDomain := make(map[string][]string)
	available := 0
	for _, e := range endpoints {
		if e.Prefill && !r.recentlyOrdered(e.ID, now) {
			byDomain[e.Domain] = append(byDomain[e.Domain], e.ID)
			available++
		}
	}
	spare := min(maxOrdersPerDecision, available-r.requiredPrefill(len(endpoints), tokensPerSecond))
	var selected []string
	for ; spare > 0; spare-- {
		id, ok := takeEndpoint(byDomain)
		if !ok {
			break
		}
		selected = append(selected, id)
	}
	return selected
}

// requiredPrefill returns how many prefill endpoints a service needs to process the prompt tokens that the limits
// allow. It is at least one, and leaves at least one endpoint for decode.
func (r *Rebalancer) requiredPrefill(endpoints int, tokensPerSecond float64) int {
	required := int(math.Ceil(
		tokensPerSecond * r.options.PromptFraction / (r.options.PrefillRate * r.options.MaxUtilization),
	))
	return min(endpoints-1, max(1, required))
}

// recentlyOrdered reports whether an endpoint was ordered so recently that its change of stage may not be finished.
func (r *Rebalancer) recentlyOrdered(id string, now time.Duration) bool {
	at, known := r.lastOrderAt[id]
	return known && now-at < r.options.MinOrderInterval
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
