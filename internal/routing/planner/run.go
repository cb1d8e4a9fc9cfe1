package planner

import "time"

const (
	// unknownAge is the age supposed of runs that only the endpoint itself knows.
	unknownAge = 1500 * time.Millisecond
	// overrun is the part of the expected answer that a run which has outlived it is expected to make yet.
	overrun = 0.1
)

// Run is one request on a decode endpoint. Its KV memory grows by one token with each token that it makes.
type Run struct {
	// PromptTokens and Output are the prompt length and the expected answer, in tokens.
	PromptTokens         int
	ExpectedOutputTokens int
	// Age is the time since the run was granted.
	Age time.Duration
	// start is when an own run was granted.
	start time.Duration
}

// at returns the run with its age.
func (r Run) at(now time.Duration) Run {
	r.Age = now - r.start
	return r
}

// made returns how many tokens the run has made, and how many it will make in all.
func (r Run) made(rate float64) (made, all float64) {
	made = r.Age.Seconds() * rate
	return made, max(float64(r.ExpectedOutputTokens), made+overrun*float64(r.ExpectedOutputTokens))
}

// peakOf returns the most KV memory, in tokens, that runs will fill together if none is added. It grows with the
// answers and falls as they end, so the highest points are right before the ends.
func peakOf(runs []Run, rate float64) int {
	peak := 0.0
	for i := range runs {
		made, all := runs[i].made(rate)
		if used := usedAfter(runs, all-made, rate); used > peak {
			peak = used
		}
	}
	return int(peak)
}

// usedAfter returns the KV memory that runs fill once each that is not over by then has made so many more tokens.
func usedAfter(runs []Run, more, rate float64) float64 {
	used := 0.0
	for i := range runs {
		made, all := runs[i].made(rate)
		if made+more <= all {
			used += float64(runs[i].PromptTokens) + made + more
		}
	}
	return used
}
