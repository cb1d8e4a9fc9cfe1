// Package auditor finds violations of the guarantees that the router gives to callers. It uses only what callers
// received and what the plain services ran, never the router's own records, so that a wrong record cannot hide a
// violation.
package auditor

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/standin/plain"
)

// Limit is the limit of an account over the whole fleet.
type Limit struct {
	Account         string
	TokensPerSecond float64
	BurstTokens     float64
}

// ReceivedAnswer is one complete answer as a caller received it.
type ReceivedAnswer struct {
	Account string
	// SentAt and CompletedAt are the times at which the request was sent and its answer was complete. Both are measured
	// from a start that is the same for all answers.
	SentAt      time.Duration
	CompletedAt time.Duration
	// Tokens is the number of tokens of prompt and answer; 0 for an answer that does not count towards the limit.
	Tokens int
	// Want is the expected text, Got the received one.
	Want string
	Got  string
}

// ServiceCall is one call of a plain service with the outcome that its caller received.
type ServiceCall struct {
	Account string
	// BodyMarker is a text in the body of the call that no other call contains. It identifies the executions of the
	// call.
	BodyMarker string
	// ReportedNotRun is set when the response said that the call did not run.
	ReportedNotRun bool
	// Answered is set when the caller received a result.
	Answered bool
}

// Auditor collects answers and calls and checks them. It is safe for concurrent use.
type Auditor struct {
	// mu protects answers and calls; limits do not change.
	mu      sync.Mutex
	limits  map[string]Limit
	answers []ReceivedAnswer
	calls   []ServiceCall
}

// New returns an auditor that checks these limits, besides the other guarantees. Accounts that are not in limits have
// no limit.
func New(limits []Limit) *Auditor {
	a := &Auditor{limits: make(map[string]Limit)}
	for _, l := range limits {
		a.limits[l.Account] = l
	}
	return a
}

// RecordAnswer records a complete answer.
func (a *Auditor) RecordAnswer(answer ReceivedAnswer) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers = append(a.answers, answer)
}

// RecordCall records a call of a plain service.
func (a *Auditor) RecordCall(c ServiceCall) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, c)
}

// Violations checks all recorded answers and calls, and returns a line for each violation. executions are those of all
// plain services.
func (a *Auditor) Violations(executions []plain.Execution) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.answerViolations()
	out = append(out, a.executionViolations(executions)...)
	return append(out, a.limitViolations()...)
}

// answerViolations finds answers whose text is not the expected one. a.mu must be held.
func (a *Auditor) answerViolations() []string {
	var out []string
	for i := range a.answers {
		if answer := &a.answers[i]; answer.Got != answer.Want {
			out = append(out, fmt.Sprintf("answer: account %s got %d bytes that are not its whole answer of %d",
				answer.Account, len(answer.Got), len(answer.Want)))
		}
	}
	return out
}

// executionViolations finds executions that received a caller's key, calls that ran for another account or more than
// once, and calls whose outcome, as the caller received it, contradicts the executions. a.mu must be held.
func (a *Auditor) executionViolations(executions []plain.Execution) []string {
	var out []string
	for _, execution := range executions {
		if execution.Authorization != "" {
			out = append(out, "key: an endpoint saw a caller's key")
		}
	}
	for _, call := range a.calls {
		executionCount := 0
		for _, execution := range executions {
			if !strings.Contains(execution.Body, call.BodyMarker) {
				continue
			}
			executionCount++
			if execution.Account != call.Account {
				out = append(out, fmt.Sprintf("account: call %s ran for %s", call.BodyMarker, execution.Account))
			}
		}
		switch {
		case executionCount > 1:
			out = append(out, fmt.Sprintf("once: call %s ran %d times", call.BodyMarker, executionCount))
		case executionCount > 0 && call.ReportedNotRun:
			out = append(out, fmt.Sprintf("refusal: call %s ran although its refusal said not run", call.BodyMarker))
		case executionCount == 0 && call.Answered:
			out = append(out, fmt.Sprintf("answer: call %s was answered but never ran", call.BodyMarker))
		}
	}
	return out
}

// limitViolations finds accounts that got more in some window of time than their burst and rate allow. An answer counts
// in a window only when its request was sent and completed in the window, because only then it was certainly also
// admitted in it. a.mu must be held.
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

// maxExcessTokens returns by how many tokens the answers exceed the limit in the worst window, 0 when they exceed it in
// none. It tries every window from the sending of one answer to the completion of another. It sorts answers.
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
