// Package verifier checks whether the system kept its promises, such as at-most-once execution and the limits of
// client accounts. It uses only what callers and endpoints recorded, and nothing that the gateways report about
// themselves.
package verifier

import (
	"fmt"
	"net/http"
	"slices"
	"sort"
	"time"
)

// RequestKind says whether the system may run a request more than once.
type RequestKind uint8

// The kinds of requests.
const (
	// AtMostOnce requests may run at most once.
	AtMostOnce RequestKind = iota
	// Retryable requests may run several times.
	Retryable
)

// expiryMargin is how long before the end of its time a request may be ended by a gateway because of that.
const expiryMargin = 100 * time.Millisecond

// Request is a caller's record of one request.
type Request struct {
	// ID is unique and sent along with the request, so that endpoints record it too.
	ID      string
	Kind    RequestKind
	Account string
	APIKey  string
	Gateway string
	// ChargedTokens is the number of tokens that count toward the limit of the client account.
	ChargedTokens int
	SentAt        time.Time
	EndedAt       time.Time
	// Deadline is the end of the time that the caller gave the request, or zero if it gave none.
	Deadline time.Time
	// Status is the HTTP status; it is zero when the connection ended without a complete response.
	Status int
	// Defect describes what is wrong with a response of status 200; it is empty when nothing is.
	Defect string
	// IsPart is set if a response of status 200 is only a part of the answer, and the caller was not told that it is whole.
	IsPart bool
	// CrashesAs names the requests with the same account, target and body, or with the same part of their prompts if
	// CrashesByPart is set, which crash each endpoint that runs them. It is empty for requests that do no harm.
	CrashesAs     string
	CrashesByPart bool
	// CancelledAt is when the caller disconnected; it is zero when the caller waited for the response.
	CancelledAt time.Time
}

// hasExpired returns whether the request ended because its time was over. Gateways end it a little earlier, so that their answer
// arrives in time.
func (r *Request) hasExpired() bool {
	return !r.Deadline.IsZero() && r.EndedAt.After(r.Deadline.Add(-expiryMargin))
}

// Run is an endpoint's record of one execution of a request.
type Run struct {
	// ID is the ID of the request.
	ID        string
	Account   string
	Endpoint  string
	StartedAt time.Time
	// EndedAt is zero while the endpoint still works on the request.
	EndedAt time.Time
	// Disrupted is set when the endpoint or the network path to it had a fault during the run.
	Disrupted bool
	// Crashed is set when the run crashed the endpoint.
	Crashed bool
	// Unmarked is set if the endpoint sent its answer without a length and without chunks.
	Unmarked bool
	// EndedUnmarked is set if the endpoint broke off its answer in a way that can't be told from the end of a whole one.
	EndedUnmarked bool
	// ReceivedKey is set when the gateway passed the caller's API key on to the endpoint.
	ReceivedKey bool
}

// AccountLimit is the configured limit of a client account.
type AccountLimit struct {
	TokensPerSecond float64
	BurstTokens     float64
}

// Bounds are the time limits and tolerances of the promises.
type Bounds struct {
	// RevokeDeadline is the time from the withdrawal of an API key until it must be rejected.
	RevokeDeadline time.Duration
	// DrainDeadline is the time from the announcement that an endpoint leaves until it must get no new work.
	DrainDeadline time.Duration
	// CancelDeadline is the time from a caller's disconnection until no endpoint may still work for it.
	CancelDeadline time.Duration
	// In any period of LimitWindow, a client account may use the tokens that its limit allows, times 1 +
	// OverageRatio, plus SlackTokens.
	LimitWindow  time.Duration
	OverageRatio float64
	SlackTokens  float64
	// In any period of RetryWindow, the system may make at most this number of retries: RetriesPerRequest times the
	// requests of the busiest such period, plus ExtraRetries.
	RetriesPerRequest float64
	ExtraRetries      float64
	RetryWindow       time.Duration
}

// Finding is one case of a broken promise.
type Finding struct {
	// Promise is the name of the promise, such as "at most once".
	Promise string
	// ID names the request, client account or gateway concerned.
	ID     string
	Detail string
}

// String returns the finding as one line of the report.
func (f Finding) String() string {
	return fmt.Sprintf("%s: %s: %s", f.Promise, f.ID, f.Detail)
}

// Shutdown is the period of one graceful shutdown of a gateway, from SIGTERM to its exit.
type Shutdown struct {
	Gateway   string
	StartedAt time.Time
	EndedAt   time.Time
}

// History holds the records of all callers and endpoints, and the actions of operators.
type History struct {
	Bounds   Bounds
	Requests []Request
	Runs     []Run
	// Prefills holds the prefills of generations, which are no runs.
	Prefills []Run
	// Limits holds the limits by client account; accounts without a limit are missing.
	Limits map[string]AccountLimit
	// RecoveredAt is the time from which every request must be served, because the last fault ended long enough
	// before. It is zero when there was no such time.
	RecoveredAt time.Time
	// MemoryLostAt holds when all gateways had lost what they knew.
	MemoryLostAt []time.Time
	// Shutdowns are the shutdowns of gateways that no other fault disturbed.
	Shutdowns []Shutdown
	// WithdrawnAt holds the time of the withdrawal of each withdrawn API key, by key. LeavingSince holds the time of
	// the announcement for each leaving endpoint, by endpoint ID.
	WithdrawnAt  map[string]time.Time
	LeavingSince map[string]time.Time
	// Contacts holds all requests that reached endpoints, and LeavingAnswers the answers in which endpoints said that they
	// leave.
	Contacts       []Contact
	LeavingAnswers []LeavingAnswer
	// Undisturbed returns whether a gateway ran all the time in a period and had an undisturbed path to an endpoint.
	Undisturbed func(gateway, endpoint string, from, to time.Time) bool
	// FaultFree returns whether no fault was active in a period. Some promises hold only while a gateway is
	// connected to the store and its peers, and are checked only for such periods.
	FaultFree func(from, to time.Time) bool
}

// Verifier checks the promises on one history. It is not safe for concurrent use.
type Verifier struct {
	history      History
	requestsByID map[string]*Request
	// runsByID holds the runs of each request, by request ID.
	runsByID map[string][]Run
	findings []Finding
	// checkCounts counts the checks by promise.
	checkCounts map[string]int
}

// New returns a verifier that checks a history.
func New(h History) *Verifier {
	v := &Verifier{
		history: h, requestsByID: map[string]*Request{}, runsByID: map[string][]Run{}, checkCounts: map[string]int{},
	}
	for i := range h.Requests {
		v.requestsByID[h.Requests[i].ID] = &h.Requests[i]
	}
	for _, r := range h.Runs {
		v.runsByID[r.ID] = append(v.runsByID[r.ID], r)
	}
	return v
}

// CheckCounts returns the number of checks by promise. A promise with no checks was not tested by the history.
func (v *Verifier) CheckCounts() map[string]int {
	return v.checkCounts
}

// Check checks all promises and returns the findings in order of the promises' names. Call it once.
func (v *Verifier) Check() []Finding {
	for i := range v.history.Requests {
		v.checkRequest(&v.history.Requests[i])
	}
	for _, r := range v.history.Runs {
		v.checkRun(r)
	}
	v.checkLimits()
	v.checkRetries()
	v.checkCrashes()
	v.checkSignals()
	sort.SliceStable(v.findings, func(i, j int) bool { return v.findings[i].Promise < v.findings[j].Promise })
	return v.findings
}

// expect counts a check of a promise and records a finding when the promise is broken. id names the request, client
// account or gateway concerned; format and args give the detail.
func (v *Verifier) expect(holds bool, promise, id, format string, args ...any) {
	v.checkCounts[promise]++
	if holds {
		return
	}
	v.findings = append(v.findings, Finding{Promise: promise, ID: id, Detail: fmt.Sprintf(format, args...)})
}

// checkRequest checks the promises to the caller of a request.
func (v *Verifier) checkRequest(r *Request) {
	runs := v.runsByID[r.ID]
	if r.Kind == AtMostOnce {
		v.expect(len(runs) <= 1, "at most once", r.ID, "ran %d times", len(runs))
	}
	refused := r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable
	if refused && r.Kind == AtMostOnce {
		v.expect(len(runs) == 0, "true refusals", r.ID, "answered %d by %s, but was run", r.Status, r.Gateway)
	}
	if r.Status == http.StatusOK {
		v.expect(r.Defect == "", "own whole answer", r.ID, "%s", r.Defect)
		v.expect(!r.IsPart || slices.ContainsFunc(runs, func(r Run) bool { return r.EndedUnmarked }), "ends not marked", r.ID,
			"got a part of the answer, although what its endpoint sent was marked")
	}
	if !v.history.RecoveredAt.IsZero() && r.SentAt.After(v.history.RecoveredAt) && r.CancelledAt.IsZero() &&
		v.mustBeServed(r) {
		v.expect(r.Status == http.StatusOK, "served after recovery", r.ID, "answered %d by %s", r.Status, r.Gateway)
	}
	for _, run := range runs {
		v.checkCancelled(r, run)
		v.checkShutdowns(r, run)
	}
}

// mustBeServed returns whether no limit of the client account, withdrawn API key or crash of endpoints justifies a refusal.
func (v *Verifier) mustBeServed(r *Request) bool {
	_, limited := v.history.Limits[r.Account]
	_, withdrawn := v.history.WithdrawnAt[r.APIKey]
	return !limited && !withdrawn && r.CrashesAs == ""
}

// checkCancelled checks that the endpoint stopped working on a request within CancelDeadline after its caller
// disconnected.
func (v *Verifier) checkCancelled(r *Request, run Run) {
	deadline := r.CancelledAt.Add(v.history.Bounds.CancelDeadline)
	if r.CancelledAt.IsZero() || run.Disrupted || !v.history.FaultFree(r.SentAt, deadline) {
		return
	}
	v.expect(!run.EndedAt.IsZero() && !run.EndedAt.After(deadline), "no work for callers gone", r.ID,
		"%s continued for %v after the caller disconnected", run.Endpoint, run.EndedAt.Sub(r.CancelledAt))
}

// checkShutdowns checks that no graceful shutdown of a gateway cut off a request that was open at that gateway and had time left.
func (v *Verifier) checkShutdowns(r *Request, run Run) {
	for _, s := range v.history.Shutdowns {
		if s.Gateway != r.Gateway || r.EndedAt.Before(s.StartedAt) || r.SentAt.After(s.EndedAt) || run.Disrupted ||
			!r.CancelledAt.IsZero() || r.hasExpired() || endIsUnknown(v.runsByID[r.ID]) {
			continue
		}
		v.expect(r.Status != 0, "orderly ends", r.ID, "cut off by the shutdown of %s", r.Gateway)
	}
}

// endIsUnknown returns whether a gateway can't know the end of an answer that it told the caller it would mark: a run that
// began it in chunks broke off, and the endpoint that continued it last did not mark its end. Endpoints with a fault that
// were asked to vouch for it afterwards change nothing.
func endIsUnknown(runs []Run) bool {
	var sound []Run
	for _, r := range runs {
		if !r.Disrupted {
			sound = append(sound, r)
		}
	}
	if len(sound) == 0 {
		return false
	}
	last := slices.MaxFunc(sound, func(a, b Run) int { return a.StartedAt.Compare(b.StartedAt) })
	return last.Unmarked && slices.ContainsFunc(runs, func(r Run) bool { return r.Disrupted && !r.Unmarked })
}

// checkRun checks the promises that concern a single run at an endpoint. A run at a leaving endpoint is checked
// only when no fault was active from DrainDeadline before the request was sent, or from the announcement if that was
// later, until the start of the run.
func (v *Verifier) checkRun(run Run) {
	r, known := v.requestsByID[run.ID]
	v.expect(known, "only asked runs", run.ID, "%s ran a request that no caller sent", run.Endpoint)
	if !known {
		return
	}
	v.expect(run.Account == r.Account, "own account", run.ID,
		"run for account %q, sent by account %q", run.Account, r.Account)
	v.expect(!run.ReceivedKey, "keys stay here", run.ID, "%s received the caller's key", run.Endpoint)
	if withdrawnAt, ok := v.history.WithdrawnAt[r.APIKey]; ok {
		v.expect(!r.SentAt.After(withdrawnAt.Add(v.history.Bounds.RevokeDeadline)), "withdrawn keys", run.ID,
			"sent %v after its key was withdrawn, run through %s", r.SentAt.Sub(withdrawnAt), r.Gateway)
	}
	announcedAt, isLeaving := v.history.LeavingSince[run.Endpoint]
	faultFreeSince := r.SentAt.Add(-v.history.Bounds.DrainDeadline)
	if announcedAt.After(faultFreeSince) {
		faultFreeSince = announcedAt
	}
	if isLeaving && v.history.FaultFree(faultFreeSince, run.StartedAt) {
		v.expect(!r.SentAt.After(announcedAt.Add(v.history.Bounds.DrainDeadline)), "leaving endpoints", run.ID,
			"%s started the request %v after it was announced to leave", run.Endpoint, run.StartedAt.Sub(announcedAt))
	}
}

// usage is an amount used at a point in time: tokens, or 1 for a retry or a request.
type usage struct {
	at     time.Time
	amount int
}

// checkLimits checks that no client account used more tokens in any period of LimitWindow than its limit allows,
// with the tolerance of OverageRatio and SlackTokens. Each request counts once, at the start of its first recorded
// run.
func (v *Verifier) checkLimits() {
	byAccount := map[string][]usage{}
	for id, runs := range v.runsByID {
		if r, ok := v.requestsByID[id]; ok {
			byAccount[r.Account] = append(byAccount[r.Account], usage{at: runs[0].StartedAt, amount: r.ChargedTokens})
		}
	}
	b := v.history.Bounds
	for account, limit := range v.history.Limits {
		maxTokens := (limit.TokensPerSecond*b.LimitWindow.Seconds()+limit.BurstTokens)*(1+b.OverageRatio) + b.SlackTokens
		tokens := maxInWindow(byAccount[account], b.LimitWindow)
		v.expect(float64(tokens) <= maxTokens, "limits", account,
			"used %d tokens within %v, want at most %.0f", tokens, b.LimitWindow, maxTokens)
	}
}

// maxInWindow returns the largest sum of amounts in any period of the given length. It sorts the usages by time.
func maxInWindow(usages []usage, window time.Duration) int {
	sort.Slice(usages, func(i, j int) bool { return usages[i].at.Before(usages[j].at) })
	maxSum, sum, first := 0, 0, 0
	for _, u := range usages {
		sum += u.amount
		for u.at.Sub(usages[first].at) >= window {
			sum -= usages[first].amount
			first++
		}
		maxSum = max(maxSum, sum)
	}
	return maxSum
}

// checkRetries checks that the retries of the whole system stay within the retry budget: in any period of
// RetryWindow, at most RetriesPerRequest times the requests of the busiest such period, plus ExtraRetries. Every
// run of a request after its first recorded one is a retry.
func (v *Verifier) checkRetries() {
	var retries, requests []usage
	for _, runs := range v.runsByID {
		for _, r := range runs[1:] {
			retries = append(retries, usage{at: r.StartedAt, amount: 1})
		}
	}
	for i := range v.history.Requests {
		requests = append(requests, usage{at: v.history.Requests[i].SentAt, amount: 1})
	}
	b := v.history.Bounds
	maxRetries := b.RetriesPerRequest*float64(maxInWindow(requests, b.RetryWindow)) + b.ExtraRetries
	retryCount := maxInWindow(retries, b.RetryWindow)
	v.expect(float64(retryCount) <= maxRetries, "repeats", "all",
		"%d retries within %v, want at most %.0f", retryCount, b.RetryWindow, maxRetries)
}
