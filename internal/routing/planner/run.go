package planner

import "time"

const (
	// assumedRunAge is the assumed age of requests that are known only from the count that the endpoint reports.
	assumedRunAge = 1500 * time.Millisecond
	// overrunFraction is the smallest remaining length that is assumed of a running response, as a fraction of its
	// expected length. It takes effect when a response nears or exceeds its expected length.
	overrunFraction = 0.1
)

// Run is a request that runs on a decode endpoint. Its KV memory grows by one token with each generated token.
type Run struct {
	// PromptTokens is the length of the prompt, ExpectedOutputTokens the expected length of the response.
	PromptTokens         int
	ExpectedOutputTokens int
	// Age is the time since the request was assigned to the endpoint.
	Age time.Duration
	// startedAt is the time at which this gateway assigned the request. It is set only for requests of this gateway.
	startedAt time.Duration
}

// withAge returns a copy of the run with its age at the time now.
func (r Run) withAge(now time.Duration) Run {
	r.Age = now - r.startedAt
	return r
}

// progress returns how many tokens the run has generated at a rate in tokens per second, and how many it will
// generate in total.
func (r Run) progress(rate float64) (generated, total float64) {
	generated = r.Age.Seconds() * rate
	return generated, max(float64(r.ExpectedOutputTokens), generated+overrunFraction*float64(r.ExpectedOutputTokens))
}

// peakMemoryTokens returns the highest amount of KV memory, in tokens, that the runs will fill together if no
// further run starts. Memory use grows as tokens are generated and falls when a run ends, so it is highest right
// before a run ends.
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

// memoryTokensAfter returns the KV memory, in tokens, that the runs fill after each has generated the given number
// of additional tokens. Runs that have ended by then are not counted.
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
