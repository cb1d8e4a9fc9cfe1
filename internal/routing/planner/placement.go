package planner

import (
	"math"
	"time"
)

const (
	// remotePrefillPenalty is what a decode endpoint without a free prefill endpoint in its failure domain costs, as a share of its
	// load: the KV cache would come from another domain.
	remotePrefillPenalty = 0.15
	// remoteDomainPenalty is what another failure domain than the gateway's costs.
	remoteDomainPenalty = 0.04
	// remotePrefillDelay is how much longer a prefill endpoint of another failure domain may be preferred for.
	remotePrefillDelay = 120 * time.Millisecond
	// equalLoadMargin and alikeRead are the differences, in load and in time, below which endpoints count as equally good.
	equalLoadMargin        = 0.05
	equalPrefillTimeMargin = 60 * time.Millisecond
	// lowCapacityLoad is the load of a decode endpoint from which the other gateways are told of a start at once.
	lowCapacityLoad = 0.5
)

// choosePlan returns endpoints with room for the request, or nil.
func (p *Planner) choosePlan(j *job, now time.Duration) *Plan {
	decode, load := p.pickDecode(j, "", now)
	if decode == nil {
		return nil
	}
	plan := &Plan{Decode: copyEndpoint(decode), LowCapacity: load > lowCapacityLoad || decode.halfOpen()}
	prefill, wait := p.pickPrefill(j, decode.Domain, "", now)
	if prefill == nil {
		// Without a prefill endpoint the decode endpoint reads the prompt itself.
		return plan
	}
	if wait > p.options.MaxPrefillWait {
		return nil
	}
	plan.Prefill = copyEndpoint(prefill)
	return plan
}

func copyEndpoint(n *node) *Endpoint {
	e := n.Endpoint
	return &e
}

// pickDecode returns a decode endpoint that has about the most room, or nil, and how much of it will be used.
func (p *Planner) pickDecode(j *job, excludedID string, now time.Duration) (n *node, load float64) {
	p.candidates = p.candidates[:0]
	useSharedEjections := p.sharedEjectionsApply(j.Service, Decode, now)
	for _, n := range p.sortedNodes {
		if n.Stage != Decode || n.Service != j.Service || n.ID == excludedID || !n.available(now) {
			continue
		}
		runs, peak := p.projectedUsage(n, j, now)
		memoryFull := float64(peak) > p.options.MaxMemoryFraction*float64(n.MemoryTokens)
		if runs >= n.Slots || (memoryFull && runs > 0) || (useSharedEjections && n.sharedEjectionActive(runs > 0, now)) {
			continue
		}
		cost := max(float64(runs)/float64(n.Slots), float64(peak)/float64(n.MemoryTokens))
		if n.Domain != p.options.Domain {
			cost += remoteDomainPenalty
		}
		if !p.prefillAvailable(n.Domain, j.Service, now) {
			cost += remotePrefillPenalty
		}
		p.candidates = append(p.candidates, candidate{node: n, cost: cost})
	}
	c := p.pickCandidate(equalLoadMargin)
	return c.node, c.cost
}

// prefillAvailable tells whether a prefill endpoint of the domain could take a prompt soon.
func (p *Planner) prefillAvailable(domain, service string, now time.Duration) bool {
	for _, n := range p.sortedNodes {
		if n.Stage == Prefill && n.Service == service && n.Domain == domain && n.available(now) && p.prefillWait(n, now) < remotePrefillDelay {
			return true
		}
	}
	return false
}

// pickPrefill returns a prefill endpoint that begins about first, counting another failure domain than the decode
// endpoint's as a wait, and how long it would keep the prompt waiting.
func (p *Planner) pickPrefill(j *job, domain, excludedID string, now time.Duration) (best *node, wait time.Duration) {
	p.candidates = p.candidates[:0]
	useSharedEjections := p.sharedEjectionsApply(j.Service, Prefill, now)
	for _, n := range p.sortedNodes {
		if n.Stage != Prefill || n.Service != j.Service || n.ID == excludedID || !n.available(now) {
			continue
		}
		w := p.prefillWait(n, now)
		if useSharedEjections && n.sharedEjectionActive(w > 0, now) {
			continue
		}
		cost := w + n.prefillTime(j.PromptTokens)
		if n.Domain != domain {
			cost += remotePrefillDelay
		}
		p.candidates = append(p.candidates, candidate{node: n, cost: cost.Seconds(), wait: w})
	}
	c := p.pickCandidate(equalPrefillTimeMargin.Seconds())
	return c.node, c.wait
}

// candidate is an endpoint with room.
type candidate struct {
	node *node
	cost float64
	wait time.Duration
}

// pickCandidate returns one of the candidates whose cost is less than a margin above the lowest. What the gateways know of each
// other's starts is a little old: if all took the best, they would take the same.
func (p *Planner) pickCandidate(margin float64) (picked candidate) {
	lowest := math.Inf(1)
	for _, c := range p.candidates {
		lowest = min(lowest, c.cost)
	}
	equalCandidates := 0
	for _, c := range p.candidates {
		if c.cost > lowest+margin {
			continue
		}
		equalCandidates++
		if p.rand.IntN(equalCandidates) == 0 {
			picked = c
		}
	}
	return picked
}

// projectedUsage counts what all gateways run on a decode endpoint, and how much KV memory they will fill at most if the
// request joins them.
func (p *Planner) projectedUsage(n *node, j *job, now time.Duration) (runs, peak int) {
	p.runBuffer = append(p.runBuffer[:0], Run{PromptTokens: j.PromptTokens, ExpectedOutputTokens: j.ExpectedOutputTokens})
	for _, r := range n.ownRuns {
		p.runBuffer = append(p.runBuffer, r.withAge(now))
	}
	for _, l := range n.peerLoads {
		age := now - l.receivedAt
		if age >= p.options.MaxLoadAge {
			continue
		}
		for _, r := range l.Runs {
			r.Age += age
			p.runBuffer = append(p.runBuffer, r)
		}
	}
	if now-n.activeRequestsAt < p.options.MaxLoadAge {
		// What the endpoint holds beyond what is known here runs for gateways out of reach.
		for len(p.runBuffer)-1 < n.activeRequests {
			p.runBuffer = append(p.runBuffer, Run{PromptTokens: j.PromptTokens, ExpectedOutputTokens: j.ExpectedOutputTokens, Age: assumedRunAge})
		}
	}
	return len(p.runBuffer) - 1, peakMemoryTokens(p.runBuffer, p.decodeRate)
}

// prefillWait is the time until a prefill endpoint has read what all gateways gave it.
func (p *Planner) prefillWait(n *node, now time.Duration) time.Duration {
	wait := max(0, n.prefillDoneAt-now)
	for _, l := range n.peerLoads {
		age := now - l.receivedAt
		if age < p.options.MaxLoadAge {
			wait += max(0, n.prefillTime(l.BacklogTokens)-age)
		}
	}
	return wait
}

// prefillTime is how long the endpoint reads a prompt.
func (n *node) prefillTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / n.prefillRate * float64(time.Second))
}

func (p *Planner) assign(j *job, prefilling bool, now time.Duration) {
	if n, ok := p.nodes[j.plan.Decode.ID]; ok {
		n.ownRuns[j.ID] = Run{PromptTokens: j.PromptTokens, ExpectedOutputTokens: j.ExpectedOutputTokens, startedAt: now}
	}
	j.prefilling = prefilling
	if n, ok := p.nodes[prefillID(j.plan)]; ok && prefilling {
		n.ownBacklogTokens += j.PromptTokens
	}
}

func (p *Planner) schedulePrefill(j *job, now time.Duration) {
	if n, ok := p.nodes[prefillID(j.plan)]; ok {
		j.uncontended = p.prefillWait(n, now) == 0
		n.prefillDoneAt = max(now, n.prefillDoneAt) + n.prefillTime(j.PromptTokens)
	}
}

func (p *Planner) unassign(j *job) {
	if n, ok := p.nodes[j.plan.Decode.ID]; ok {
		delete(n.ownRuns, j.ID)
	}
	if j.prefilling {
		p.endPrefill(j)
	}
}

func prefillID(plan *Plan) string {
	if plan.Prefill == nil {
		return ""
	}
	return plan.Prefill.ID
}
