// Package rebalancer decides which model endpoints change their stage. Prompts are read much faster than answers are
// made, so a fleet with a fixed part of prefill endpoints runs out of decode slots while its readers idle. The number of
// prefill endpoints follows from the prompts that all plans together allow; the rest makes answers.
package rebalancer

import (
	"math"
	"sort"
	"time"
)

// Endpoint is a model endpoint.
type Endpoint struct {
	ID      string
	Domain  string
	Prefill bool
}

// Options are the bounds of a rebalancer.
type Options struct {
	// PrefillRate is the speed of reading prompts, in tokens a second.
	PrefillRate float64
	// PromptFraction is the part of the tokens of a request that are prompt.
	PromptFraction float64
	// MaxUtilization is the part of its time that a prefill endpoint may read.
	MaxUtilization float64
	// LeaderSettleTime is how long this gateway must have been the one that gives orders, and how long an endpoint is left
	// alone after an order, whoever gave it.
	LeaderSettleTime time.Duration
	MinOrderInterval time.Duration
}

// maxOrdersPerDecision bounds the orders given at a time: the others are told of each.
const maxOrdersPerDecision = 4

// Rebalancer gives orders for one gateway. It is not safe for concurrent use.
type Rebalancer struct {
	options Options
	// leadingSince tells since when this gateway gives the orders; meaningful while leading.
	leadingSince time.Duration
	leading      bool
	// lastOrderAt is when each endpoint was ordered last, by any gateway.
	lastOrderAt map[string]time.Duration
}

// New returns a rebalancer that knows of no orders.
func New(o Options) *Rebalancer {
	return &Rebalancer{options: o, lastOrderAt: map[string]time.Duration{}}
}

// UpdateLeadership records whether this gateway is the one that gives orders: the first of those that it hears, which are more
// than half of those that it knows.
func (r *Rebalancer) UpdateLeadership(first bool, reachable, known int, now time.Duration) {
	leading := first && 2*reachable > known
	if leading && !r.leading {
		r.leadingSince = now
	}
	r.leading = leading
}

// RecordOrder records an order of any gateway.
func (r *Rebalancer) RecordOrder(id string, at time.Duration) {
	r.lastOrderAt[id] = max(at, r.lastOrderAt[id])
}

// RecentOrders returns the endpoints ordered within a time, with the time of the order.
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

// SelectForDecode returns the prefill endpoints of a service that are to become decode endpoints. Tokens is what all plans
// together allow a second.
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

// requiredPrefill returns how many prefill endpoints a service needs for the prompts that the plans allow.
func (r *Rebalancer) requiredPrefill(endpoints int, tokensPerSecond float64) int {
	required := int(math.Ceil(tokensPerSecond * r.options.PromptFraction / (r.options.PrefillRate * r.options.MaxUtilization)))
	return min(endpoints-1, max(1, required))
}

// recentlyOrdered tells whether an endpoint was ordered so lately that its change may still be under way.
func (r *Rebalancer) recentlyOrdered(id string, now time.Duration) bool {
	at, known := r.lastOrderAt[id]
	return known && now-at < r.options.MinOrderInterval
}

// takeEndpoint takes an endpoint from the domain with the most prefill endpoints.
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
