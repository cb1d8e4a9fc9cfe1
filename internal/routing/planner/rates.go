package planner

import "time"

const (
	// slowerSampleWeight and learnFaster are the weights of one prompt in the reading speed of an endpoint. A fast one shows
	// the speed whatever else was read; a slow one only where nothing else was.
	slowerSampleWeight = 0.25
	fasterSampleWeight = 0.5
	// decodeSampleWeight is the weight of one answer in the speed at which answers are made.
	decodeSampleWeight = 0.05
	// maxRateFactor bounds the speeds learned, as a part of those supposed at first and the other way round.
	maxRateFactor = 10
	// prefillReportTime is how long the latest prompt is told to the other gateways.
	prefillReportTime = 2 * time.Second
)

// PrefillSample is how fast an endpoint read a prompt.
type PrefillSample struct {
	// ID is another one for each prompt; zero where none was read.
	ID uint64
	// TokensPerSecond is in tokens a second.
	TokensPerSecond float64
	// Uncontended is set where nothing else was known to be read there meanwhile.
	Uncontended bool
}

// RecordPrefill records that the prompt has been read, in the time that it took.
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
	n.lastPrefill = PrefillSample{ID: n.lastPrefill.ID + 1, TokensPerSecond: float64(j.PromptTokens) / duration.Seconds(), Uncontended: uncontended}
	n.lastPrefillAt = now
	p.updatePrefillRate(n, n.lastPrefill)
}

// CancelPrefill records that the prompt won't be read where that was planned.
func (p *Planner) CancelPrefill(id uint64) {
	if j, ok := p.jobs[id]; ok && j.prefilling {
		p.endPrefill(j)
	}
}

// RecordDecode records that an answer of so many tokens was made in a time.
func (p *Planner) RecordDecode(tokens int, duration time.Duration) {
	if tokens <= 0 || duration <= 0 {
		return
	}
	rate := p.decodeRate + decodeSampleWeight*(float64(tokens)/duration.Seconds()-p.decodeRate)
	p.decodeRate = p.options.clampRate(rate, p.options.DecodeRate)
}

func (p *Planner) endPrefill(j *job) {
	j.prefilling = false
	if n, ok := p.nodes[prefillID(j.plan)]; ok {
		n.ownBacklogTokens -= j.PromptTokens
	}
}

// updatePrefillRate moves the reading speed of an endpoint towards what one prompt showed.
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

// clampRate keeps a speed near the one supposed at first.
func (o Options) clampRate(rate, initialRate float64) float64 {
	return min(initialRate*maxRateFactor, max(initialRate/maxRateFactor, rate))
}
