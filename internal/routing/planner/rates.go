package planner

import "time"

const (
	// slowerSampleWeight and fasterSampleWeight are the weights of one prefill in the estimated prefill speed of an
	// endpoint, if it was slower or faster than the estimate. A faster prefill is always valid evidence. A slower
	// one counts only if it was uncontended, because otherwise it may have waited for other prompts.
	slowerSampleWeight = 0.25
	fasterSampleWeight = 0.5
	// maxFasterFactor limits how much faster than the estimate one prefill can count. An endpoint that has a part of the
	// prompt cached processes it much faster than it could process others.
	maxFasterFactor = 1.5
	// slowEndpointRatio is the speed of an endpoint, relative to that of the others, below which it counts as slow. Smaller
	// differences are within the variation of measurements under load: if they counted, the gateways would all prefer the
	// same few endpoints.
	slowEndpointRatio = 0.5
	// slownessMemory is the time without measurements after which an endpoint no longer counts as slow. An endpoint that
	// counts as slow gets few prompts, so nobody would notice otherwise that it has recovered.
	slownessMemory = 4 * time.Second
	// decodeSampleWeight is the weight of one response in the estimated decode speed, once one has been measured.
	decodeSampleWeight = 0.05
	// prefillReportTime is the time for which the latest prefill is reported to the peers.
	prefillReportTime = 2 * time.Second
)

// PrefillSample is the measured speed of one prefill at an endpoint.
type PrefillSample struct {
	// ID differs for each prefill of a gateway at the endpoint. It is zero if there was none.
	ID uint64
	// PromptTokens is the length of the prompt. It is zero if a peer did not send it.
	PromptTokens int
	// TokensPerSecond is the prompt length divided by the time from the request to its end, including waiting.
	TokensPerSecond float64
	// Uncontended is set if no other prefill was known at the endpoint when this one started.
	Uncontended bool
}

// duration returns how long the prefill took. It is zero if the length of the prompt is not known.
func (s PrefillSample) duration() time.Duration {
	if s.TokensPerSecond <= 0 {
		return 0
	}
	return prefillTime(s.PromptTokens, s.TokensPerSecond)
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
		ID: n.lastPrefill.ID + 1, PromptTokens: j.PromptTokens,
		TokensPerSecond: float64(j.PromptTokens) / duration.Seconds(), Uncontended: uncontended,
	}
	n.lastPrefillAt = now
	p.updatePrefillRate(n, n.lastPrefill, now)
}

// CancelPrefill records that the planned prefill of a request failed or will not run, so that it no longer counts as
// backlog.
func (p *Planner) CancelPrefill(id uint64) {
	if j, ok := p.jobs[id]; ok && j.prefilling {
		p.endPrefill(j)
	}
}

// DecodeCost is the endpoint time that a completed generation used.
type DecodeCost struct {
	Service string
	// PrefillTime is the time in which one prefill endpoint processes the prompt.
	PrefillTime time.Duration
	// DecodeSeconds is the time for which the generation held its decode endpoint, in seconds, multiplied by the fraction
	// of the slots or of the usable KV memory that it occupied, whichever is larger.
	DecodeSeconds float64
}

// RecordDecode records how many output tokens the decode endpoint of a running request generated within a duration. It
// returns the endpoint time that the generation used; ok is false if it is not known.
func (p *Planner) RecordDecode(id uint64, tokens int, duration time.Duration) (c DecodeCost, ok bool) {
	if tokens <= 0 || duration <= 0 {
		return DecodeCost{}, false
	}
	p.updateDecodeRate(float64(tokens) / duration.Seconds())
	j, known := p.jobs[id]
	if !known || j.plan == nil {
		return DecodeCost{}, false
	}
	n, known := p.nodes[j.plan.Decode.ID]
	if !known {
		return DecodeCost{}, false
	}
	_, rate := p.typicalPrefill(j.Service)
	c = DecodeCost{Service: j.Service, PrefillTime: prefillTime(j.PromptTokens, rate)}
	c.DecodeSeconds = p.occupiedFraction(n, j.PromptTokens+tokens/2) * (duration + c.PrefillTime).Seconds()
	return c, true
}

// updateDecodeRate moves the estimated decode speed towards a sample, in tokens per second. The average is that of the
// time for one token, so that a response whose tokens arrived all at once counts little. The first sample replaces the
// assumed speed.
func (p *Planner) updateDecodeRate(sample float64) {
	if !p.decodeMeasured {
		p.decodeMeasured, p.decodeRate = true, sample
		return
	}
	p.decodeRate = 1 / ((1-decodeSampleWeight)/p.decodeRate + decodeSampleWeight/sample)
}

// occupiedFraction returns the fraction of a decode endpoint that a generation occupies whose KV cache holds the given
// number of tokens. The generations on an endpoint have started at different times, so that on average half of the
// response of each is in memory.
func (p *Planner) occupiedFraction(n *node, tokens int) float64 {
	fraction := 1 / float64(max(1, n.Slots))
	if n.MemoryTokens > 0 {
		fraction = max(fraction, float64(tokens)/(p.options.MaxMemoryFraction*float64(n.MemoryTokens)))
	}
	return min(1, fraction)
}

// endPrefill removes the prompt of a request from the backlog of its prefill endpoint.
func (p *Planner) endPrefill(j *job) {
	j.prefilling = false
	if n, ok := p.nodes[prefillID(j.plan)]; ok {
		n.ownBacklogTokens -= j.PromptTokens
	}
}

// updatePrefillRate moves the estimated prefill speed of an endpoint towards a sample. The speed is that of the prompt
// itself, without the overhead of a prefill.
func (p *Planner) updatePrefillRate(n *node, s PrefillSample, now time.Duration) {
	m := p.latencyModel(n.Service)
	duration := s.duration()
	if s.Uncontended && duration > 0 {
		m.add(s.PromptTokens, duration)
	}
	rate := s.TokensPerSecond
	if m.tokensPerSecond > 0 && duration > m.overhead {
		rate = float64(s.PromptTokens) / (duration - m.overhead).Seconds()
	}
	n.prefillRate = nextPrefillRate(n.prefillRate, rate, s.Uncontended)
	n.prefillRateAt = now
	p.prefillRate = nextPrefillRate(p.prefillRate, rate, s.Uncontended)
}

// typicalPrefill returns the overhead of a prefill and the speed that is assumed of the endpoints of a service.
func (p *Planner) typicalPrefill(service string) (overhead time.Duration, rate float64) {
	if m := p.latencyModel(service); m.tokensPerSecond > 0 {
		return m.overhead, m.tokensPerSecond
	}
	return 0, p.prefillRate
}

// prefillRateOf returns the prefill speed that is expected of an endpoint: that of all endpoints of its service, unless
// it was found to be slow recently.
func (p *Planner) prefillRateOf(n *node, now time.Duration) float64 {
	_, typical := p.typicalPrefill(n.Service)
	if n.prefillRate < slowEndpointRatio*typical && now-n.prefillRateAt < slownessMemory {
		return n.prefillRate
	}
	return typical
}

// latencyModel returns the model of the prefills of a service and creates it if it does not exist.
func (p *Planner) latencyModel(service string) *latencyModel {
	m, ok := p.latencyModels[service]
	if !ok {
		m = &latencyModel{}
		p.latencyModels[service] = m
	}
	return m
}

// nextPrefillRate returns an estimated prefill speed after a measured one.
func nextPrefillRate(rate, measured float64, uncontended bool) float64 {
	switch {
	case measured > rate:
		return rate + fasterSampleWeight*(min(measured, maxFasterFactor*rate)-rate)
	case uncontended:
		return rate + slowerSampleWeight*(measured-rate)
	default:
		return rate
	}
}
