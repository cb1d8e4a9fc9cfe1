package planner

import "time"

const (
	// latencyDecay is the factor by which the weight of each measurement shrinks with every later one.
	latencyDecay = 0.995
	// minLatencySamples is the decayed number of measurements below which nothing is derived from them.
	minLatencySamples = 8
	// minLengthVariation is the standard deviation of the prompt lengths, as a fraction of their mean, below which the
	// influence of the length cannot be told from that of the rest.
	minLengthVariation = 0.15
	// maxOverheadRatio limits the overhead: at least 1/maxOverheadRatio of the mean duration belongs to the prompt itself.
	maxOverheadRatio = 4
)

// latencyModel separates the duration of uncontended prefills into a fixed overhead, such as the start of a step or the
// network, and a part that is proportional to the length of the prompt. Prompts of different callers share the overhead,
// so only the second part limits how many prompts an endpoint can process. The model is a linear regression over the
// latest measurements.
type latencyModel struct {
	// The sums of the weights, of the lengths in tokens, of the durations in seconds, and of their products.
	weight, length, duration, lengthSquared, lengthDuration float64
	// overhead is the part of the duration that does not depend on the length, and tokensPerSecond the speed without it.
	// The speed is zero while too little is known. Both are derived from the sums after each measurement, because every
	// placement reads them for every endpoint.
	overhead        time.Duration
	tokensPerSecond float64
}

// add adds a measured prefill.
func (m *latencyModel) add(tokens int, duration time.Duration) {
	x, y := float64(tokens), duration.Seconds()
	m.weight = m.weight*latencyDecay + 1
	m.length = m.length*latencyDecay + x
	m.duration = m.duration*latencyDecay + y
	m.lengthSquared = m.lengthSquared*latencyDecay + x*x
	m.lengthDuration = m.lengthDuration*latencyDecay + x*y
	m.overhead, m.tokensPerSecond = m.fit()
}

// fit returns the overhead and the speed by the present sums, or zeros if too little is known.
func (m *latencyModel) fit() (overhead time.Duration, tokensPerSecond float64) {
	if m.weight < minLatencySamples {
		return 0, 0
	}
	meanLength, meanDuration := m.length/m.weight, m.duration/m.weight
	variance := m.lengthSquared/m.weight - meanLength*meanLength
	if variance < minLengthVariation*minLengthVariation*meanLength*meanLength {
		return 0, 0
	}
	slope := (m.lengthDuration/m.weight - meanLength*meanDuration) / variance
	slope = min(meanDuration/meanLength, max(slope, meanDuration/meanLength/maxOverheadRatio))
	return time.Duration((meanDuration - slope*meanLength) * float64(time.Second)), 1 / slope
}
