// Package balancer chooses endpoints of plain services: the least busy one, near ones first where that costs no
// time, and away from those whose answers fail.
package balancer

import (
	"math"
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/ejector"
)

const (
	// failWeight is the weight of one outcome in the share of failures of an endpoint.
	failWeight = 0.15
	// failCost multiplies the cost of an endpoint that always fails.
	failCost = 12
	// remoteCost is what another failure domain costs, in requests in progress a slot.
	remoteCost = 0.25
	// fullFor is how long an endpoint that refused a request counts as full.
	fullFor = 100 * time.Millisecond
	// loadFor is how long a reported load is believed.
	loadFor = 500 * time.Millisecond
	// forgiveOver is the time over which failures are forgotten without new requests.
	forgiveOver = 3 * time.Second
)

// Endpoint is an endpoint of a plain service.
type Endpoint struct {
	ID      string
	Address string
	Service string
	Domain  string
	Slots   int
}

type node struct {
	Endpoint
	// own counts own requests in progress.
	own int
	// others estimates those of other gateways, from the requests held as reported at othersAt.
	held     int
	others   int
	othersAt time.Duration
	// toldAt is when the endpoint said so to this gateway.
	toldAt time.Duration
	// failing is the share of failures among the latest answers.
	failing  float64
	judgedAt time.Duration
	// away ends the time in which the endpoint gets no new work.
	away     time.Duration
	failures int
	gone     bool
}

// Balancer is not safe for concurrent use.
type Balancer struct {
	domain string
	nodes  map[string]*node
	order  []*node
	// turn rotates equal endpoints.
	turn int
}

// New returns a balancer without endpoints for a gateway in the given failure domain.
func New(domain string) *Balancer {
	return &Balancer{domain: domain, nodes: map[string]*node{}}
}

// SetEndpoints replaces the endpoints that new requests may go to.
func (b *Balancer) SetEndpoints(endpoints []Endpoint) {
	keep := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		keep[e.ID] = true
		n, ok := b.nodes[e.ID]
		if !ok {
			n = &node{}
			b.nodes[e.ID] = n
		}
		n.Endpoint = e
	}
	b.order = b.order[:0]
	for id, n := range b.nodes {
		n.gone = !keep[id]
		if n.gone && n.own == 0 {
			delete(b.nodes, id)
			continue
		}
		b.order = append(b.order, n)
	}
	sort.Slice(b.order, func(i, j int) bool { return b.order[i].ID < b.order[j].ID })
}

// Acquire chooses an endpoint of a service and counts a request on it; avoided are those that failed the request before.
// It returns nil where no other is left. Endpoints that are left alone are chosen only where there is no other: all
// may be, and the least bad is then still tried.
func (b *Balancer) Acquire(service string, avoided map[string]bool, now time.Duration) *Endpoint {
	n := b.best(service, avoided, now, false)
	if n == nil {
		n = b.best(service, avoided, now, true)
	}
	if n == nil {
		return nil
	}
	n.own++
	e := n.Endpoint
	return &e
}

// best returns the endpoint with the lowest cost; desperate also looks at those that are left alone.
func (b *Balancer) best(service string, avoided map[string]bool, now time.Duration, desperate bool) *node {
	var best *node
	bestCost := math.Inf(1)
	b.turn++
	for i := range b.order {
		n := b.order[(i+b.turn)%len(b.order)]
		if n.Service != service || n.gone || avoided[n.ID] || (!desperate && now < n.away) {
			continue
		}
		if c := b.cost(n, now); c < bestCost {
			best, bestCost = n, c
		}
	}
	return best
}

func (b *Balancer) cost(n *node, now time.Duration) float64 {
	busy := n.own
	if now-n.othersAt < loadFor {
		busy += n.others
	}
	cost := float64(busy+1) / float64(max(1, n.Slots))
	if n.Domain != b.domain {
		cost += remoteCost
	}
	return cost * (1 + failCost*n.share(now))
}

// share returns the share of failures, which fades while the endpoint gets no requests.
func (n *node) share(now time.Duration) float64 {
	return n.failing * math.Exp(-(now-n.judgedAt).Seconds()/forgiveOver.Seconds())
}

// Release counts a request off its endpoint.
func (b *Balancer) Release(id string) {
	if n, ok := b.nodes[id]; ok {
		n.own--
	}
}

// RecordOutcome takes in whether an endpoint's answer was a success.
func (b *Balancer) RecordOutcome(id string, ok bool, now time.Duration) {
	n, known := b.nodes[id]
	if !known {
		return
	}
	outcome := 1.0
	if ok {
		outcome = 0
		n.failures, n.away = 0, 0
	}
	n.failing = n.share(now)*(1-failWeight) + outcome*failWeight
	n.judgedAt = now
}

// RecordConnectionFailure records that an endpoint could not be reached or broke off.
func (b *Balancer) RecordConnectionFailure(id string, now time.Duration) {
	b.RecordOutcome(id, false, now)
	if n, ok := b.nodes[id]; ok {
		n.failures++
		n.away = now + ejector.Duration(n.failures)
	}
}

// RecordFull records that an endpoint refused a request for want of room.
func (b *Balancer) RecordFull(id string, now time.Duration) {
	if n, ok := b.nodes[id]; ok {
		n.away = max(n.away, now+fullFor)
	}
}

// ReportActiveRequests takes in how many requests an endpoint said it held at a time, of all gateways.
func (b *Balancer) ReportActiveRequests(id string, held int, at time.Duration) {
	b.MergePeerReport(id, held, at)
	if n, ok := b.nodes[id]; ok && at == n.othersAt {
		n.toldAt = at
	}
}

// MergePeerReport takes in what an endpoint said to another gateway.
func (b *Balancer) MergePeerReport(id string, held int, at time.Duration) {
	if n, ok := b.nodes[id]; ok && at >= n.othersAt {
		n.held = held
		n.others = max(0, held-n.own)
		n.othersAt = at
	}
}

// ActiveRequestsReport is how many requests an endpoint said it held, and how long ago.
type ActiveRequestsReport struct {
	Requests int
	Age      time.Duration
}

// RecentReports returns what endpoints said to this gateway within the time for which it is believed.
func (b *Balancer) RecentReports(now time.Duration) map[string]ActiveRequestsReport {
	out := make(map[string]ActiveRequestsReport)
	for _, n := range b.order {
		if age := now - n.toldAt; n.toldAt > 0 && n.toldAt == n.othersAt && age < loadFor {
			out[n.ID] = ActiveRequestsReport{Requests: n.held, Age: age}
		}
	}
	return out
}
