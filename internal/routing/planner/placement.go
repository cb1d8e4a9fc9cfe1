package planner

import (
	"math"
	"time"
)

const (
	// remotePrefillPenalty is added to the load of a decode endpoint, a fraction from 0 to 1, if no prefill endpoint
	// in its failure domain is free soon: the KV cache would be transferred from another failure domain.
	remotePrefillPenalty = 0.15
	// remoteDomainPenalty is added to the load of a decode endpoint in another failure domain than that of this
	// gateway.
	remoteDomainPenalty = 0.04
	// remotePrefillDelay is added to the expected prefill time of an endpoint in another failure domain than the
	// decode endpoint. Such an endpoint is preferred only if it would finish earlier by more than this. A prefill
	// endpoint with a shorter wait than this counts as free soon.
	remotePrefillDelay = 120 * time.Millisecond
	// Decode endpoints whose loads differ by at most equalLoadMargin, and prefill endpoints whose expected prefill
	// times differ by at most equalPrefillTimeMargin, count as equally good.
	equalLoadMargin        = 0.05
	equalPrefillTimeMargin = 60 * time.Millisecond
	// lowCapacityLoad is the load of a decode endpoint above which a start is announced to the peers immediately.
	lowCapacityLoad = 0.5
)

// choosePlan returns the endpoints on which the request can start now, or nil if it has to stay in the queue.
func (p *Planner) choosePlan(j *job, now time.Duration) *Plan {
	decode, load := p.pickDecode(j, "", now)
	if decode == nil {
		return nil
	}
	plan := &Plan{Decode: copyEndpoint(decode), LowCapacity: load > lowCapacityLoad || decode.halfOpen()}
	prefill, wait := p.pickPrefill(j, decode.Domain, "", now)
	if prefill == nil {
		// The decode endpoint runs the prefill itself.
		return plan
	}
	if wait > p.options.MaxPrefillWait {
		return nil
	}
	plan.Prefill, plan.PrefillTime = copyEndpoint(prefill), p.expectedPrefill(prefill, j, wait, now)
	return plan
}

// expectedPrefill returns the expected time until a prefill endpoint has processed the prompt of a request that has to
// wait there.
func (p *Planner) expectedPrefill(n *node, j *job, wait, now time.Duration) time.Duration {
	overhead, _ := p.typicalPrefill(n.Service)
	return wait + overhead + p.prefillTimeAt(n, j.PromptTokens, now)
}

func copyEndpoint(n *node) *Endpoint {
	e := n.Endpoint
	return &e
}

// pickDecode returns one of the decode endpoints with the lowest load, and that load including penalties, or nil if
// none has room. An endpoint without running requests has room even if the request alone exceeds its memory limit.
func (p *Planner) pickDecode(j *job, excludedID string, now time.Duration) (n *node, load float64) {
	p.candidates = p.candidates[:0]
	useSharedEjections := p.sharedEjectionsApply(j.Service, Decode, now)
	for _, n := range p.sortedNodes {
		if n.Stage != Decode || n.Service != j.Service || n.ID == excludedID || !p.isAvailable(n, now) {
			continue
		}
		slots, _ := p.options.Suspensions.Slots(n.ID, n.Slots, now)
		runs, peak := p.projectedUsage(n, j, now)
		memoryFull := float64(peak) > p.options.MaxMemoryFraction*float64(n.MemoryTokens)
		if runs >= slots || (memoryFull && runs > 0) || (useSharedEjections && n.sharedEjectionActive(runs > 0, now)) {
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

// prefillAvailable reports whether a prefill endpoint of the failure domain can start a prompt soon.
func (p *Planner) prefillAvailable(domain, service string, now time.Duration) bool {
	for _, n := range p.sortedNodes {
		if n.Stage == Prefill && n.Service == service && n.Domain == domain && p.isAvailable(n, now) &&
			p.prefillWait(n, now) < remotePrefillDelay {
			return true
		}
	}
	return false
}

// pickPrefill returns one of the prefill endpoints that would finish the prompt first, and the wait until it starts.
// Endpoints outside the given failure domain, which is that of the decode endpoint, are charged an additional delay.
// best is nil if no prefill endpoint is available.
func (p *Planner) pickPrefill(j *job, domain, excludedID string, now time.Duration) (best *node, wait time.Duration) {
	p.candidates = p.candidates[:0]
	useSharedEjections := p.sharedEjectionsApply(j.Service, Prefill, now)
	for _, n := range p.sortedNodes {
		if n.Stage != Prefill || n.Service != j.Service || n.ID == excludedID || !p.isAvailable(n, now) {
			continue
		}
		w := p.prefillWait(n, now)
		_, isRamping := p.options.Suspensions.Slots(n.ID, n.Slots, now)
		if (useSharedEjections && n.sharedEjectionActive(w > 0, now)) || (isRamping && w > 0) {
			continue
		}
		cost := w + p.prefillTimeAt(n, j.PromptTokens, now)
		if n.Domain != domain {
			cost += remotePrefillDelay
		}
		p.candidates = append(p.candidates, candidate{node: n, cost: cost.Seconds(), wait: w})
	}
	c := p.pickCandidate(equalPrefillTimeMargin.Seconds())
	return c.node, c.wait
}

// candidate is an endpoint with room and its cost: the load of a decode endpoint, or the expected time in seconds of
// a prefill endpoint. wait is set for prefill endpoints only.
type candidate struct {
	node *node
	cost float64
	wait time.Duration
}

// pickCandidate returns one of the candidates whose cost exceeds the lowest cost by at most margin, chosen at
// random, or the zero candidate if there are none. The load that gateways know of each other is slightly outdated:
// if each gateway took the best endpoint, all would take the same one.
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

// projectedUsage returns the number of requests of all gateways on a decode endpoint, and the highest amount of KV
// memory, in tokens, that they will fill together with the given request.
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
		// Requests that the endpoint reports beyond those known here belong to gateways that cannot be reached.
		for len(p.runBuffer)-1 < n.activeRequests {
			p.runBuffer = append(p.runBuffer, Run{
				PromptTokens: j.PromptTokens, ExpectedOutputTokens: j.ExpectedOutputTokens, Age: assumedRunAge,
			})
		}
	}
	return len(p.runBuffer) - 1, peakMemoryTokens(p.runBuffer, p.decodeRate)
}

// prefillWait returns the time until a prefill endpoint has processed the prompts that all gateways sent to it.
func (p *Planner) prefillWait(n *node, now time.Duration) time.Duration {
	wait := max(0, n.prefillDoneAt-now)
	rate := p.prefillRateOf(n, now)
	for _, l := range n.peerLoads {
		age := now - l.receivedAt
		if age < p.options.MaxLoadAge {
			wait += max(0, prefillTime(l.BacklogTokens, rate)-age)
		}
	}
	return wait
}

// prefillTimeAt returns how long a prompt of the given length keeps an endpoint busy.
func (p *Planner) prefillTimeAt(n *node, tokens int, now time.Duration) time.Duration {
	return prefillTime(tokens, p.prefillRateOf(n, now))
}

// prefillTime returns how long a prompt takes at a prefill speed in tokens per second.
func prefillTime(tokens int, rate float64) time.Duration {
	return time.Duration(float64(tokens) / rate * float64(time.Second))
}

// assign counts a request with a plan on its decode endpoint and, if prefilling is set, on its prefill endpoint.
func (p *Planner) assign(j *job, prefilling bool, now time.Duration) {
	if n, ok := p.nodes[j.plan.Decode.ID]; ok {
		n.ownRuns[j.ID] = Run{PromptTokens: j.PromptTokens, ExpectedOutputTokens: j.ExpectedOutputTokens, startedAt: now}
	}
	j.prefilling = prefilling
	if n, ok := p.nodes[prefillID(j.plan)]; ok && prefilling {
		n.ownBacklogTokens += j.PromptTokens
	}
}

// schedulePrefill adds the expected prefill time of a request to the time at which its prefill endpoint will be done,
// and records whether any other prefill was pending there.
func (p *Planner) schedulePrefill(j *job, now time.Duration) {
	if n, ok := p.nodes[prefillID(j.plan)]; ok {
		j.uncontended = p.prefillWait(n, now) == 0
		n.prefillDoneAt = max(now, n.prefillDoneAt) + p.prefillTimeAt(n, j.PromptTokens, now)
	}
}

// unassign removes a request from the endpoints of its plan.
func (p *Planner) unassign(j *job) {
	if n, ok := p.nodes[j.plan.Decode.ID]; ok {
		delete(n.ownRuns, j.ID)
	}
	if j.prefilling {
		p.endPrefill(j)
	}
}

// prefillID returns the ID of the prefill endpoint of a plan, or an empty string if the plan has none.
func prefillID(plan *Plan) string {
	if plan.Prefill == nil {
		return ""
	}
	return plan.Prefill.ID
}
