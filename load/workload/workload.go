// Package workload draws the requests of a run from a seed: open-loop arrivals, skewed accounts, prompts
// from tens to tens of thousands of tokens.
package workload

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// The prompt lengths are log-normal with this median and spread, in tokens.
	promptMedianTokens = 600.0
	promptLogStdDev    = 1.2
	minPromptTokens    = 20
	maxPromptTokens    = 30000
	// The largest answers are uniform between these, in tokens; answers take between half and all.
	minOutputLimitTokens = 60
	maxOutputLimitTokens = 380
	// prefixesPerAccount is how many common beginnings each account uses, prefixShare how often it does.
	prefixesPerAccount = 12
	prefixRatio        = 0.4
	// meanSampleSize is how many requests are drawn to find the mean work.
	meanSampleSize = 20000
)

// Account is a client account of a run.
type Account struct {
	Name string
	// CapacityFraction is its part of the fleet's capacity; the shares sum to one.
	CapacityFraction float64
	// LoadFactor multiplies its requests; above one it sends more than its rate.
	LoadFactor float64
}

// Request is one request of a caller.
type Request struct {
	ArrivalTime  time.Duration
	AccountIndex int
	// PromptTokens, Most and Length are the prompt, the largest answer and the answer, in tokens.
	PromptTokens    int
	MaxOutputTokens int
	OutputTokens    int
	PrefixDigest    uint64
	Draft           bool
	// CancelAfter is when the caller goes after it sent; zero when it stays.
	CancelAfter time.Duration
}

// Options describe a run.
type Options struct {
	Accounts []Account
	// RequestsPerSecond is in requests a second over all accounts, before their factors.
	RequestsPerSecond float64
	// Duration is how long requests arrive.
	Duration time.Duration
	// DraftRatio is the share of requests that may wait, Cancels that of callers who go early.
	DraftRatio  float64
	CancelRatio float64
	Seed        uint64
}

// Draw returns the requests of a run by time.
func Draw(o Options) []Request {
	rng := rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15))
	totalLoad := 0.0
	for _, a := range o.Accounts {
		totalLoad += a.CapacityFraction * a.LoadFactor
	}
	var out []Request
	arrivalTime := time.Duration(0)
	for {
		arrivalTime += time.Duration(rng.ExpFloat64() / (o.RequestsPerSecond * totalLoad) * float64(time.Second))
		if arrivalTime >= o.Duration {
			return out
		}
		out = append(out, drawRequest(rng, o, arrivalTime, totalLoad))
	}
}

// MeanTokens returns the mean prompt that has to be prefilled and the mean answer, in tokens.
func MeanTokens(seed uint64) (promptTokens, outputTokens float64) {
	rng := rand.New(rand.NewPCG(seed, 0x51ed2701))
	o := Options{Accounts: []Account{{CapacityFraction: 1, LoadFactor: 1}}}
	for range meanSampleSize {
		r := drawRequest(rng, o, 0, 1)
		promptTokens += float64(r.PromptTokens) / meanSampleSize
		outputTokens += float64(r.OutputTokens) / meanSampleSize
	}
	return promptTokens, outputTokens
}

func drawRequest(rng *rand.Rand, o Options, arrivalTime time.Duration, totalLoad float64) Request {
	r := Request{ArrivalTime: arrivalTime, AccountIndex: pickAccount(rng, o.Accounts, totalLoad)}
	r.PromptTokens = min(maxPromptTokens, max(minPromptTokens, int(promptMedianTokens*math.Exp(rng.NormFloat64()*promptLogStdDev))))
	r.MaxOutputTokens = minOutputLimitTokens + rng.IntN(maxOutputLimitTokens-minOutputLimitTokens)
	r.OutputTokens = max(1, r.MaxOutputTokens/2+rng.IntN(r.MaxOutputTokens/2+1))
	if rng.Float64() < prefixRatio {
		r.PrefixDigest = uint64(r.AccountIndex*prefixesPerAccount+rng.IntN(prefixesPerAccount)) + 1
	}
	r.Draft = rng.Float64() < o.DraftRatio
	if rng.Float64() < o.CancelRatio {
		r.CancelAfter = time.Duration(rng.Float64() * 4 * float64(time.Second))
	}
	return r
}

func pickAccount(rng *rand.Rand, accounts []Account, totalLoad float64) int {
	x := rng.Float64() * totalLoad
	for i, a := range accounts {
		if x -= a.CapacityFraction * a.LoadFactor; x < 0 {
			return i
		}
	}
	return len(accounts) - 1
}
