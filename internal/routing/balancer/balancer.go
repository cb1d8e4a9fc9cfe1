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
	// outcomeWeight is the weight of one outcome in the share of failures of an endpoint.
	outcomeWeight = 0.15
	// failurePenalty multiplies the cost of an endpoint that always fails.
	failurePenalty = 12
	// remoteDomainCost is what another failure domain costs, in requests in progress a slot.
	remoteDomainCost = 0.25
	// fullTimeout is how long an endpoint that refused a request counts as full.
	fullTimeout = 100 * time.Millisecond
	// maxReportAge is how long a reported load is believed.
	maxReportAge = 500 * time.Millisecond
	// failureDecayTime is the time over which failures are forgotten without new requests.
	failureDecayTime = 3 * time.Second
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
	// ownRequests counts own requests in progress.
	ownRequests int
	// others estimates those of other gateways, from the requests held as reported at othersAt.
	reportedRequests int
	peerRequests     int
	reportedAt       time.Duration
	// ownReportAt is when the endpoint said so to this gateway.
	ownReportAt time.Duration
	// failureRatio is the share of failures among the latest answers.
	failureRatio  float64
	lastOutcomeAt time.Duration
	// ejectedUntil ends the time in which the endpoint gets no new work.
	ejectedUntil        time.Duration
	consecutiveFailures int
	removed             bool
}

// Balancer is not safe for concurrent use.
type Balancer struct {
	domain      string
	nodes       map[string]*node
	sortedNodes []*node
	// rotation rotates equal endpoints.
	rotation int
}

// New returns a balancer without endpoints for a gateway in the given failure domain.
func New(domain string) *Balancer {
	return &Balancer{domain: domain, nodes: map[string]*node{}}
}

// SetEndpoints replaces the endpoints that new requests may go to.
func (b *Balancer) SetEndpoints(endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		n, ok := b.nodes[e.ID]
		if !ok {
			n = &node{}
			b.nodes[e.ID] = n
		}
		n.Endpoint = e
	}
	b.sortedNodes = b.sortedNodes[:0]
	for id, n := range b.nodes {
		n.removed = !listed[id]
		if n.removed && n.ownRequests == 0 {
			delete(b.nodes, id)
			continue
		}
		b.sortedNodes = append(b.sortedNodes, n)
	}
	sort.Slice(b.sortedNodes, func(i, j int) bool { return b.sortedNodes[i].ID < b.sortedNodes[j].ID })
}

// Acquire chooses an endpoint of a service and counts a request on it; avoided are those that failed the request before.
// It returns nil where no other is left. Endpoints that are left alone are chosen only where there is no other: all
// may be, and the least bad is then still tried.
func (b *Balancer) Acquire(service string, excludedIDs map[string]bool, now time.Duration) *Endpoint {
	n := b.selectNode(service, excludedIDs, now, false)
	if n == nil {
		n = b.selectNode(service, excludedIDs, now, true)
	}
	if n == nil {
		return nil
	}
	n.ownRequests++
	e := n.Endpoint
	return &e
}

// selectNode returns the endpoint with the lowest cost; desperate also looks at those that are left alone.
func (b *Balancer) selectNode(service string, excludedIDs map[string]bool, now time.Duration, includeEjected bool) *node {
	var best *node
	bestCost := math.Inf(1)
	b.rotation++
	for i := range b.sortedNodes {
		n := b.sortedNodes[(i+b.rotation)%len(b.sortedNodes)]
		if n.Service != service || n.removed || excludedIDs[n.ID] || (!includeEjected && now < n.ejectedUntil) {
			continue
		}
		if c := b.cost(n, now); c < bestCost {
			best, bestCost = n, c
		}
	}
	return best
}

func (b *Balancer) cost(n *node, now time.Duration) float64 {
	requests := n.ownRequests
	if now-n.reportedAt < maxReportAge {
		requests += n.peerRequests
	}
	cost := float64(requests+1) / float64(max(1, n.Slots))
	if n.Domain != b.domain {
		cost += remoteDomainCost
	}
	return cost * (1 + failurePenalty*n.decayedFailureRatio(now))
}

// decayedFailureRatio returns the share of failures, which fades while the endpoint gets no requests.
func (n *node) decayedFailureRatio(now time.Duration) float64 {
	return n.failureRatio * math.Exp(-(now-n.lastOutcomeAt).Seconds()/failureDecayTime.Seconds())
}

// Release counts a request off its endpoint.
func (b *Balancer) Release(id string) {
	if n, ok := b.nodes[id]; ok {
		n.ownRequests--
	}
}

// RecordOutcome takes in whether an endpoint's answer was a success.
func (b *Balancer) RecordOutcome(id string, success bool, now time.Duration) {
	n, known := b.nodes[id]
	if !known {
		return
	}
	failed := 1.0
	if success {
		failed = 0
		n.consecutiveFailures, n.ejectedUntil = 0, 0
	}
	n.failureRatio = n.decayedFailureRatio(now)*(1-outcomeWeight) + failed*outcomeWeight
	n.lastOutcomeAt = now
}

// RecordConnectionFailure records that an endpoint could not be reached or broke off.
func (b *Balancer) RecordConnectionFailure(id string, now time.Duration) {
	b.RecordOutcome(id, false, now)
	if n, ok := b.nodes[id]; ok {
		n.consecutiveFailures++
		n.ejectedUntil = now + ejector.Duration(n.consecutiveFailures)
	}
}

// RecordFull records that an endpoint refused a request for want of room.
func (b *Balancer) RecordFull(id string, now time.Duration) {
	if n, ok := b.nodes[id]; ok {
		n.ejectedUntil = max(n.ejectedUntil, now+fullTimeout)
	}
}

// ReportActiveRequests takes in how many requests an endpoint said it held at a time, of all gateways.
func (b *Balancer) ReportActiveRequests(id string, requests int, at time.Duration) {
	b.MergePeerReport(id, requests, at)
	if n, ok := b.nodes[id]; ok && at == n.reportedAt {
		n.ownReportAt = at
	}
}

// MergePeerReport takes in what an endpoint said to another gateway.
func (b *Balancer) MergePeerReport(id string, requests int, at time.Duration) {
	if n, ok := b.nodes[id]; ok && at >= n.reportedAt {
		n.reportedRequests = requests
		n.peerRequests = max(0, requests-n.ownRequests)
		n.reportedAt = at
	}
}

// ActiveRequestsReport is how many requests an endpoint said it held, and how long ago.
type ActiveRequestsReport struct {
	Requests int
	Age      time.Duration
}

// RecentReports returns what endpoints said to this gateway within the time for which it is believed.
func (b *Balancer) RecentReports(now time.Duration) map[string]ActiveRequestsReport {
	reports := make(map[string]ActiveRequestsReport)
	for _, n := range b.sortedNodes {
		if age := now - n.ownReportAt; n.ownReportAt > 0 && n.ownReportAt == n.reportedAt && age < maxReportAge {
			reports[n.ID] = ActiveRequestsReport{Requests: n.reportedRequests, Age: age}
		}
	}
	return reports
}
