package planner

import "time"

const (
	// assumedRunAge is the age supposed of runs that only the endpoint itself knows.
	assumedRunAge = 1500 * time.Millisecond
	// overrunFraction is the part of the expected answer that a run which has outlived it is expected to make yet.
	overrunFraction = 0.1
)

// Run is one request on a decode endpoint. Its KV memory grows by one token with each token that it makes.
type Run struct {
	// PromptTokens and Output are the prompt length and the expected answer, in tokens.
	PromptTokens         int
	ExpectedOutputTokens int
	// Age is the time since the run was granted.
	Age time.Duration
	// startedAt is when an own run was granted.
	startedAt time.Duration
}

// withAge returns the run with its age.
func (r Run) withAge(now time.Duration) Run {
	r.Age = now - r.startedAt
	return r
}

// progress returns how many tokens the run has made, and how many it will make in all.
func (r Run) progress(rate float64) (generated, total float64) {
	generated = r.Age.Seconds() * rate
	return generated, max(float64(r.ExpectedOutputTokens), generated+overrunFraction*float64(r.ExpectedOutputTokens))
}

// peakMemoryTokens returns the most KV memory, in tokens, that runs will fill together if none is added. It grows with the
// answers and falls as they end, so the highest points are right before the ends.
func peakMemoryTokens(runs []Run, rate float64) int {
	peak := 0.0
	for i := range runs {
		generated, total := runs[i].progress(rate)
		if used := memoryTokensAfter(runs, total-generated, rate); used > peak {
			peak = used
		}
	}
	return int(peak)
}

// memoryTokensAfter returns the KV memory that runs fill once each that is not over by then has made so many more tokens.
func memoryTokensAfter(runs []Run, additionalTokens, rate float64) float64 {
	used := 0.0
	for i := range runs {
		generated, total := runs[i].progress(rate)
		if generated+additionalTokens <= total {
			used += float64(runs[i].PromptTokens) + generated + additionalTokens
		}
	}
	return used
}
