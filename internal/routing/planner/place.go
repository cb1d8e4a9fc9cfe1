package planner

import (
	"math"
	"time"
)

const (
	// remoteShare is what a decode endpoint without a free prefill endpoint in its failure domain costs, as a share of its
	// load: the KV cache would come from another domain.
	remoteShare = 0.15
	// ownDomainShare is what another failure domain than the gateway's costs.
	ownDomainShare = 0.04
	// remoteRead is how much longer a prefill endpoint of another failure domain may be preferred for.
	remoteRead = 120 * time.Millisecond
	// alikeShare and alikeRead are the differences, in load and in time, below which endpoints count as equally good.
	alikeShare = 0.05
	alikeRead  = 60 * time.Millisecond
	// tightShare is the load of a decode endpoint from which the other gateways are told of a start at once.
	tightShare = 0.5
)

// place returns endpoints with room for the request, or nil.
func (p *Planner) place(j *job, now time.Duration) *Plan {
	decode, load := p.pickDecode(j, "", now)
	if decode == nil {
		return nil
	}
	plan := &Plan{Decode: copyOf(decode), LowCapacity: load > tightShare || decode.halfOpen()}
	prefill, wait := p.pickPrefill(j, decode.Domain, "", now)
	if prefill == nil {
		// Without a prefill endpoint the decode endpoint reads the prompt itself.
		return plan
	}
	if wait > p.options.MaxPrefillWait {
		return nil
	}
	plan.Prefill = copyOf(prefill)
	return plan
}

func copyOf(n *node) *Endpoint {
	e := n.Endpoint
	return &e
}

// pickDecode returns a decode endpoint that has about the most room, or nil, and how much of it will be used.
func (p *Planner) pickDecode(j *job, avoid string, now time.Duration) (n *node, load float64) {
	p.choice = p.choice[:0]
	believe := p.trusted(j.Service, Decode, now)
	for _, n := range p.order {
		if n.Stage != Decode || n.Service != j.Service || n.ID == avoid || !n.open(now) {
			continue
		}
		runs, peak := p.used(n, j, now)
		full := float64(peak) > p.options.MaxMemoryFraction*float64(n.MemoryTokens)
		if runs >= n.Slots || (full && runs > 0) || (believe && n.avoided(runs > 0, now)) {
			continue
		}
		score := max(float64(runs)/float64(n.Slots), float64(peak)/float64(n.MemoryTokens))
		if n.Domain != p.options.Domain {
			score += ownDomainShare
		}
		if !p.readerIn(n.Domain, j.Service, now) {
			score += remoteShare
		}
		p.choice = append(p.choice, candidate{node: n, cost: score})
	}
	c := p.draw(alikeShare)
	return c.node, c.cost
}

// readerIn tells whether a prefill endpoint of the domain could take a prompt soon.
func (p *Planner) readerIn(domain, service string, now time.Duration) bool {
	for _, n := range p.order {
		if n.Stage == Prefill && n.Service == service && n.Domain == domain && n.open(now) && p.readWait(n, now) < remoteRead {
			return true
		}
	}
	return false
}

// pickPrefill returns a prefill endpoint that begins about first, counting another failure domain than the decode
// endpoint's as a wait, and how long it would keep the prompt waiting.
func (p *Planner) pickPrefill(j *job, domain, avoid string, now time.Duration) (best *node, wait time.Duration) {
	p.choice = p.choice[:0]
	believe := p.trusted(j.Service, Prefill, now)
	for _, n := range p.order {
		if n.Stage != Prefill || n.Service != j.Service || n.ID == avoid || !n.open(now) {
			continue
		}
		w := p.readWait(n, now)
		if believe && n.avoided(w > 0, now) {
			continue
		}
		cost := w + n.readTime(j.PromptTokens)
		if n.Domain != domain {
			cost += remoteRead
		}
		p.choice = append(p.choice, candidate{node: n, cost: cost.Seconds(), wait: w})
	}
	c := p.draw(alikeRead.Seconds())
	return c.node, c.wait
}

// candidate is an endpoint with room.
type candidate struct {
	node *node
	cost float64
	wait time.Duration
}

// draw returns one of the candidates whose cost is less than a margin above the lowest. What the gateways know of each
// other's starts is a little old: if all took the best, they would take the same.
func (p *Planner) draw(margin float64) (drawn candidate) {
	lowest := math.Inf(1)
	for _, c := range p.choice {
		lowest = min(lowest, c.cost)
	}
	alike := 0
	for _, c := range p.choice {
		if c.cost > lowest+margin {
			continue
		}
		alike++
		if p.rand.IntN(alike) == 0 {
			drawn = c
		}
	}
	return drawn
}

// used counts what all gateways run on a decode endpoint, and how much KV memory they will fill at most if the
// request joins them.
func (p *Planner) used(n *node, j *job, now time.Duration) (runs, peak int) {
	p.scratch = append(p.scratch[:0], Run{PromptTokens: j.PromptTokens, ExpectedOutputTokens: j.ExpectedOutputTokens})
	for _, r := range n.own {
		p.scratch = append(p.scratch, r.at(now))
	}
	for _, l := range n.peers {
		age := now - l.at
		if age >= p.options.MaxLoadAge {
			continue
		}
		for _, r := range l.Runs {
			r.Age += age
			p.scratch = append(p.scratch, r)
		}
	}
	if now-n.heldAt < p.options.MaxLoadAge {
		// What the endpoint holds beyond what is known here runs for gateways out of reach.
		for len(p.scratch)-1 < n.held {
			p.scratch = append(p.scratch, Run{PromptTokens: j.PromptTokens, ExpectedOutputTokens: j.ExpectedOutputTokens, Age: unknownAge})
		}
	}
	return len(p.scratch) - 1, peakOf(p.scratch, p.decodeRate)
}

// readWait is the time until a prefill endpoint has read what all gateways gave it.
func (p *Planner) readWait(n *node, now time.Duration) time.Duration {
	wait := max(0, n.readAt-now)
	for _, l := range n.peers {
		age := now - l.at
		if age < p.options.MaxLoadAge {
			wait += max(0, n.readTime(l.BacklogTokens)-age)
		}
	}
	return wait
}

// readTime is how long the endpoint reads a prompt.
func (n *node) readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / n.readRate * float64(time.Second))
}

func (p *Planner) charge(j *job, reading bool, now time.Duration) {
	if n, ok := p.nodes[j.plan.Decode.ID]; ok {
		n.own[j.ID] = Run{PromptTokens: j.PromptTokens, ExpectedOutputTokens: j.ExpectedOutputTokens, start: now}
	}
	j.reading = reading
	if n, ok := p.nodes[prefillID(j.plan)]; ok && reading {
		n.backlog += j.PromptTokens
	}
}

func (p *Planner) enqueueRead(j *job, now time.Duration) {
	if n, ok := p.nodes[prefillID(j.plan)]; ok {
		j.alone = p.readWait(n, now) == 0
		n.readAt = max(now, n.readAt) + n.readTime(j.PromptTokens)
	}
}

func (p *Planner) release(j *job) {
	if n, ok := p.nodes[j.plan.Decode.ID]; ok {
		delete(n.own, j.ID)
	}
	if j.reading {
		p.stopReading(j)
	}
}

func prefillID(plan *Plan) string {
	if plan.Prefill == nil {
		return ""
	}
	return plan.Prefill.ID
}
