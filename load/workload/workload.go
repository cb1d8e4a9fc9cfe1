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
	// Share is its part of the fleet's capacity; the shares sum to one.
	Share float64
	// Factor multiplies its requests; above one it sends more than its rate.
	Factor float64
}

// Request is one request of a caller.
type Request struct {
	At      time.Duration
	Account int
	// Prompt, Most and Length are the prompt, the largest answer and the answer, in tokens.
	Prompt int
	Most   int
	Length int
	Prefix uint64
	Draft  bool
	// Leaves is when the caller goes after it sent; zero when it stays.
	Leaves time.Duration
}

// Options describe a run.
type Options struct {
	Accounts []Account
	// Rate is in requests a second over all accounts, before their factors.
	Rate float64
	// For is how long requests arrive.
	For time.Duration
	// Drafts is the share of requests that may wait, Cancels that of callers who go early.
	Drafts  float64
	Cancels float64
	Seed    uint64
}

// Draw returns the requests of a run by time.
func Draw(o Options) []Request {
	rng := rand.New(rand.NewPCG(o.Seed, 0x9e3779b97f4a7c15))
	total := 0.0
	for _, a := range o.Accounts {
		total += a.Share * a.Factor
	}
	var out []Request
	at := time.Duration(0)
	for {
		at += time.Duration(rng.ExpFloat64() / (o.Rate * total) * float64(time.Second))
		if at >= o.For {
			return out
		}
		out = append(out, one(rng, o, at, total))
	}
}

// Mean returns the mean prompt that has to be prefilled and the mean answer, in tokens.
func Mean(seed uint64) (prompt, length float64) {
	rng := rand.New(rand.NewPCG(seed, 0x51ed2701))
	o := Options{Accounts: []Account{{Share: 1, Factor: 1}}}
	for range meanSample {
		r := one(rng, o, 0, 1)
		prompt += float64(r.Prompt) / meanSample
		length += float64(r.Length) / meanSample
	}
	return prompt, length
}

func one(rng *rand.Rand, o Options, at time.Duration, total float64) Request {
	r := Request{At: at, Account: pick(rng, o.Accounts, total)}
	r.Prompt = min(promptMost, max(promptLeast, int(promptMedian*math.Exp(rng.NormFloat64()*promptSpread))))
	r.Most = outputLeast + rng.IntN(outputMost-outputLeast)
	r.Length = max(1, r.Most/2+rng.IntN(r.Most/2+1))
	if rng.Float64() < prefixShare {
		r.Prefix = uint64(r.Account*prefixes+rng.IntN(prefixes)) + 1
	}
	r.Draft = rng.Float64() < o.Drafts
	if rng.Float64() < o.Cancels {
		r.Leaves = time.Duration(rng.Float64() * 4 * float64(time.Second))
	}
	return r
}

func pick(rng *rand.Rand, accounts []Account, total float64) int {
	x := rng.Float64() * total
	for i, a := range accounts {
		if x -= a.Share * a.Factor; x < 0 {
			return i
		}
	}
	return len(accounts) - 1
}
