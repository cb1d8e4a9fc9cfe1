// Package workload draws the requests of a load run from a seed. Arrivals are open-loop (a Poisson process that
// does not wait for answers), client accounts have unequal load, and prompts have from tens to tens of thousands of
// tokens.
package workload

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// Prompt lengths are log-normal: promptLogStdDev is the standard deviation of their natural logarithm. They are
	// cut to minPromptTokens and maxPromptTokens.
	promptMedianTokens = 600.0
	promptLogStdDev    = 1.2
	minPromptTokens    = 20
	maxPromptTokens    = 30000
	// The output limit of a request is drawn uniformly from minOutputLimitTokens up to, but not including,
	// maxOutputLimitTokens. The output itself has between half the limit and the whole limit.
	minOutputLimitTokens = 60
	maxOutputLimitTokens = 380
	// prefixesPerAccount is the number of different shared prompt prefixes of each account.
	prefixesPerAccount = 12
	// prefixRatio is the fraction of requests whose prompt begins with one of these prefixes.
	prefixRatio = 0.4
	// meanSampleSize is the number of requests that MeanTokens averages over.
	meanSampleSize = 20000
)

// Account is a client account that sends requests in a run.
type Account struct {
	Name string
	// CapacityFraction is the part of the fleet's capacity that the account is entitled to. The fractions of all
	// accounts sum to one.
	CapacityFraction float64
	// LoadFactor multiplies the number of requests that the account sends. With 1, the account sends the part of the
	// load that CapacityFraction names.
	LoadFactor float64
}

// Request is one generation request of a caller.
type Request struct {
	// ArrivalTime is measured from the start of the workload.
	ArrivalTime time.Duration
	// AccountIndex is the index of the client account in Options.Accounts.
	AccountIndex int
	PromptTokens int
	// MaxOutputTokens is the limit that the caller sets; OutputTokens is the length at which the engine ends the
	// output.
	MaxOutputTokens int
	OutputTokens    int
	// PrefixDigest identifies the shared prefix of the prompt; it is zero when the prompt has none.
	PrefixDigest uint64
	// Draft marks a request of the draft class, which may wait; all others are interactive.
	Draft bool
	// CancelAfter is the time from arrival to the caller's cancellation; it is zero when the caller does not
	// cancel.
	CancelAfter time.Duration
}

// Options describe a workload.
type Options struct {
	Accounts []Account
	// RequestsPerSecond is the arrival rate of all accounts together when every LoadFactor is 1.
	RequestsPerSecond float64
	// Duration is the length of the period in which requests arrive.
	Duration time.Duration
	// DraftRatio is the fraction of requests of the draft class.
	DraftRatio float64
	// CancelRatio is the fraction of requests that their callers cancel, some of them only after the answer is
	// complete.
	CancelRatio float64
	Seed        uint64
}

// Draw returns the requests of a workload in order of arrival. Equal options give equal requests.
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

// MeanTokens returns the mean number of prompt and output tokens of a request, estimated from a random sample.
// Equal seeds give equal results.
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

// drawRequest draws one request. totalLoad is the sum over all accounts of CapacityFraction times LoadFactor.
func drawRequest(rng *rand.Rand, o Options, arrivalTime time.Duration, totalLoad float64) Request {
	r := Request{ArrivalTime: arrivalTime, AccountIndex: pickAccount(rng, o.Accounts, totalLoad)}
	r.PromptTokens = min(maxPromptTokens,
		max(minPromptTokens, int(promptMedianTokens*math.Exp(rng.NormFloat64()*promptLogStdDev))))
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

// pickAccount returns the index of a random account, weighted by CapacityFraction times LoadFactor.
func pickAccount(rng *rand.Rand, accounts []Account, totalLoad float64) int {
	x := rng.Float64() * totalLoad
	for i, a := range accounts {
		if x -= a.CapacityFraction * a.LoadFactor; x < 0 {
			return i
		}
	}
	return len(accounts) - 1
}
