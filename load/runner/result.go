package runner

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

const (
	reasonRateLimit = "rate"
	// The targets: time to first token, time between tokens, and the share of gaps that must be within it.
	targetTTFT     = 1600 * time.Millisecond
	targetITL      = 31 * time.Millisecond
	targetITLRatio = 0.95
	// draftTimeout is how long a draft may take to arrive whole.
	draftTimeout = 120 * time.Second
	// The histograms hold microseconds up to ten minutes with three digits.
	maxHistogramMicroseconds = int64(10 * time.Minute / time.Microsecond)
	histogramDigits          = 3
)

// Percentiles are in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Result is what a run measured. Shares are fractions of one.
type Result struct {
	Policy string `json:"policy"`
	Seed   uint64 `json:"seed"`
	// OfferedLoad is the offered load as a share of the fleet's capacity.
	OfferedLoad float64 `json:"offered"`
	// Goodput is the share of offered requests that were answered whole within the targets.
	Goodput float64 `json:"goodput"`
	// WastedPrefill is the share of prefilled tokens whose result reached no caller.
	WastedPrefill float64 `json:"wasted"`
	// WorstAccount is the worst-served account's goodput against its fair share.
	WorstAccount float64 `json:"worst"`
	// WrongfulRefusals is the share of requests refused although they were within their account's rate.
	WrongfulRefusals  float64        `json:"wrongful"`
	TTFT              Percentiles    `json:"ttft"`
	ITL               Percentiles    `json:"itl"`
	Violations        int            `json:"violations"`
	ViolationDetails  []string       `json:"details,omitempty"`
	Requests          int            `json:"requests"`
	Answers           int            `json:"answered"`
	Cancellations     int            `json:"cancelled"`
	BrokenConnections int            `json:"broken"`
	Refusals          map[string]int `json:"refused"`
}

// recorder is the observer of a run: it only sees what callers received and what engines ran.
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

func (b *recorder) recordViolation(what string) {
	b.violations = append(b.violations, what)
}

func (b *recorder) recordRefusal(q *request, reason string) {
	b.refusals[reason]++
	if q.withinLimit {
		b.wrongfulRefusals++
	}
}

// recordFirstToken records the time to the first token, counted from the intended send time; drafts may wait and
// are left out.
func (b *recorder) recordFirstToken(q *request, d time.Duration) {
	if !q.Draft {
		_ = b.ttft.RecordValue(d.Microseconds())
	}
}

// recordGap records a time between tokens and tells whether it is over the target.
func (b *recorder) recordGap(d time.Duration) bool {
	_ = b.itl.RecordValue(d.Microseconds())
	return d > targetITL
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// metTargets tells whether a request was answered whole within the targets.
func (q *request) metTargets() bool {
	if !q.complete {
		return false
	}
	if q.Draft {
		return q.lastTokenAt-warmUp-q.ArrivalTime <= draftTimeout
	}
	return q.firstTokenAt-warmUp-q.ArrivalTime <= targetTTFT && float64(q.slowGaps) <= (1-targetITLRatio)*float64(q.OutputTokens)
}

func (r *Runner) result(capacity float64) Result {
	r.checkMemory()
	out := Result{
		Policy: r.options.Policy, Seed: r.options.Seed,
		OfferedLoad: float64(len(r.requests)) / r.options.Duration.Seconds() / capacity,
		TTFT:        percentiles(r.recorder.ttft),
		ITL:         percentiles(r.recorder.itl),
		Requests:    len(r.requests), Cancellations: r.recorder.cancellations, BrokenConnections: r.recorder.brokenConnections, Refusals: r.recorder.refusals,
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
	// Callers who go are not offered an answer.
	out.Goodput = ratio(goodRequests, len(r.requests)-r.recorder.cancellations)
	out.WastedPrefill = ratio(max(0, prefilledTokens-usefulTokens), prefilledTokens)
	out.WrongfulRefusals = ratio(r.recorder.wrongfulRefusals, len(r.requests))
	out.WorstAccount = r.worstAccount(capacity)
	r.checkLimits()
	out.Violations = len(r.recorder.violations)
	out.ViolationDetails = r.recorder.violations[:min(10, len(r.recorder.violations))]
	return out
}

// checkMemory finds engine memory that is held at the end, when every caller is gone or answered.
func (r *Runner) checkMemory() {
	for _, id := range r.endpointIDs {
		n := r.agents[id]
		if n.engine.Streams() > 0 || n.engine.Kept() > 0 || (n.endpoint.Role == endpoint.Decode && n.reserver.Load().UsedSlots > 0) {
			r.recorder.recordViolation(fmt.Sprintf("memory: %s holds %d streams, %d caches, %d slots for nobody", id, n.engine.Streams(), n.engine.Kept(), n.reserver.Load().UsedSlots))
		}
	}
}

// checkLimits finds windows in which an account got more than its burst and rate.
func (r *Runner) checkLimits() {
	for i, plan := range r.limits {
		// excess is the largest sum over windows that end here, less what the rate allows.
		excess, at := 0.0, time.Duration(0)
		for _, q := range r.requests {
			if q.AccountIndex != i || len(q.charges) == 0 {
				continue
			}
			tokens := float64(q.PromptTokens + q.OutputTokens)
			if !q.complete {
				tokens = float64(q.receivedTokens)
			}
			excess = max(0, excess-plan.Rate*(q.ArrivalTime-at).Seconds()) + tokens
			at = q.ArrivalTime
			if excess > plan.Burst+1 {
				r.recorder.recordViolation(fmt.Sprintf("limit: account %s got %.0f tokens more than its plan", plan.Account, excess-plan.Burst))
				break
			}
		}
	}
}

// worstAccount returns the least ratio of an account's good requests to its fair share: the max-min fair part of
// the capacity, weighted by the accounts' shares, of what it asked for within its rate.
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
	fair := r.fairRequests(demand, capacity*r.options.Duration.Seconds())
	worstRatio := 1.0
	for i := range demand {
		if fair[i] > 0 {
			worstRatio = min(worstRatio, goodRequests[i]/fair[i])
		}
	}
	return worstRatio
}

// fairRequests fills the accounts up to what they asked for, by weight, until the capacity is used.
func (r *Runner) fairRequests(demand []float64, capacity float64) []float64 {
	fair := make([]float64, len(demand))
	order := make([]int, len(demand))
	weights := 0.0
	for i, a := range r.options.Fleet.Accounts {
		order[i] = i
		weights += a.CapacityFraction
	}
	accounts := r.options.Fleet.Accounts
	sort.Slice(order, func(x, y int) bool {
		return demand[order[x]]/accounts[order[x]].CapacityFraction < demand[order[y]]/accounts[order[y]].CapacityFraction
	})
	for _, i := range order {
		fair[i] = min(demand[i], capacity*accounts[i].CapacityFraction/weights)
		capacity -= fair[i]
		weights -= accounts[i].CapacityFraction
	}
	return fair
}

func ratio(part, total int) float64 {
	if total <= 0 {
		return 0
	}
	return float64(part) / float64(total)
}
