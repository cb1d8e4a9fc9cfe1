package planner

import "time"

const (
	// slowerSampleWeight and fasterSampleWeight are the weights of one prefill in the estimated prefill speed of an
	// endpoint, if it was slower or faster than the estimate. A faster prefill is always valid evidence. A slower
	// one counts only if it was uncontended, because otherwise it may have waited for other prompts.
	slowerSampleWeight = 0.25
	fasterSampleWeight = 0.5
	// decodeSampleWeight is the weight of one response in the estimated decode speed.
	decodeSampleWeight = 0.05
	// maxRateFactor is the largest factor by which an estimated speed may be above or below the configured one.
	maxRateFactor = 10
	// prefillReportTime is the time for which the latest prefill is reported to the peers.
	prefillReportTime = 2 * time.Second
)

// PrefillSample is the measured speed of one prefill at an endpoint.
type PrefillSample struct {
	// ID differs for each prefill of a gateway at the endpoint. It is zero if there was none.
	ID uint64
	// TokensPerSecond is the prompt length divided by the time from the request to its end, including waiting.
	TokensPerSecond float64
	// Uncontended is set if no other prefill was known at the endpoint when this one started.
	Uncontended bool
}

// RecordPrefill records that the prefill of a request has ended and how long it took.
func (p *Planner) RecordPrefill(id uint64, duration, now time.Duration) {
	j, ok := p.jobs[id]
	if !ok || !j.prefilling {
		return
	}
	uncontended := j.uncontended
	p.endPrefill(j)
	n, ok := p.nodes[prefillID(j.plan)]
	if !ok || duration <= 0 {
		return
	}
	n.lastPrefill = PrefillSample{
		ID: n.lastPrefill.ID + 1, TokensPerSecond: float64(j.PromptTokens) / duration.Seconds(), Uncontended: uncontended,
	}
	n.lastPrefillAt = now
	p.updatePrefillRate(n, n.lastPrefill)
}

// CancelPrefill records that the planned prefill of a request failed or will not run, so that it no longer counts as
// backlog.
func (p *Planner) CancelPrefill(id uint64) {
	if j, ok := p.jobs[id]; ok && j.prefilling {
		p.endPrefill(j)
	}
}

// RecordDecode records how many output tokens a decode endpoint generated within a duration.
func (p *Planner) RecordDecode(tokens int, duration time.Duration) {
	if tokens <= 0 || duration <= 0 {
		return
	}
	rate := p.decodeRate + decodeSampleWeight*(float64(tokens)/duration.Seconds()-p.decodeRate)
	p.decodeRate = p.options.clampRate(rate, p.options.DecodeRate)
}

// endPrefill removes the prompt of a request from the backlog of its prefill endpoint.
func (p *Planner) endPrefill(j *job) {
	j.prefilling = false
	if n, ok := p.nodes[prefillID(j.plan)]; ok {
		n.ownBacklogTokens -= j.PromptTokens
	}
}

// updatePrefillRate moves the estimated prefill speed of an endpoint towards a sample.
func (p *Planner) updatePrefillRate(n *node, s PrefillSample) {
	rate := n.prefillRate
	switch {
	case s.TokensPerSecond > rate:
		rate += fasterSampleWeight * (s.TokensPerSecond - rate)
	case s.Uncontended:
		rate += slowerSampleWeight * (s.TokensPerSecond - rate)
	}
	n.prefillRate = p.options.clampRate(rate, p.options.PrefillRate)
}

// clampRate limits a rate to within a factor of maxRateFactor of the configured initial rate.
func (o Options) clampRate(rate, initialRate float64) float64 {
	return min(initialRate*maxRateFactor, max(initialRate/maxRateFactor, rate))
}
