package runner

import (
	"fmt"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

const (
	reasonRate = "rate"
	// The targets: time to first token, time between tokens, and the share of gaps that must be within it.
	targetFirst = 1600 * time.Millisecond
	targetGap   = 31 * time.Millisecond
	targetShare = 0.95
	// draftWithin is how long a draft may take to arrive whole.
	draftWithin = 120 * time.Second
	// The histograms hold microseconds up to ten minutes with three digits.
	histogramMost   = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
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

// books is the observer of a run: it only sees what callers received and what engines ran.
type books struct {
	ttft      *hdrhistogram.Histogram
	itl       *hdrhistogram.Histogram
	refusals  map[string]int
	wrongful  int
	cancelled int
	broken    int
	details   []string
	accounts  int
}

func newBooks(accounts int) books {
	return books{
		ttft:     hdrhistogram.New(1, histogramMost, histogramDigits),
		itl:      hdrhistogram.New(1, histogramMost, histogramDigits),
		refusals: make(map[string]int), accounts: accounts,
	}
}

func (b *books) violate(what string) {
	b.details = append(b.details, what)
}

func (b *books) refuse(q *request, reason string) {
	b.refusals[reason]++
	if q.within {
		b.wrongful++
	}
}

// firstToken records the time to the first token, counted from the intended send time; drafts may wait and
// are left out.
func (b *books) firstToken(q *request, d time.Duration) {
	if !q.Draft {
		_ = b.ttft.RecordValue(d.Microseconds())
	}
}

// gap records a time between tokens and tells whether it is over the target.
func (b *books) gap(d time.Duration) bool {
	_ = b.itl.RecordValue(d.Microseconds())
	return d > targetGap
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99)}
}

// good tells whether a request was answered whole within the targets.
func (q *request) good() bool {
	if !q.whole {
		return false
	}
	if q.Draft {
		return q.last-warm-q.ArrivalTime <= draftWithin
	}
	return q.first-warm-q.ArrivalTime <= targetFirst && float64(q.late) <= (1-targetShare)*float64(q.OutputTokens)
}

func (r *Runner) result(capacity float64) Result {
	r.checkMemory()
	out := Result{
		Policy: r.options.Policy, Seed: r.options.Seed,
		OfferedLoad: float64(len(r.requests)) / r.options.Duration.Seconds() / capacity,
		TTFT:        percentiles(r.books.ttft),
		ITL:         percentiles(r.books.itl),
		Requests:    len(r.requests), Cancellations: r.books.cancelled, BrokenConnections: r.books.broken, Refusals: r.books.refusals,
	}
	good, worked, reached := 0, 0, 0
	for _, q := range r.requests {
		worked += q.prefilled
		if !q.ended {
			r.books.violate(fmt.Sprintf("lost: request %d was neither answered nor refused", q.number))
		}
		if q.whole {
			out.Answers++
			reached += q.PromptTokens
		}
		if q.good() {
			good++
		}
	}
	// Callers who go are not offered an answer.
	out.Goodput = share(good, len(r.requests)-r.books.cancelled)
	out.WastedPrefill = share(max(0, worked-reached), worked)
	out.WrongfulRefusals = share(r.books.wrongful, len(r.requests))
	out.WorstAccount = r.worst(capacity)
	r.checkLimits()
	out.Violations = len(r.books.details)
	out.ViolationDetails = r.books.details[:min(10, len(r.books.details))]
	return out
}

// checkMemory finds engine memory that is held at the end, when every caller is gone or answered.
func (r *Runner) checkMemory() {
	for _, id := range r.order {
		n := r.nodes[id]
		if n.engine.Streams() > 0 || n.engine.Kept() > 0 || (n.endpoint.Role == endpoint.Decode && n.reserver.Load().UsedSlots > 0) {
			r.books.violate(fmt.Sprintf("memory: %s holds %d streams, %d caches, %d slots for nobody", id, n.engine.Streams(), n.engine.Kept(), n.reserver.Load().UsedSlots))
		}
	}
}

// checkLimits finds windows in which an account got more than its burst and rate.
func (r *Runner) checkLimits() {
	for i, plan := range r.plans {
		// excess is the largest sum over windows that end here, less what the rate allows.
		excess, at := 0.0, time.Duration(0)
		for _, q := range r.requests {
			if q.AccountIndex != i || len(q.charged) == 0 {
				continue
			}
			tokens := float64(q.PromptTokens + q.OutputTokens)
			if !q.whole {
				tokens = float64(q.sent)
			}
			excess = max(0, excess-plan.Rate*(q.ArrivalTime-at).Seconds()) + tokens
			at = q.ArrivalTime
			if excess > plan.Burst+1 {
				r.books.violate(fmt.Sprintf("limit: account %s got %.0f tokens more than its plan", plan.Account, excess-plan.Burst))
				break
			}
		}
	}
}

// worst returns the least ratio of an account's good requests to its fair share: the max-min fair part of
// the capacity, weighted by the accounts' shares, of what it asked for within its rate.
func (r *Runner) worst(capacity float64) float64 {
	asked := make([]float64, r.books.accounts)
	good := make([]float64, r.books.accounts)
	for _, q := range r.requests {
		if q.within && q.CancelAfter == 0 {
			asked[q.AccountIndex]++
		}
		if q.good() && q.CancelAfter == 0 {
			good[q.AccountIndex]++
		}
	}
	fair := r.fair(asked, capacity*r.options.Duration.Seconds())
	worst := 1.0
	for i := range asked {
		if fair[i] > 0 {
			worst = min(worst, good[i]/fair[i])
		}
	}
	return worst
}

// fair fills the accounts up to what they asked for, by weight, until the capacity is used.
func (r *Runner) fair(asked []float64, capacity float64) []float64 {
	fair := make([]float64, len(asked))
	order := make([]int, len(asked))
	weights := 0.0
	for i, a := range r.options.Fleet.Accounts {
		order[i] = i
		weights += a.CapacityFraction
	}
	accounts := r.options.Fleet.Accounts
	sort.Slice(order, func(x, y int) bool {
		return asked[order[x]]/accounts[order[x]].CapacityFraction < asked[order[y]]/accounts[order[y]].CapacityFraction
	})
	for _, i := range order {
		fair[i] = min(asked[i], capacity*accounts[i].CapacityFraction/weights)
		capacity -= fair[i]
		weights -= accounts[i].CapacityFraction
	}
	return fair
}

func share(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
