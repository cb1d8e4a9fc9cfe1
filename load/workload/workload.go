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
	promptMedian = 600.0
	promptSpread = 1.2
	promptLeast  = 20
	promptMost   = 30000
	// The largest answers are uniform between these, in tokens; answers take between half and all.
	outputLeast = 60
	outputMost  = 380
	// prefixes is how many common beginnings each account uses, prefixShare how often it does.
	prefixes    = 12
	prefixShare = 0.4
	// meanSample is how many requests are drawn to find the mean work.
	meanSample = 20000
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
	total := 0.0
	for _, a := range o.Accounts {
		total += a.CapacityFraction * a.LoadFactor
	}
	var out []Request
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / (o.RequestsPerSecond * total) * float64(time.Second))
		if at >= o.Duration {
			return out
		}
		out = append(out, one(rng, o, at, total))
	}
}

// MeanTokens returns the mean prompt that has to be prefilled and the mean answer, in tokens.
func MeanTokens(seed uint64) (prompt, length float64) {
	rng := rand.New(rand.NewPCG(seed, 0x51ed2701))
	o := Options{Accounts: []Account{{CapacityFraction: 1, LoadFactor: 1}}}
	for range meanSample {
		r := one(rng, o, 0, 1)
		prompt += float64(r.PromptTokens) / meanSample
		length += float64(r.OutputTokens) / meanSample
	}
	return prompt, length
}

func one(rng *rand.Rand, o Options, at time.Duration, total float64) Request {
	r := Request{ArrivalTime: at, AccountIndex: pick(rng, o.Accounts, total)}
	r.PromptTokens = min(promptMost, max(promptLeast, int(promptMedian*math.Exp(rng.NormFloat64()*promptSpread))))
	r.MaxOutputTokens = outputLeast + rng.IntN(outputMost-outputLeast)
	r.OutputTokens = max(1, r.MaxOutputTokens/2+rng.IntN(r.MaxOutputTokens/2+1))
	if rng.Float64() < prefixShare {
		r.PrefixDigest = uint64(r.AccountIndex*prefixes+rng.IntN(prefixes)) + 1
	}
	r.Draft = rng.Float64() < o.DraftRatio
	if rng.Float64() < o.CancelRatio {
		r.CancelAfter = time.Duration(rng.Float64() * 4 * float64(time.Second))
	}
	return r
}

func pick(rng *rand.Rand, accounts []Account, total float64) int {
	x := rng.Float64() * total
	for i, a := range accounts {
		if x -= a.CapacityFraction * a.LoadFactor; x < 0 {
			return i
		}
	}
	return len(accounts) - 1
}
