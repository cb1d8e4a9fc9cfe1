// Package planner decides when a text generation starts and on which prefill and decode endpoints. The prefill of a
// prompt starts only when a decode endpoint has room for the whole response: a prefilled KV cache expires after half
// a second, so the prefill is wasted if no decode endpoint has room by then. Requests that cannot start immediately
// are queued, fairly among client accounts. Requests that can still meet their first event deadline start before the
// others, and requests that would wait too long are refused immediately.
//
// The planner is designed for bursts of about twice the usual load, during which decode slots and KV memory run
// short for seconds.
//
// All times are durations on the clock of the caller, which passes the current time as now.
package planner

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/suspender"
	"github.com/pistachiovane/pistachiovane/pkg/decayer"
	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Stage is the part of a generation that an endpoint executes.
type Stage uint8

// Stages of a generation.
const (
	// Prefill endpoints compute the KV cache of a prompt.
	Prefill Stage = iota + 1
	// Decode endpoints generate the response. They can also run the prefill themselves.
	Decode
)

// Endpoint describes a model endpoint of the endpoint list.
type Endpoint struct {
	ID      string
	Address string
	Service string
	Domain  string
	Stage   Stage
	// Slots is the number of requests that the endpoint runs concurrently.
	Slots int
	// MemoryTokens is the capacity of the KV memory, in tokens.
	MemoryTokens int
}

// Request describes a generation that needs endpoints.
type Request struct {
	// ID is unique in this process and never zero.
	ID      uint64
	Account string
	Service string
	// PromptTokens is the length of the prompt, ExpectedOutputTokens the expected length of the response.
	PromptTokens         int
	ExpectedOutputTokens int
	// FirstEventDeadline is the time until which the first event counts as on time. A request that will miss it is
	// still served, but with low priority.
	FirstEventDeadline time.Duration
	// CallerDeadline is the time at which the caller is expected to disconnect.
	CallerDeadline time.Duration
}

// Plan holds the endpoints that a generation runs on.
type Plan struct {
	// Prefill is nil if the decode endpoint runs the prefill itself.
	Prefill *Endpoint
	Decode  *Endpoint
	// PrefillTime is the expected time until the prefill endpoint has processed the prompt, including its wait for other
	// prompts. It is zero without a prefill endpoint.
	PrefillTime time.Duration
	// LowCapacity is set if the endpoints have so little room left, or are so likely to fail, that the peers should
	// learn of the start immediately instead of with the next periodic message.
	LowCapacity bool
}

// copied returns a copy for a caller, who may change it.
func (p Plan) copied() *Plan {
	return &p
}

// WithoutPrefill returns the plan with the prefill left to the decode endpoint.
func (p Plan) WithoutPrefill() *Plan {
	p.Prefill, p.PrefillTime = nil, 0
	return &p
}

// Decision is the outcome of a request: it either starts or is refused.
type Decision struct {
	RequestID uint64
	// Plan is set if the generation may start.
	Plan *Plan
	// Refused is set if the request cannot be served in time. RetryAfter is then the time after which room is
	// expected.
	Refused    bool
	RetryAfter time.Duration
	// Suspended is set if the request is refused because all endpoints are paused or leave. PausedEndpoint is then the ID of
	// the one whose pause ends first, or empty if all leave.
	Suspended      bool
	PausedEndpoint string
}

// Options configures a planner.
type Options struct {
	// Domain is the failure domain of this gateway.
	Domain string
	// PrefillRate is the assumed prefill speed of an endpoint, in prompt tokens per second, until measurements
	// replace it.
	PrefillRate float64
	// FirstEventOverhead is the time from the start of a generation to its first event on an unloaded endpoint,
	// without the prefill.
	FirstEventOverhead time.Duration
	// MaxPrefillWait is the longest wait for other prompts at a prefill endpoint. A request that would wait longer
	// stays in the queue of the planner.
	MaxPrefillWait time.Duration
	// MaxQueueWait is the time in the queue after which a request is refused.
	MaxQueueWait time.Duration
	// DecodeRate is the assumed decode speed of one request, in output tokens per second, until measurements replace
	// it.
	DecodeRate float64
	// MaxMemoryFraction is the fraction of the KV memory of an endpoint that requests may fill. The rest is for
	// responses that become longer than expected.
	MaxMemoryFraction float64
	// MaxLoadAge is the age from which a load reported by a peer or an endpoint is ignored.
	MaxLoadAge time.Duration
	// Suspensions knows the endpoints that want no requests. Nil means that there are none.
	Suspensions *suspender.Suspender
}

// node holds the state of one endpoint.
type node struct {
	Endpoint
	// ownRuns holds the requests that this gateway runs on a decode endpoint, by request ID.
	ownRuns map[uint64]Run
	// ownBacklogTokens counts the prompt tokens that this gateway sent to a prefill endpoint and that are not yet
	// processed.
	ownBacklogTokens int
	// peerLoads holds the latest load of each peer, by its address.
	peerLoads map[string]peerLoad
	// activeRequests is the number of running requests, sent by any gateway, that the endpoint reported at
	// activeRequestsAt.
	activeRequests   int
	activeRequestsAt time.Duration
	// prefillDoneAt is the time at which a prefill endpoint will have processed the prompts of this gateway.
	prefillDoneAt time.Duration
	// prefillRate is the estimated prefill speed, in tokens per second, without the overhead of a prefill.
	prefillRate float64
	// prefillRateAt is the time of the latest measurement of prefillRate.
	prefillRateAt time.Duration
	// lastPrefill is the speed of the latest prefill of this gateway, which ended at lastPrefillAt.
	lastPrefill   PrefillSample
	lastPrefillAt time.Duration
	// peerPrefillIDs holds the ID of the latest prefill sample of each peer, so that each sample is counted once.
	peerPrefillIDs map[string]uint64
	health
	// removed is set if the endpoint is no longer listed. The node is kept while requests run there.
	removed bool
}

// job is a request that is queued or runs.
type job struct {
	Request
	// class is the priority in the queue. It is Interactive, which is served first, while the first event can still be
	// on time, and Draft afterwards.
	class       scheduler.Class
	submittedAt time.Duration
	// plan is nil while the request is queued.
	plan *Plan
	// prefilling is set from the start until the prefill at a prefill endpoint has ended.
	prefilling bool
	// uncontended is set if no other prefill was known at the prefill endpoint when this one started.
	uncontended bool
}

// Planner holds the queued and running generations of one gateway and the state of the model endpoints. It is not
// safe for concurrent use.
type Planner struct {
	options Options
	rand    *rand.Rand
	// prefillRate is the prefill speed that is assumed of endpoints, in prompt tokens per second, until the latency model
	// of their service has enough measurements. It follows the measurements at all endpoints.
	prefillRate float64
	// latencyModels holds the model of the prefills of each service.
	latencyModels map[string]*latencyModel
	// decodeRate is the estimated decode speed of one request, in output tokens per second. decodeMeasured is set once it
	// comes from a measurement.
	decodeRate     float64
	decodeMeasured bool
	// nodes holds all endpoints by ID, sortedNodes the same endpoints ordered by ID.
	nodes       map[string]*node
	sortedNodes []*node
	// queues holds the queue of each service.
	queues map[string]*scheduler.Scheduler[*job]
	// jobs holds the queued and running requests by request ID.
	jobs map[uint64]*job
	// recentStarts counts the recently started generations of this gateway.
	recentStarts decayer.Sum
	// runBuffer and candidates are reused between calls to avoid allocations.
	runBuffer  []Run
	candidates []candidate
	// ejectionChanges holds the changes since the last call of TakeEjectionChanges.
	ejectionChanges []EjectionChange
}

// New returns a planner without endpoints. r chooses randomly among endpoints that are about equally good.
func New(o Options, r *rand.Rand) *Planner {
	return &Planner{
		options: o, rand: r, prefillRate: o.PrefillRate, decodeRate: o.DecodeRate, nodes: map[string]*node{},
		latencyModels: map[string]*latencyModel{},
		queues:        map[string]*scheduler.Scheduler[*job]{}, jobs: map[uint64]*job{},
	}
}

// SetEndpoints replaces the endpoints that new requests may be sent to. Requests that run on removed endpoints
// remain counted until they end.
func (p *Planner) SetEndpoints(endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		n, ok := p.nodes[e.ID]
		if !ok {
			n = &node{
				ownRuns: map[uint64]Run{}, peerLoads: map[string]peerLoad{}, peerPrefillIDs: map[string]uint64{},
				health: newHealth(), prefillRate: p.prefillRate,
			}
			p.nodes[e.ID] = n
		}
		n.Endpoint, n.removed = e, false
	}
	p.sortedNodes = p.sortedNodes[:0]
	for id, n := range p.nodes {
		n.removed = !listed[id]
		if n.removed && len(n.ownRuns) == 0 && n.ownBacklogTokens == 0 {
			delete(p.nodes, id)
			continue
		}
		p.sortedNodes = append(p.sortedNodes, n)
	}
	sort.Slice(p.sortedNodes, func(i, j int) bool { return p.sortedNodes[i].ID < p.sortedNodes[j].ID })
}

// Submit starts, queues or refuses a request and returns the decisions that follow, which may include decisions for
// other queued requests. If none of them is for this request, it is queued and a later call returns its decision. A
// request is refused if others are queued and its expected wait exceeds MaxQueueWait or reaches beyond its caller
// deadline, and if all endpoints are paused for longer than its caller waits.
func (p *Planner) Submit(r Request, now time.Duration) []Decision {
	j := &job{Request: r, submittedAt: now, class: scheduler.Interactive}
	if p.missesDeadline(j, now) {
		j.class = scheduler.Draft
	}
	if d, refused := p.refusePaused(j, now); refused {
		return []Decision{d}
	}
	q := p.queue(r.Service)
	if wait := p.expectedWait(q, now); q.Len(scheduler.Interactive)+q.Len(scheduler.Draft) > 0 &&
		now+wait > min(r.CallerDeadline, now+p.options.MaxQueueWait) {
		_, resumesAt := p.resumesAt(r.Service, now)
		return []Decision{{RequestID: r.ID, Refused: true, RetryAfter: max(p.retryAfter(wait), resumesAt-now)}}
	}
	p.jobs[r.ID] = j
	q.Push(j.class, r.Account, r.ID, float64(r.PromptTokens+r.ExpectedOutputTokens), j)
	return p.startQueued(r.Service, now)
}

// Tick starts the queued requests that have room now, lowers the priority of those that will miss their first event
// deadline, and refuses those that have waited for MaxQueueWait or cannot get a first event before their caller
// deadline. The time during which all endpoints are paused does not count.
func (p *Planner) Tick(now time.Duration) []Decision {
	var decisions []Decision
	for service, q := range p.queues {
		var demoted, expired []*job
		_, resumesAt := p.resumesAt(service, now)
		q.Each(func(j *job) {
			latestStart := min(
				j.CallerDeadline-p.options.FirstEventOverhead, max(j.submittedAt, resumesAt)+p.options.MaxQueueWait)
			if now > latestStart || resumesAt > j.CallerDeadline-p.options.FirstEventOverhead {
				expired = append(expired, j)
			} else if j.class == scheduler.Interactive && p.missesDeadline(j, now) {
				demoted = append(demoted, j)
			}
		})
		sort.Slice(demoted, func(a, b int) bool { return demoted[a].ID < demoted[b].ID })
		for _, j := range demoted {
			q.Remove(j.class, j.Account, j.ID)
			j.class = scheduler.Draft
			q.Push(j.class, j.Account, j.ID, float64(j.PromptTokens+j.ExpectedOutputTokens), j)
		}
		for _, j := range expired {
			q.Remove(j.class, j.Account, j.ID)
			delete(p.jobs, j.ID)
			d, refused := p.refusePaused(j, now)
			if !refused {
				d = Decision{RequestID: j.ID, Refused: true, RetryAfter: p.retryAfter(p.expectedWait(q, now))}
			}
			decisions = append(decisions, d)
		}
		decisions = append(decisions, p.startQueued(service, now)...)
	}
	return decisions
}

// ReportActiveRequests records the number of running requests, sent by any gateway, that an endpoint has reported.
func (p *Planner) ReportActiveRequests(id string, requests int, now time.Duration) {
	if n, ok := p.nodes[id]; ok {
		n.activeRequests, n.activeRequestsAt = requests, now
	}
}

// End removes a request that was cancelled or has finished, whether it was queued or ran. It returns the decisions
// for queued requests that can start in its place.
func (p *Planner) End(id uint64, now time.Duration) []Decision {
	j, ok := p.jobs[id]
	if !ok {
		return nil
	}
	if j.plan == nil {
		p.queue(j.Service).Remove(j.class, j.Account, j.ID)
		delete(p.jobs, id)
		return nil
	}
	p.unassign(j)
	delete(p.jobs, id)
	return p.startQueued(j.Service, now)
}

// Replan chooses other endpoints for a running request after an endpoint failed or was full. If newPrefill is set,
// the prefill must run again and a prefill endpoint is chosen, otherwise the existing KV cache is used. The endpoint
// excludedID is not chosen. If the decode endpoint must change and no other one has room, Replan returns nil and the
// request stays assigned to the old decode endpoint until it ends. It also returns nil if the request is not running.
// A plan without a prefill endpoint means that the decode endpoint runs the prefill.
func (p *Planner) Replan(id uint64, newPrefill bool, excludedID string, now time.Duration) *Plan {
	j, ok := p.jobs[id]
	if !ok || j.plan == nil {
		return nil
	}
	old := j.plan
	p.unassign(j)
	decode := old.Decode
	if decode.ID == excludedID || p.nodes[decode.ID] == nil || !p.isUsable(p.nodes[decode.ID], now) {
		n, _ := p.pickDecode(j, excludedID, now)
		if n == nil {
			j.plan = &Plan{Prefill: old.Prefill, Decode: old.Decode}
			p.assign(j, false, now)
			return nil
		}
		e := n.Endpoint
		decode = &e
	}
	j.plan = &Plan{Prefill: old.Prefill, Decode: decode}
	if newPrefill {
		j.plan.Prefill = nil
		if n, wait := p.pickPrefill(j, decode.Domain, excludedID, now); n != nil {
			j.plan.Prefill, j.plan.PrefillTime = copyEndpoint(n), p.expectedPrefill(n, j, wait, now)
		}
	}
	p.assign(j, newPrefill && j.plan.Prefill != nil, now)
	if j.prefilling {
		p.schedulePrefill(j, now)
	}
	return j.plan.copied()
}

// Requeue puts a request whose decode endpoint turned out to be full back to the front of the queue of its account. It
// returns the decisions that follow, as Submit does.
func (p *Planner) Requeue(id uint64, now time.Duration) []Decision {
	j, ok := p.jobs[id]
	if !ok || j.plan == nil {
		return nil
	}
	p.unassign(j)
	j.plan = nil
	p.queue(j.Service).PushFront(j.class, j.Account, j.ID, j)
	return p.startQueued(j.Service, now)
}

// startQueued starts the queued requests of a service in the order of the queue, and stops at the first one that has no
// room.
func (p *Planner) startQueued(service string, now time.Duration) []Decision {
	var decisions []Decision
	q := p.queue(service)
	for {
		j, _, ok := q.Peek()
		if !ok {
			return decisions
		}
		plan := p.choosePlan(j, now)
		if plan == nil {
			return decisions
		}
		q.Pop()
		j.plan = plan
		p.assign(j, plan.Prefill != nil, now)
		if j.prefilling {
			p.schedulePrefill(j, now)
		}
		p.recentStarts = p.recentStarts.With(1, startRateWindow, now)
		decisions = append(decisions, Decision{RequestID: j.ID, Plan: plan.copied()})
	}
}
