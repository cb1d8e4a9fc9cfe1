// Package balancer chooses endpoints of plain services. It prefers the least loaded endpoint, endpoints of its own
// failure domain while they are not busier, and endpoints whose requests do not fail.
//
// It is designed for a hundred gateways and more that share a few endpoints. A gateway then learns of the requests of
// the others so late that the endpoint that was the least loaded one no longer is. The older the reports are and the
// more requests the fleet sends, the more evenly it spreads its requests (M. Dahlin, Interpreting Stale Load
// Information).
package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/ejector"
	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
	"github.com/pistachiovane/pistachiovane/pkg/decayer"
)

const (
	// outcomeWeight is the weight of one outcome in the failure ratio of an endpoint, which is a moving average.
	outcomeWeight = 0.15
	// failurePenalty is the relative increase of the cost of an endpoint that always fails. For others it is scaled
	// by their failure ratio.
	failurePenalty = 12
	// remoteDomainCost is the additional cost of an endpoint in another failure domain, in requests in progress per
	// slot.
	remoteDomainCost = 0.25
	// fullTimeout is the time for which an endpoint that refused a request for lack of room gets no new requests.
	fullTimeout = 100 * time.Millisecond
	// maxReportAge is the age from which a reported number of requests is ignored.
	maxReportAge = 500 * time.Millisecond
	// failureDecayTime is the time constant with which the failure ratio of an endpoint decays while it gets no
	// requests.
	failureDecayTime = 3 * time.Second
	// arrivalDecayTime is the time constant with which the count of requests decays.
	arrivalDecayTime = time.Second
)

// Endpoint describes an endpoint of a plain service.
type Endpoint struct {
	ID      string
	Address string
	Service string
	Domain  string
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
}

// node holds the state of one endpoint.
type node struct {
	Endpoint
	// ownRequests counts the requests of this gateway in progress.
	ownRequests int
	// reportedRequests is the number of running requests, sent by any gateway, in the newest report, which the endpoint
	// sent at reportedAt. peerRequests is the part of it that belongs to peers.
	reportedRequests int
	peerRequests     int
	reportedAt       time.Duration
	// ownReportAt is the time of the newest report that this gateway received from the endpoint itself.
	ownReportAt time.Duration
	// failureRatio is the moving average of failures among the latest requests, from 0 to 1, as of lastOutcomeAt.
	failureRatio  float64
	lastOutcomeAt time.Duration
	// ejectedUntil is the time until which the endpoint gets no new requests, after a failure or because it was full,
	// unless all endpoints are ejected.
	ejectedUntil time.Duration
	// consecutiveFailures counts connection failures since the last success.
	consecutiveFailures int
	// removed is set if the endpoint is no longer listed. The node is kept while requests of this gateway run there.
	removed bool
}

// Balancer chooses among the endpoints of all plain services. It is not safe for concurrent use.
type Balancer struct {
	// domain is the failure domain of this gateway.
	domain string
	// nodes holds all endpoints by ID, sortedNodes the same endpoints ordered by ID.
	nodes       map[string]*node
	sortedNodes []*node
	// gateways is the number of gateways that send requests to the endpoints, at least one.
	gateways int
	// arrivals counts the recent requests of this gateway by service.
	arrivals map[string]decayer.Sum
	rand     *rand.Rand
	// suspensions knows the endpoints that want no requests.
	suspensions *suspender.Suspender
	// candidates is reused between calls to avoid allocations.
	candidates []candidate
}

// New returns a balancer without endpoints for a gateway in the given failure domain. r chooses randomly among
// endpoints. s knows the endpoints that want no requests; nil means that there are none.
func New(domain string, r *rand.Rand, s *suspender.Suspender) *Balancer {
	return &Balancer{
		domain: domain, nodes: map[string]*node{}, gateways: 1, arrivals: map[string]decayer.Sum{}, rand: r,
		suspensions: s,
	}
}

// SetEndpoints replaces the endpoints that new requests may be sent to. Requests that run on removed endpoints
// remain counted until they end.
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

// SetGateways sets the number of gateways that send requests to the endpoints, this one included.
func (b *Balancer) SetGateways(gateways int) {
	b.gateways = max(1, gateways)
}

// Acquire chooses an endpoint of a service and counts a request on it until Release. Endpoints in excludedIDs, which
// have failed the request before, are not chosen. Ejected endpoints are chosen only if there is no other, because
// all may be ejected and one of them may work again. Acquire returns nil if all endpoints are excluded or paused or none
// exists.
func (b *Balancer) Acquire(service string, excludedIDs map[string]bool, now time.Duration) *Endpoint {
	b.arrivals[service] = b.arrivals[service].With(1, arrivalDecayTime, now)
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

// selectNode returns an endpoint of a service, or nil. Ejected endpoints are considered only if includeEjected is set.
func (b *Balancer) selectNode(
	service string, excludedIDs map[string]bool, now time.Duration, includeEjected bool,
) *node {
	b.candidates = b.candidates[:0]
	knownRequests, known, reportAge := 0, 0, time.Duration(0)
	for _, n := range b.sortedNodes {
		if n.Service != service || n.removed || excludedIDs[n.ID] || (!includeEjected && now < n.ejectedUntil) {
			continue
		}
		slots, isRamping := b.suspensions.Slots(n.ID, max(1, n.Slots), now)
		if isRamping && n.ownRequests >= slots {
			// The endpoint is paused, or gets its work in steps after a pause.
			continue
		}
		b.candidates = append(b.candidates, candidate{node: n, slots: float64(slots)})
		age := now - n.reportedAt
		reportAge += min(age, maxReportAge)
		if age < maxReportAge {
			knownRequests += n.peerRequests
			known++
		}
	}
	if len(b.candidates) == 0 {
		return nil
	}
	meanPeerRequests := float64(knownRequests) / float64(max(1, known))
	for i := range b.candidates {
		b.candidates[i].cost = b.cost(b.candidates[i], meanPeerRequests, now)
	}
	meanAge := reportAge / time.Duration(len(b.candidates))
	peerRate := b.arrivals[service].Value(arrivalDecayTime, now) / arrivalDecayTime.Seconds() * float64(b.gateways-1)
	return b.pick(1 + peerRate*meanAge.Seconds())
}

// ResumesAt returns the endpoint of a service whose pause ends first, and the time at which it does. ok is false if an
// endpoint is neither paused nor limited after a pause, or if there is none.
func (b *Balancer) ResumesAt(service string, now time.Duration) (endpointID string, at time.Duration, ok bool) {
	if !b.suspensions.HasPauses(now) {
		return "", 0, false
	}
	for _, n := range b.sortedNodes {
		if n.Service != service || n.removed {
			continue
		}
		if _, isRamping := b.suspensions.Slots(n.ID, 1, now); !isRamping {
			return "", 0, false
		}
		if until := b.suspensions.PausedUntil(n.ID); !ok || until < at {
			endpointID, at, ok = n.ID, until, true
		}
	}
	return endpointID, at, ok
}

// candidate is an endpoint that may be chosen and its cost. slots is the number of its slots that may be used, at least
// one.
type candidate struct {
	node  *node
	slots float64
	cost  float64
}

// pick draws one of the candidates. unseen is the number of requests of all gateways that the reported loads do not
// contain yet, including the new one. The draw sends as many of them to each candidate as make the costs of the
// cheapest ones equal: with fresh reports, the cheapest candidate gets the request; with old ones, all gateways would
// send their requests to the same candidate, so the draw spreads them.
func (b *Balancer) pick(unseen float64) *node {
	slices.SortFunc(b.candidates, func(x, y candidate) int { return cmp.Compare(x.cost, y.cost) })
	level := b.candidates[0].cost
	slots, filled := 0.0, 0
	for remaining := unseen; filled < len(b.candidates); {
		slots += b.candidates[filled].slots
		filled++
		if filled == len(b.candidates) || (b.candidates[filled].cost-level)*slots >= remaining {
			level += remaining / slots
			break
		}
		remaining -= (b.candidates[filled].cost - level) * slots
		level = b.candidates[filled].cost
	}
	draw := b.rand.Float64() * unseen
	for _, c := range b.candidates[:filled] {
		draw -= (level - c.cost) * c.slots
		if draw < 0 {
			return c.node
		}
	}
	return b.candidates[0].node
}

// cost returns the cost of sending a request to an endpoint: its requests in progress per slot including the new
// one, increased for another failure domain and for recent failures. An endpoint whose report is too old is assumed to run
// as many requests of peers as the others do on average, one that has never reported is assumed to run none.
func (b *Balancer) cost(c candidate, meanPeerRequests float64, now time.Duration) float64 {
	n := c.node
	requests := float64(n.ownRequests + 1)
	switch {
	case now-n.reportedAt < maxReportAge:
		requests += float64(n.peerRequests)
	case n.reportedAt > 0:
		requests += meanPeerRequests
	}
	cost := requests / c.slots
	if n.Domain != b.domain {
		cost += remoteDomainCost
	}
	return cost * (1 + failurePenalty*n.decayedFailureRatio(now))
}

// decayedFailureRatio returns the failure ratio, which decays while the endpoint gets no requests.
func (n *node) decayedFailureRatio(now time.Duration) float64 {
	return n.failureRatio * decayer.Factor(now-n.lastOutcomeAt, failureDecayTime)
}

// Release stops counting a request on its endpoint. Unknown endpoints are ignored.
func (b *Balancer) Release(id string) {
	if n, ok := b.nodes[id]; ok {
		n.ownRequests--
	}
}

// RecordOutcome records whether an endpoint answered a request successfully. A success ends its ejection.
func (b *Balancer) RecordOutcome(id string, success bool, now time.Duration) {
	n, known := b.nodes[id]
	if !known {
		return
	}
	failure := 1.0
	if success {
		failure = 0
		n.consecutiveFailures, n.ejectedUntil = 0, 0
	}
	n.failureRatio = n.decayedFailureRatio(now)*(1-outcomeWeight) + failure*outcomeWeight
	n.lastOutcomeAt = now
}

// RecordConnectionFailure records that an endpoint could not be reached or closed the connection. The endpoint is
// ejected, for longer after each consecutive failure.
func (b *Balancer) RecordConnectionFailure(id string, now time.Duration) {
	b.RecordOutcome(id, false, now)
	if n, ok := b.nodes[id]; ok {
		n.consecutiveFailures++
		n.ejectedUntil = now + ejector.Duration(n.consecutiveFailures)
	}
}

// RecordFull records that an endpoint refused a request for lack of room.
func (b *Balancer) RecordFull(id string, now time.Duration) {
	if n, ok := b.nodes[id]; ok {
		n.ejectedUntil = max(n.ejectedUntil, now+fullTimeout)
	}
}

// ReportActiveRequests records the number of running requests, sent by any gateway, that an endpoint reported to this
// gateway at the given time.
func (b *Balancer) ReportActiveRequests(id string, requests int, at time.Duration) {
	b.MergePeerReport(id, requests, at)
	if n, ok := b.nodes[id]; ok && at == n.reportedAt {
		n.ownReportAt = at
	}
}

// MergePeerReport records the number of running requests, sent by any gateway, that an endpoint reported to a peer at
// the given time. A report that is older than the newest one is ignored.
func (b *Balancer) MergePeerReport(id string, requests int, at time.Duration) {
	if n, ok := b.nodes[id]; ok && at >= n.reportedAt {
		n.reportedRequests = requests
		n.peerRequests = max(0, requests-n.ownRequests)
		n.reportedAt = at
	}
}

// ActiveRequestsReport is a number of requests that an endpoint reported, and the time since the report.
type ActiveRequestsReport struct {
	Requests int
	Age      time.Duration
}

// RecentReports returns, by endpoint ID, the reports that this gateway received itself, that are not too old to be
// used, and that no newer report of a peer has replaced.
func (b *Balancer) RecentReports(now time.Duration) map[string]ActiveRequestsReport {
	reports := make(map[string]ActiveRequestsReport)
	for _, n := range b.sortedNodes {
		if age := now - n.ownReportAt; n.ownReportAt > 0 && n.ownReportAt == n.reportedAt && age < maxReportAge {
			reports[n.ID] = ActiveRequestsReport{Requests: n.reportedRequests, Age: age}
		}
	}
	return reports
}
