// Package observer checks the promises of the system from what its callers and its endpoints have seen, and from nothing
// else.
package observer

import (
	"fmt"
	"net/http"
	"sort"
	"time"
)

// Kind is what may be repeated.
type Kind uint8

// The kinds.
const (
	// Once may run one time at most.
	Once Kind = iota
	// Again may be repeated.
	Again
)

// Request is what a caller saw of one request.
type Request struct {
	ID      string
	Kind    Kind
	Account string
	Key     string
	Gateway string
	Tokens  int
	Sent    time.Time
	Ended   time.Time
	// Status is zero where the connection ended without an answer.
	Status int
	// Spoilt tells what was wrong with a success; empty where nothing was.
	Spoilt string
	// Left is when the caller gave up; zero where it didn't.
	Left time.Time
}

// Run is what an endpoint saw of one request that it ran.
type Run struct {
	ID       string
	Account  string
	Endpoint string
	Began    time.Time
	// Ended is zero while the run goes on.
	Ended time.Time
	// Disrupted is set where the endpoint or the path to it was disrupted while it ran.
	Disrupted bool
	// KeySeen is set where the caller's key reached the endpoint.
	KeySeen bool
}

// Plan is the limit of an account, in tokens a second and tokens.
type Plan struct {
	Rate  float64
	Burst float64
}

// Bounds are what the system promises.
type Bounds struct {
	// Revoke is the time within which withdrawn keys stop working, Drain that within which leaving endpoints get no new work.
	Revoke time.Duration
	Drain  time.Duration
	// Gone is the time after which no endpoint works for a caller who has left.
	Gone time.Duration
	// Window, Overage and Slack bound what accounts run beyond their plans.
	Window  time.Duration
	Overage float64
	Slack   float64
	// RepeatRatio and RepeatExtra bound the runs after the first of a request in each RepeatWindow.
	RepeatRatio  float64
	RepeatExtra  float64
	RepeatWindow time.Duration
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

// Stop is the orderly end of a gateway.
type Stop struct {
	Gateway string
	From    time.Time
	To      time.Time
}

// History is all that callers and endpoints have seen, and what operators did.
type History struct {
	Bounds   Bounds
	Requests []Request
	Runs     []Run
	Plans    map[string]Plan
	// Settled is when the last fault had been over for so long that every request must be served; zero where that never came.
	Settled time.Time
	// Stops are the times in which gateways ended because they were told to, with no other fault on them.
	Stops []Stop
	// Withdrawn holds when a key was withdrawn, Leaving when an endpoint was announced to leave.
	Withdrawn map[string]time.Time
	Leaving   map[string]time.Time
	// Calm tells whether no fault was in force from one time to another, so that promises to gateways in touch hold.
	Calm func(from, to time.Time) bool
}

// Observer checks one history.
type Observer struct {
	history  History
	requests map[string]*Request
	runs     map[string][]Run
	findings []Finding
	checked  map[string]int
}

// New returns an observer of a history.
func New(h History) *Observer {
	o := &Observer{history: h, requests: map[string]*Request{}, runs: map[string][]Run{}, checked: map[string]int{}}
	for i := range h.Requests {
		o.requests[h.Requests[i].ID] = &h.Requests[i]
	}
	for _, r := range h.Runs {
		o.runs[r.ID] = append(o.runs[r.ID], r)
	}
	return o
}

// Checked returns how often each promise was looked at: a run that looks at nothing shows nothing.
func (o *Observer) Checked() map[string]int {
	return o.checked
}

// Check returns all findings, by promise and request.
func (o *Observer) Check() []Finding {
	for i := range o.history.Requests {
		o.checkRequest(&o.history.Requests[i])
	}
	for _, r := range o.history.Runs {
		o.checkRun(r)
	}
	o.checkLimits()
	o.checkRepeats()
	sort.SliceStable(o.findings, func(i, j int) bool { return o.findings[i].Promise < o.findings[j].Promise })
	return o.findings
}

// expect counts a look at a promise and records a finding where it does not hold.
func (o *Observer) expect(holds bool, promise, id, format string, args ...any) {
	o.checked[promise]++
	if holds {
		return
	}
	o.findings = append(o.findings, Finding{Promise: promise, ID: id, Detail: fmt.Sprintf(format, args...)})
}

func (o *Observer) checkRequest(r *Request) {
	runs := o.runs[r.ID]
	if r.Kind == Once {
		o.expect(len(runs) <= 1, "at most once", r.ID, "ran %d times", len(runs))
	}
	refused := r.Status == http.StatusTooManyRequests || r.Status == http.StatusServiceUnavailable
	if refused && r.Kind == Once {
		o.expect(len(runs) == 0, "true refusals", r.ID, "answered %d by %s, and run", r.Status, r.Gateway)
	}
	if r.Status == http.StatusOK {
		o.expect(r.Spoilt == "", "own whole answer", r.ID, "%s", r.Spoilt)
	}
	if !o.history.Settled.IsZero() && r.Sent.After(o.history.Settled) && r.Left.IsZero() && o.unlimited(r) {
		o.expect(r.Status == http.StatusOK, "served after recovery", r.ID, "answered %d by %s", r.Status, r.Gateway)
	}
	for _, run := range runs {
		o.checkGone(r, run)
		o.checkStop(r, run)
	}
}

// unlimited tells whether an account has no limit and the request's key is in force.
func (o *Observer) unlimited(r *Request) bool {
	_, limited := o.history.Plans[r.Account]
	_, withdrawn := o.history.Withdrawn[r.Key]
	return !limited && !withdrawn
}

// checkGone looks for work for a caller who has left.
func (o *Observer) checkGone(r *Request, run Run) {
	latest := r.Left.Add(o.history.Bounds.Gone)
	if r.Left.IsZero() || run.Disrupted || !o.history.Calm(r.Sent, latest) {
		return
	}
	o.expect(!run.Ended.IsZero() && !run.Ended.After(latest), "no work for callers gone", r.ID,
		"%s worked on for %v after the caller had left", run.Endpoint, run.Ended.Sub(r.Left))
}

// checkStop looks for requests that an orderly end of their gateway cut off.
func (o *Observer) checkStop(r *Request, run Run) {
	for _, s := range o.history.Stops {
		if s.Gateway != r.Gateway || r.Ended.Before(s.From) || r.Sent.After(s.To) || run.Disrupted || !r.Left.IsZero() {
			continue
		}
		o.expect(r.Status != 0, "orderly ends", r.ID, "cut off by the end of %s", r.Gateway)
	}
}

func (o *Observer) checkRun(run Run) {
	r, known := o.requests[run.ID]
	o.expect(known, "only asked runs", run.ID, "%s ran what no caller sent", run.Endpoint)
	if !known {
		return
	}
	o.expect(run.Account == r.Account, "own account", run.ID, "ran for %q, sent by %q", run.Account, r.Account)
	o.expect(!run.KeySeen, "keys stay here", run.ID, "%s saw the caller's key", run.Endpoint)
	if at, ok := o.history.Withdrawn[r.Key]; ok {
		o.expect(!r.Sent.After(at.Add(o.history.Bounds.Revoke)), "withdrawn keys", run.ID,
			"sent %v after the key was withdrawn, run by way of %s", r.Sent.Sub(at), r.Gateway)
	}
	at, leaving := o.history.Leaving[run.Endpoint]
	since := r.Sent.Add(-o.history.Bounds.Drain)
	if at.After(since) {
		since = at
	}
	if leaving && o.history.Calm(since, run.Began) {
		o.expect(!r.Sent.After(at.Add(o.history.Bounds.Drain)), "leaving endpoints", run.ID,
			"%s began work %v after it was announced to leave", run.Endpoint, run.Began.Sub(at))
	}
}

// charge is what a run costs its account.
type charge struct {
	at     time.Time
	tokens int
}

// checkLimits looks for windows in which an account ran more than its plan allows.
func (o *Observer) checkLimits() {
	byAccount := map[string][]charge{}
	for id, runs := range o.runs {
		if r, ok := o.requests[id]; ok {
			byAccount[r.Account] = append(byAccount[r.Account], charge{at: runs[0].Began, tokens: r.Tokens})
		}
	}
	b := o.history.Bounds
	for account, plan := range o.history.Plans {
		most := (plan.Rate*b.Window.Seconds()+plan.Burst)*(1+b.Overage) + b.Slack
		tokens := busiest(byAccount[account], b.Window)
		o.expect(float64(tokens) <= most, "limits", account, "%d tokens within %v, at most %.0f", tokens, b.Window, most)
	}
}

// busiest returns the most tokens that fall into a window.
func busiest(charges []charge, window time.Duration) int {
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

// checkRepeats looks for windows with too many runs after the first of a request.
func (o *Observer) checkRepeats() {
	var repeats, requests []charge
	for _, runs := range o.runs {
		for _, r := range runs[1:] {
			repeats = append(repeats, charge{at: r.Began, tokens: 1})
		}
	}
	for i := range o.history.Requests {
		requests = append(requests, charge{at: o.history.Requests[i].Sent, tokens: 1})
	}
	b := o.history.Bounds
	most := b.RepeatRatio*float64(busiest(requests, b.RepeatWindow)) + b.RepeatExtra
	n := busiest(repeats, b.RepeatWindow)
	o.expect(float64(n) <= most, "repeats", "all", "%d repeats within %v, at most %.0f", n, b.RepeatWindow, most)
}
