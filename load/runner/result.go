package runner

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

const (
	// reasonRateLimit is the refusal reason of requests that exceed their account's limit.
	reasonRateLimit = "rate"
	// targetTTFT is the longest time to first token of an interactive request that meets the targets.
	targetTTFT = 1600 * time.Millisecond
	// targetITL is the target time between two tokens; the fraction targetITLRatio of the gaps must meet it.
	targetITL      = 31 * time.Millisecond
	targetITLRatio = 0.95
	// draftTimeout is the longest time from arrival to the last token of a draft that meets the targets.
	draftTimeout = 120 * time.Second
	// The histograms record microseconds, up to ten minutes, with a precision of histogramDigits decimal digits.
	maxHistogramMicroseconds = int64(10 * time.Minute / time.Microsecond)
	histogramDigits          = 3
)

// Percentiles are percentiles of a time, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Result holds the measurements of a run.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// OfferedLoad is the arrival rate of the requests divided by the fleet's capacity.
	OfferedLoad float64 `json:"offered"`
	// Goodput is the fraction of the requests that got their whole answer within the targets. Cancelled requests do
	// not count.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the fraction of the prefilled tokens that did not lead to a complete answer.
	WastedPrefill float64 `json:"wasted"`
	// WorstAccount is the smallest value over all client accounts of the following ratio: the number of requests
	// answered within the targets, divided by the account's fair number of requests (see worstAccount). It is at
	// most 1.
	WorstAccount float64 `json:"worst"`
	// WrongfulRefusals is the fraction of the requests that were refused although they were within their account's
	// limit.
	WrongfulRefusals float64 `json:"wrongful"`
	// TTFT is the time to first token of interactive requests, ITL the time between two tokens of any request.
	TTFT Percentiles `json:"ttft"`
	ITL  Percentiles `json:"itl"`
	// Violations is the number of broken invariants. ViolationDetails describes at most the first ten.
	Violations       int      `json:"violations"`
	ViolationDetails []string `json:"details,omitempty"`
	Requests         int      `json:"requests"`
	// Answers is the number of complete answers.
	Answers       int `json:"answered"`
	Cancellations int `json:"cancelled"`
	// BrokenConnections is the number of requests that were open at a gateway when it crashed.
	BrokenConnections int `json:"broken"`
	// Refusals counts the refused requests by reason.
	Refusals map[string]int `json:"refused"`
}

// recorder collects the measurements of a run. It records only what callers receive and what engines run, not what
// the decision code reports about itself.
type recorder struct {
	ttft              *hdrhistogram.Histogram
	itl               *hdrhistogram.Histogram
	refusals          map[string]int
	wrongfulRefusals  int
	cancellations     int
	brokenConnections int
	violations        []string
	accountCount      int
}

func newRecorder(accounts int) recorder {
	return recorder{
		ttft:     hdrhistogram.New(1, maxHistogramMicroseconds, histogramDigits),
		itl:      hdrhistogram.New(1, maxHistogramMicroseconds, histogramDigits),
		refusals: make(map[string]int), accountCount: accounts,
	}
}

// recordViolation records a broken invariant.
func (b *recorder) recordViolation(description string) {
	b.violations = append(b.violations, description)
}

// recordRefusal records a refusal; it is wrongful when the request was within its account's limit.
func (b *recorder) recordRefusal(q *request, reason string) {
	b.refusals[reason]++
	if q.withinLimit {
		b.wrongfulRefusals++
	}
}

// recordFirstToken records the time to first token, measured from the time at which the workload sends the request.
// Drafts may wait and are not recorded.
func (b *recorder) recordFirstToken(q *request, d time.Duration) {
	if !q.Draft {
		_ = b.ttft.RecordValue(d.Microseconds())
	}
}

// recordGap records the time between two tokens of a request and returns whether it is longer than targetITL.
func (b *recorder) recordGap(d time.Duration) bool {
	_ = b.itl.RecordValue(d.Microseconds())
	return d > targetITL
}

// percentiles returns the percentiles of a histogram of microseconds.
func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(percent float64) float64 { return float64(h.ValueAtQuantile(percent)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// metTargets returns whether the caller received the whole answer within the targets of the request's class.
func (q *request) metTargets() bool {
	if !q.complete {
		return false
	}
	if q.Draft {
		return q.lastTokenAt-warmUp-q.ArrivalTime <= draftTimeout
	}
	return q.firstTokenAt-warmUp-q.ArrivalTime <= targetTTFT &&
		float64(q.slowGaps) <= (1-targetITLRatio)*float64(q.OutputTokens)
}

// result computes the measurements at the end of the run and checks the invariants that concern the whole run.
// capacity is the fleet's capacity in requests per second.
func (r *Runner) result(capacity float64) Result {
	r.checkMemory()
	out := Result{
		Policy: r.options.Policy, Seed: r.options.Seed,
		OfferedLoad: float64(len(r.requests)) / r.options.Duration.Seconds() / capacity,
		TTFT:        percentiles(r.recorder.ttft),
		ITL:         percentiles(r.recorder.itl),
		Requests:    len(r.requests), Cancellations: r.recorder.cancellations,
		BrokenConnections: r.recorder.brokenConnections, Refusals: r.recorder.refusals,
	}
	goodRequests, prefilledTokens, usefulTokens := 0, 0, 0
	for _, q := range r.requests {
		prefilledTokens += q.prefilledTokens
		if !q.ended {
			r.recorder.recordViolation(fmt.Sprintf("lost: request %d was neither answered nor refused", q.number))
		}
		if q.complete {
			out.Answers++
			usefulTokens += q.PromptTokens
		}
		if q.metTargets() {
			goodRequests++
		}
	}
	// Goodput leaves out cancelled requests, because their callers no longer wait for an answer.
	out.Goodput = ratio(goodRequests, len(r.requests)-r.recorder.cancellations)
	out.WastedPrefill = ratio(max(0, prefilledTokens-usefulTokens), prefilledTokens)
	out.WrongfulRefusals = ratio(r.recorder.wrongfulRefusals, len(r.requests))
	out.WorstAccount = r.worstAccount(capacity)
	r.checkLimits()
	out.Violations = len(r.recorder.violations)
	out.ViolationDetails = r.recorder.violations[:min(10, len(r.recorder.violations))]
	return out
}

// checkMemory records a violation for every endpoint whose engine or reserver still has memory or slots in use at
// the end of the run, when every request has ended.
func (r *Runner) checkMemory() {
	for _, id := range r.endpointIDs {
		n := r.agents[id]
		if n.engine.ActiveStreams() > 0 || n.engine.StoredKVCaches() > 0 ||
			(n.endpoint.Role == endpoint.Decode && n.reserver.Load().UsedSlots > 0) {
			r.recorder.recordViolation(fmt.Sprintf("memory: %s holds %d streams, %d caches, %d slots for nobody",
				id, n.engine.ActiveStreams(), n.engine.StoredKVCaches(), n.reserver.Load().UsedSlots))
		}
	}
}

// checkLimits records a violation for every client account that got, over any period, more tokens than its burst
// and its rate over that period allow. One token of tolerance covers rounding.
func (r *Runner) checkLimits() {
	for i, limit := range r.limits {
		// excess is the largest value, over all periods that end at the current request, of the tokens used minus
		// what the rate allows for the period. previousAt is the arrival time of the account's request before it.
		excess, previousAt := 0.0, time.Duration(0)
		for _, q := range r.requests {
			if q.AccountIndex != i || len(q.charges) == 0 {
				continue
			}
			tokens := float64(q.PromptTokens + q.OutputTokens)
			if !q.complete {
				tokens = float64(q.receivedTokens)
			}
			excess = max(0, excess-limit.Rate*(q.ArrivalTime-previousAt).Seconds()) + tokens
			previousAt = q.ArrivalTime
			if excess > limit.Burst+1 {
				r.recorder.recordViolation(fmt.Sprintf("limit: account %s got %.0f tokens more than its plan",
					limit.Account, excess-limit.Burst))
				break
			}
		}
	}
}

// worstAccount divides, for each account, the number of requests that met the targets by the account's fair number
// of requests, and returns the smallest of these ratios, or 1 when all are larger. The fair number is the account's
// part of the capacity under weighted max-min fairness. The weights are the accounts' capacity fractions; the demand
// is the number of requests that an account sent within its limit. Requests whose callers cancel are left out.
// capacity is in requests per second.
func (r *Runner) worstAccount(capacity float64) float64 {
	demand := make([]float64, r.recorder.accountCount)
	goodRequests := make([]float64, r.recorder.accountCount)
	for _, q := range r.requests {
		if q.withinLimit && q.CancelAfter == 0 {
			demand[q.AccountIndex]++
		}
		if q.metTargets() && q.CancelAfter == 0 {
			goodRequests[q.AccountIndex]++
		}
	}
	fairCounts := r.fairRequests(demand, capacity*r.options.Duration.Seconds())
	worstRatio := 1.0
	for i := range demand {
		if fairCounts[i] > 0 {
			worstRatio = min(worstRatio, goodRequests[i]/fairCounts[i])
		}
	}
	return worstRatio
}

// fairRequests divides the capacity (a number of requests) by weighted max-min fairness: accounts in ascending order
// of demand per weight get their weighted part of the remaining capacity, but not more than their demand.
func (r *Runner) fairRequests(demand []float64, capacity float64) []float64 {
	fairCounts := make([]float64, len(demand))
	order := make([]int, len(demand))
	remainingWeight := 0.0
	for i, a := range r.options.Fleet.Accounts {
		order[i] = i
		remainingWeight += a.CapacityFraction
	}
	accounts := r.options.Fleet.Accounts
	sort.Slice(order, func(x, y int) bool {
		return demand[order[x]]/accounts[order[x]].CapacityFraction < demand[order[y]]/accounts[order[y]].CapacityFraction
	})
	for _, i := range order {
		fairCounts[i] = min(demand[i], capacity*accounts[i].CapacityFraction/remainingWeight)
		capacity -= fairCounts[i]
		remainingWeight -= accounts[i].CapacityFraction
	}
	return fairCounts
}

// ratio returns part divided by total, and zero when total is not positive.
func ratio(part, total int) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
