// Package verifier checks the promises of the system from what its callers and its endpoints have seen, and from nothing
// else.
package verifier

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// RequestKind is what may be repeated.
type RequestKind uint8

// The kinds.
const (
	// AtMostOnce may run one time at most.
	AtMostOnce RequestKind = iota
	// Retryable may be repeated.
	Retryable
)

// Request is what a caller saw of one request.
type Request struct {
	ID            string
	Kind          RequestKind
	Account       string
	APIKey        string
	Gateway       string
	ChargedTokens int
	SentAt        time.Time
	EndedAt       time.Time
	// Status is zero where the connection ended without an answer.
	Status int
	// Defect tells what was wrong with a success; empty where nothing was.
	Defect string
	// CancelledAt is when the caller gave up; zero where it didn't.
	CancelledAt time.Time
}

// Run is what an endpoint saw of one request that it ran.
type Run struct {
	ID        string
	Account   string
	Endpoint  string
	StartedAt time.Time
	// EndedAt is zero while the run goes on.
	EndedAt time.Time
	// Disrupted is set where the endpoint or the path to it was disrupted while it ran.
	Disrupted bool
	// ReceivedKey is set where the caller's key reached the endpoint.
	ReceivedKey bool
}

// AccountLimit is the limit of an account, in tokens a second and tokens.
type AccountLimit struct {
	TokensPerSecond float64
	BurstTokens     float64
}

// Bounds are what the system promises.
type Bounds struct {
	// RevokeDeadline is the time within which withdrawn keys stop working, Drain that within which leaving endpoints get no new work.
	RevokeDeadline time.Duration
	DrainDeadline  time.Duration
	// CancelDeadline is the time after which no endpoint works for a caller who has left.
	CancelDeadline time.Duration
	// LimitWindow, Overage and Slack bound what accounts run beyond their plans.
	LimitWindow  time.Duration
	OverageRatio float64
	SlackTokens  float64
	// RetriesPerRequest and RepeatExtra bound the runs after the first of a request in each RepeatWindow.
	RetriesPerRequest float64
	ExtraRetries      float64
	RetryWindow       time.Duration
}

// Finding is a promise that was broken.
type Finding struct {
	Promise string
	ID      string
	Detail  string
}

func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Promise, f.ID, f.Detail)
}

// Shutdown is the orderly end of a gateway.
type Shutdown struct {
	Gateway   string
	StartedAt time.Time
	EndedAt   time.Time
}

// History is all that callers and endpoints have seen, and what operators did.
type History struct {
	Bounds   Bounds
	Requests []Request
	Runs     []Run
	Limits   map[string]AccountLimit
	// RecoveredAt is when the last fault had been over for so long that every request must be served; zero where that never came.
	RecoveredAt time.Time
	// Shutdowns are the times in which gateways ended because they were told to, with no other fault on them.
	Shutdowns []Shutdown
	// WithdrawnAt holds when a key was withdrawn, Leaving when an endpoint was announced to leave.
	WithdrawnAt  map[string]time.Time
	LeavingSince map[string]time.Time
	// FaultFree tells whether no fault was in force from one time to another, so that promises to gateways in touch hold.
	FaultFree func(from, to time.Time) bool
}

// Verifier checks one history.
type Verifier struct {
	history      History
	requestsByID map[string]*Request
	runsByID     map[string][]Run
	findings     []Finding
	checkCounts  map[string]int
}

// New returns a verifier of a history.
func New(h History) *Verifier {
	v := &Verifier{history: h, requestsByID: map[string]*Request{}, runsByID: map[string][]Run{}, checkCounts: map[string]int{}}
	for i := range h.Requests {
		v.requestsByID[h.Requests[i].ID] = &h.Requests[i]
	}
	for _, r := range h.Runs {
		v.runsByID[r.ID] = append(v.runsByID[r.ID], r)
	}
	return v
}

// CheckCounts returns how often each promise was looked at: a run that looks at nothing shows nothing.
func (v *Verifier) CheckCounts() map[string]int {
	return v.checkCounts
}

// Check returns all findings, by promise and request.
func (v *Verifier) Check() []Finding {
	for i := range v.history.Requests {
		v.checkRequest(&v.history.Requests[i])
	}
	for _, r := range v.history.Runs {
		v.checkRun(r)
	}
	v.checkLimits()
	v.checkRetries()
	sort.SliceStable(v.findings, func(i, j int) bool { return v.findings[i].Promise < v.findings[j].Promise })
	return v.findings
}

// expect counts a look at a promise and records a finding where it does not hold.
func (v *Verifier) expect(holds bool, promise, id, format string, args ...any) {
	v.checkCounts[promise]++
	if holds {
		return
	}
	v.findings = append(v.findings, Finding{Promise: promise, ID: id, Detail: fmt.Sprintf(format, args...)})
}

func (v *Verifier) checkRequest(r *Request) {
	runs := v.runsByID[r.ID]
	if r.Kind == AtMostOnce {
		v.expect(len(runs) <= 1, "at most once", r.ID, "ran %d times", len(runs))
	}
	refused := r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable
	if refused && r.Kind == AtMostOnce {
		v.expect(len(runs) == 0, "true refusals", r.ID, "answered %d by %s, and run", r.Status, r.Gateway)
	}
	if r.Status == http.StatusOK {
		v.expect(r.Defect == "", "own whole answer", r.ID, "%s", r.Defect)
	}
	if !v.history.RecoveredAt.IsZero() && r.SentAt.After(v.history.RecoveredAt) && r.CancelledAt.IsZero() && v.mustBeServed(r) {
		v.expect(r.Status == http.StatusOK, "served after recovery", r.ID, "answered %d by %s", r.Status, r.Gateway)
	}
	for _, run := range runs {
		v.checkCancelled(r, run)
		v.checkShutdowns(r, run)
	}
}

// mustBeServed tells whether an account has no limit and the request's key is in force.
func (v *Verifier) mustBeServed(r *Request) bool {
	_, limited := v.history.Limits[r.Account]
	_, withdrawn := v.history.WithdrawnAt[r.APIKey]
	return !limited && !withdrawn
}

// checkCancelled looks for work for a caller who has left.
func (v *Verifier) checkCancelled(r *Request, run Run) {
	latest := r.CancelledAt.Add(v.history.Bounds.CancelDeadline)
	if r.CancelledAt.IsZero() || run.Disrupted || !v.history.FaultFree(r.SentAt, latest) {
		return
	}
	v.expect(!run.EndedAt.IsZero() && !run.EndedAt.After(latest), "no work for callers gone", r.ID,
		"%s worked on for %v after the caller had left", run.Endpoint, run.EndedAt.Sub(r.CancelledAt))
}

// checkShutdowns looks for requests that an orderly end of their gateway cut off.
func (v *Verifier) checkShutdowns(r *Request, run Run) {
	for _, s := range v.history.Shutdowns {
		if s.Gateway != r.Gateway || r.EndedAt.Before(s.StartedAt) || r.SentAt.After(s.EndedAt) || run.Disrupted || !r.CancelledAt.IsZero() {
			continue
		}
		v.expect(r.Status != 0, "orderly ends", r.ID, "cut off by the end of %s", r.Gateway)
	}
}

func (v *Verifier) checkRun(run Run) {
	r, known := v.requestsByID[run.ID]
	v.expect(known, "only asked runs", run.ID, "%s ran what no caller sent", run.Endpoint)
	if !known {
		return
	}
	v.expect(run.Account == r.Account, "own account", run.ID, "ran for %q, sent by %q", run.Account, r.Account)
	v.expect(!run.ReceivedKey, "keys stay here", run.ID, "%s saw the caller's key", run.Endpoint)
	if at, ok := v.history.WithdrawnAt[r.APIKey]; ok {
		v.expect(!r.SentAt.After(at.Add(v.history.Bounds.RevokeDeadline)), "withdrawn keys", run.ID,
			"sent %v after the key was withdrawn, run by way of %s", r.SentAt.Sub(at), r.Gateway)
	}
	at, leaving := v.history.LeavingSince[run.Endpoint]
	since := r.SentAt.Add(-v.history.Bounds.DrainDeadline)
	if at.After(since) {
		since = at
	}
	if leaving && v.history.FaultFree(since, run.StartedAt) {
		v.expect(!r.SentAt.After(at.Add(v.history.Bounds.DrainDeadline)), "leaving endpoints", run.ID,
			"%s began work %v after it was announced to leave", run.Endpoint, run.StartedAt.Sub(at))
	}
}

// usage is what a run costs its account.
type usage struct {
	at     time.Time
	tokens int
}

// checkLimits looks for windows in which an account ran more than its plan allows.
func (v *Verifier) checkLimits() {
	byAccount := map[string][]usage{}
	for id, runs := range v.runsByID {
		if r, ok := v.requestsByID[id]; ok {
			byAccount[r.Account] = append(byAccount[r.Account], usage{at: runs[0].StartedAt, tokens: r.ChargedTokens})
		}
	}
	b := v.history.Bounds
	for account, plan := range v.history.Limits {
		maxTokens := (plan.TokensPerSecond*b.LimitWindow.Seconds()+plan.BurstTokens)*(1+b.OverageRatio) + b.SlackTokens
		tokens := maxInWindow(byAccount[account], b.LimitWindow)
		v.expect(float64(tokens) <= maxTokens, "limits", account, "%d tokens within %v, at most %.0f", tokens, b.LimitWindow, maxTokens)
	}
}

// maxInWindow returns the most tokens that fall into a window.
func maxInWindow(charges []usage, window time.Duration) int {
	sort.Slice(charges, func(i, j int) bool { return charges[i].at.Before(charges[j].at) })
	most, sum, first := 0, 0, 0
	for _, c := range charges {
		sum += c.tokens
		for c.at.Sub(charges[first].at) >= window {
			sum -= charges[first].tokens
			first++
		}
		most = max(most, sum)
	}
	return most
}

// checkRetries looks for windows with too many runs after the first of a request.
func (v *Verifier) checkRetries() {
	var retries, requests []usage
	for _, runs := range v.runsByID {
		for _, r := range runs[1:] {
			retries = append(retries, usage{at: r.StartedAt, tokens: 1})
		}
	}
	for i := range v.history.Requests {
		requests = append(requests, usage{at: v.history.Requests[i].SentAt, tokens: 1})
	}
	b := v.history.Bounds
	maxRetries := b.RetriesPerRequest*float64(maxInWindow(requests, b.RetryWindow)) + b.ExtraRetries
	retryCount := maxInWindow(retries, b.RetryWindow)
	v.expect(float64(retryCount) <= maxRetries, "repeats", "all", "%d repeats within %v, at most %.0f", retryCount, b.RetryWindow, maxRetries)
}
