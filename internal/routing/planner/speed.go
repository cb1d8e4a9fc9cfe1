package planner

import "time"

const (
	// learnSlower and learnFaster are the weights of one prompt in the reading speed of an endpoint. A fast one shows
	// the speed whatever else was read; a slow one only where nothing else was.
	learnSlower = 0.25
	learnFaster = 0.5
	// learnDecode is the weight of one answer in the speed at which answers are made.
	learnDecode = 0.05
	// slowestFactor bounds the speeds learned, as a part of those supposed at first and the other way round.
	slowestFactor = 10
	// tellReadFor is how long the latest prompt is told to the other gateways.
	tellReadFor = 2 * time.Second
)

// PrefillSample is how fast an endpoint read a prompt.
type PrefillSample struct {
	// Sequence is another one for each prompt; zero where none was read.
	Sequence uint64
	// Rate is in tokens a second.
	Rate float64
	// Exclusive is set where nothing else was known to be read there meanwhile.
	Exclusive bool
}

// RecordPrefill records that the prompt has been read, in the time that it took.
func (p *Planner) RecordPrefill(id uint64, took, now time.Duration) {
	j, ok := p.jobs[id]
	if !ok || !j.reading {
		return
	}
	alone := j.alone
	p.stopReading(j)
	n, ok := p.nodes[prefillID(j.plan)]
	if !ok || took <= 0 {
		return
	}
	n.read = PrefillSample{Sequence: n.read.Sequence + 1, Rate: float64(j.PromptTokens) / took.Seconds(), Exclusive: alone}
	n.readSeen = now
	p.learn(n, n.read)
}

// CancelPrefill records that the prompt won't be read where that was planned.
func (p *Planner) CancelPrefill(id uint64) {
	if j, ok := p.jobs[id]; ok && j.reading {
		p.stopReading(j)
	}
}

// RecordDecode records that an answer of so many tokens was made in a time.
func (p *Planner) RecordDecode(tokens int, took time.Duration) {
	if tokens <= 0 || took <= 0 {
		return
	}
	rate := p.decodeRate + learnDecode*(float64(tokens)/took.Seconds()-p.decodeRate)
	p.decodeRate = p.options.bounded(rate, p.options.DecodeRate)
}

func (p *Planner) stopReading(j *job) {
	j.reading = false
	if n, ok := p.nodes[prefillID(j.plan)]; ok {
		n.backlog -= j.PromptTokens
	}
}

// learn moves the reading speed of an endpoint towards what one prompt showed.
func (p *Planner) learn(n *node, s PrefillSample) {
	rate := n.readRate
	switch {
	case s.Rate > rate:
		rate += learnFaster * (s.Rate - rate)
	case s.Exclusive:
		rate += learnSlower * (s.Rate - rate)
	}
	n.readRate = p.options.bounded(rate, p.options.PrefillRate)
}

// bounded keeps a speed near the one supposed at first.
func (o Options) bounded(rate, supposed float64) float64 {
	return min(supposed*slowestFactor, max(supposed/slowestFactor, rate))
}
