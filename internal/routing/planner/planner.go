// Package planner decides when a generation starts and on which endpoints. A prompt is read only when a decode
// endpoint has room for its whole answer, because a prefilled KV cache lives for half a second and work on a prompt
// whose answer finds no room is lost. Requests that can't start at once wait here, fair among client accounts;
// those that can still be on time go first, and those that would wait too long are refused at once.
//
// It answers bursts of about twice the usual generations, when decode slots and KV memory run short for seconds.
package planner

import (
	"math/rand/v2"
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/scheduler"
)

// Stage is the part of a generation that an endpoint serves.
type Stage uint8

// The stages.
const (
	Prefill Stage = iota + 1
	Decode
)

// Endpoint is a model endpoint.
type Endpoint struct {
	ID      string
	Address string
	Service string
	Domain  string
	Stage   Stage
	// Slots is how many requests run at a time, Memory the KV memory in tokens.
	Slots        int
	MemoryTokens int
}

// Request is a generation that asks for endpoints.
type Request struct {
	// ID is unique in this process and never zero.
	ID      uint64
	Account string
	Service string
	// PromptTokens and Output are the prompt length and the expected answer, in tokens.
	PromptTokens         int
	ExpectedOutputTokens int
	// FirstEventDeadline is the latest time of the first event that is on time, Latest the time at which the caller leaves.
	FirstEventDeadline time.Duration
	CallerDeadline     time.Duration
}

// Plan is where a generation runs.
type Plan struct {
	// Prefill is empty where the decode endpoint reads the prompt itself.
	Prefill *Endpoint
	Decode  *Endpoint
	// LowCapacity is set where so little room is left that the other gateways should know of the start at once.
	LowCapacity bool
}

// Decision is the answer to a request.
type Decision struct {
	RequestID uint64
	// Plan is set where the generation may start.
	Plan *Plan
	// Refused is set where it can't be served in time; RetryAfter tells when room is expected.
	Refused    bool
	RetryAfter time.Duration
}

// Options are the bounds of a planner.
type Options struct {
	// Domain is the own failure domain.
	Domain string
	// PrefillRate is the speed of reading prompts, in tokens a second, that is supposed of an endpoint until it has shown
	// its own.
	PrefillRate float64
	// FirstEventOverhead is the time from a start to the first event of an unloaded generation, without reading the prompt.
	FirstEventOverhead time.Duration
	// MaxPrefillWait is the longest wait at a prefill endpoint that a generation joins.
	MaxPrefillWait time.Duration
	// MaxQueueWait is the longest time that a request that will be late waits here.
	MaxQueueWait time.Duration
	// DecodeRate is the speed at which an answer is made, in tokens a second, that is supposed until answers were made.
	DecodeRate float64
	// MaxMemoryFraction is the part of an endpoint's KV memory that runs may fill; the rest covers answers that turn out
	// longer than expected.
	MaxMemoryFraction float64
	// MaxLoadAge is the age at which the load that another gateway reported is not believed any more.
	MaxLoadAge time.Duration
}

// node is what is known of an endpoint.
type node struct {
	Endpoint
	// ownRuns are the own runs by request, backlog the own prompt tokens not read yet.
	ownRuns          map[uint64]Run
	ownBacklogTokens int
	peerLoads        map[string]peerLoad
	// activeRequests is how many requests the endpoint said it holds at heldAt.
	activeRequests   int
	activeRequestsAt time.Duration
	// prefillDoneAt is when the known prompts of a prefill endpoint are read, readRate how fast it reads, in tokens a second.
	prefillDoneAt time.Duration
	prefillRate   float64
	// lastPrefill is the latest prompt that was read for this gateway, at readSeen; heard numbers those of the others.
	lastPrefill    PrefillSample
	lastPrefillAt  time.Duration
	peerPrefillIDs map[string]uint64
	health
	removed bool
}

// job is a request that waits or runs.
type job struct {
	Request
	class       scheduler.Class
	submittedAt time.Duration
	plan        *Plan
	// prefilling is set until the prompt has been read, alone where nothing else was known to be read there meanwhile.
	prefilling  bool
	uncontended bool
}

// Planner is not safe for concurrent use.
type Planner struct {
	options Options
	rand    *rand.Rand
	// decodeRate is how fast answers are made, in tokens a second.
	decodeRate  float64
	nodes       map[string]*node
	sortedNodes []*node
	queues      map[string]*scheduler.Scheduler[*job]
	jobs        map[uint64]*job
	// startCount is a decaying count of own starts, of the time at startsAt.
	startCount      float64
	startCountAt    time.Duration
	runBuffer       []Run
	candidates      []candidate
	ejectionChanges []EjectionChange
}

// New returns a planner without endpoints; r draws among endpoints that are about as good.
func New(o Options, r *rand.Rand) *Planner {
	return &Planner{
		options: o, rand: r, decodeRate: o.DecodeRate, nodes: map[string]*node{}, queues: map[string]*scheduler.Scheduler[*job]{},
		jobs: map[uint64]*job{},
	}
}

// SetEndpoints replaces the endpoints that new work may go to; running work stays counted.
func (p *Planner) SetEndpoints(endpoints []Endpoint) {
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		n, ok := p.nodes[e.ID]
		if !ok {
			n = &node{ownRuns: map[uint64]Run{}, peerLoads: map[string]peerLoad{}, peerPrefillIDs: map[string]uint64{}, health: newHealth(), prefillRate: p.options.PrefillRate}
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

// Submit takes in a request. Without a plan and without a refusal it waits, and a later verdict follows.
func (p *Planner) Submit(r Request, now time.Duration) []Decision {
	j := &job{Request: r, submittedAt: now, class: scheduler.Interactive}
	if p.missesDeadline(j, now) {
		j.class = scheduler.Draft
	}
	q := p.queue(r.Service)
	if wait := p.expectedWait(q, now); q.Len(scheduler.Interactive)+q.Len(scheduler.Draft) > 0 && now+wait > min(r.CallerDeadline, now+p.options.MaxQueueWait) {
		return []Decision{{RequestID: r.ID, Refused: true, RetryAfter: p.retryAfter(wait)}}
	}
	p.jobs[r.ID] = j
	q.Push(j.class, r.Account, r.ID, float64(r.PromptTokens+r.ExpectedOutputTokens), j)
	return p.startQueued(r.Service, now)
}

// Tick starts what can start now, and refuses what can't be served in time any more.
func (p *Planner) Tick(now time.Duration) []Decision {
	var decisions []Decision
	for service, q := range p.queues {
		var demoted, expired []*job
		q.Each(func(j *job) {
			if now > j.CallerDeadline-p.options.FirstEventOverhead || now > j.submittedAt+p.options.MaxQueueWait {
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
			decisions = append(decisions, Decision{RequestID: j.ID, Refused: true, RetryAfter: p.retryAfter(p.expectedWait(q, now))})
		}
		decisions = append(decisions, p.startQueued(service, now)...)
	}
	return decisions
}

// ReportActiveRequests takes in how many requests an endpoint says it holds, of all gateways.
func (p *Planner) ReportActiveRequests(id string, requests int, now time.Duration) {
	if n, ok := p.nodes[id]; ok {
		n.activeRequests, n.activeRequestsAt = requests, now
	}
}

// End records that a request is over, whether it waited or ran.
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

// Replan looks for other endpoints for a request whose endpoint failed or was full. Prefill asks for a new prefill
// endpoint, else the prompt is kept where it was read. The plan is nil where there is no room.
func (p *Planner) Replan(id uint64, newPrefill bool, excludedID string, now time.Duration) *Plan {
	j, ok := p.jobs[id]
	if !ok || j.plan == nil {
		return nil
	}
	old := j.plan
	p.unassign(j)
	decode := old.Decode
	if decode.ID == excludedID || p.nodes[decode.ID] == nil || p.nodes[decode.ID].removed {
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
		if n, _ := p.pickPrefill(j, decode.Domain, excludedID, now); n != nil {
			e := n.Endpoint
			j.plan.Prefill = &e
		}
	}
	p.assign(j, newPrefill && j.plan.Prefill != nil, now)
	if j.prefilling {
		p.schedulePrefill(j, now)
	}
	return j.plan
}

// Requeue puts a request whose decode endpoint turned out to be full back to where it waited.
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

// startQueued starts waiting requests in their order while there is room.
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
		p.recordStart(now)
		decisions = append(decisions, Decision{RequestID: j.ID, Plan: plan})
	}
}
