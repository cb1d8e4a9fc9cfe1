// Package auditor counts violations of the invariants only from what callers received and what
// endpoints ran, apart from the router's own books.
package auditor

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/standin/plain"
)

// Limit is the plan of an account.
type Limit struct {
	Account string
	// TokensPerSecond is in tokens a second, Burst in tokens.
	TokensPerSecond float64
	BurstTokens     float64
}

// ReceivedAnswer is one whole answer as a caller received it.
type ReceivedAnswer struct {
	Account string
	// SentAt and Done are when the request was sent and when its answer was whole.
	SentAt      time.Duration
	CompletedAt time.Duration
	// Tokens counts prompt and answer.
	Tokens int
	Want   string
	Got    string
}

// ServiceCall is one call of a plain service as its caller saw it.
type ServiceCall struct {
	Account string
	// BodyMarker is unique to the call and part of its body.
	BodyMarker string
	// ReportedNotRun is set when the answer said that nothing ran.
	ReportedNotRun bool
	// Answered is set when the call was answered.
	Answered bool
}

// Auditor collects what happened. It is safe for concurrent use.
type Auditor struct {
	mu      sync.Mutex
	limits  map[string]Limit
	answers []ReceivedAnswer
	calls   []ServiceCall
}

// New returns an auditor of accounts with those limits.
func New(limits []Limit) *Auditor {
	a := &Auditor{limits: make(map[string]Limit)}
	for _, l := range limits {
		a.limits[l.Account] = l
	}
	return a
}

// RecordAnswer records a whole answer.
func (a *Auditor) RecordAnswer(answer ReceivedAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, answer)
}

// RecordCall records a call.
func (a *Auditor) RecordCall(c ServiceCall) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, c)
}

// Violations returns what went against the invariants, given all executions of the plain services.
func (a *Auditor) Violations(executions []plain.Execution) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.answerViolations()
	out = append(out, a.executionViolations(executions)...)
	return append(out, a.limitViolations()...)
}

func (a *Auditor) answerViolations() []string {
	var out []string
	for i := range a.answers {
		if answer := &a.answers[i]; answer.Got != answer.Want {
			out = append(out, fmt.Sprintf("answer: account %s got %d bytes that are not its whole answer of %d", answer.Account, len(answer.Got), len(answer.Want)))
		}
	}
	return out
}

func (a *Auditor) executionViolations(executions []plain.Execution) []string {
	var out []string
	for _, execution := range executions {
		if execution.Authorization != "" {
			out = append(out, "key: an endpoint saw a caller's key")
		}
	}
	for _, call := range a.calls {
		count := 0
		for _, execution := range executions {
			if !strings.Contains(execution.Body, call.BodyMarker) {
				continue
			}
			count++
			if execution.Account != call.Account {
				out = append(out, fmt.Sprintf("account: call %s ran for %s", call.BodyMarker, execution.Account))
			}
		}
		switch {
		case count > 1:
			out = append(out, fmt.Sprintf("once: call %s ran %d times", call.BodyMarker, count))
		case count > 0 && call.ReportedNotRun:
			out = append(out, fmt.Sprintf("refusal: call %s ran although its refusal said not run", call.BodyMarker))
		case count == 0 && call.Answered:
			out = append(out, fmt.Sprintf("answer: call %s was answered but never ran", call.BodyMarker))
		}
	}
	return out
}

// limitViolations finds windows in which an account got more than its burst and rate allow. An answer counts in a
// window only when all of it lies within, so that what is counted was admitted in the window.
func (a *Auditor) limitViolations() []string {
	byAccount := make(map[string][]ReceivedAnswer)
	for _, answer := range a.answers {
		byAccount[answer.Account] = append(byAccount[answer.Account], answer)
	}
	var out []string
	for name, answers := range byAccount {
		if limit, ok := a.limits[name]; ok {
			if excess := maxExcessTokens(limit, answers); excess > 0 {
				out = append(out, fmt.Sprintf("limit: account %s got %.0f tokens more than its plan in a window", name, excess))
			}
		}
	}
	sort.Strings(out)
	return out
}

// maxExcessTokens returns by how many tokens the worst window exceeds the limit; not above zero when none does.
func maxExcessTokens(l Limit, answers []ReceivedAnswer) float64 {
	sort.Slice(answers, func(i, j int) bool { return answers[i].CompletedAt < answers[j].CompletedAt })
	excess := 0.0
	for _, first := range answers {
		sum := 0.0
		for _, a := range answers {
			if a.SentAt < first.SentAt {
				continue
			}
			sum += float64(a.Tokens)
			allowed := l.BurstTokens + l.TokensPerSecond*(a.CompletedAt-first.SentAt).Seconds()
			excess = max(excess, sum-allowed)
		}
	}
	return excess
}
