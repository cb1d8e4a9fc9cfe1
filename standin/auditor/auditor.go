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
	// Rate is in tokens a second, Burst in tokens.
	Rate  float64
	Burst float64
}

// Answered is one whole answer as a caller received it.
type Answered struct {
	Account string
	// Sent and Done are when the request was sent and when its answer was whole.
	Sent time.Duration
	Done time.Duration
	// Tokens counts prompt and answer.
	Tokens int
	Want   string
	Got    string
}

// Called is one call of a plain service as its caller saw it.
type Called struct {
	Account string
	// Mark is unique to the call and part of its body.
	Mark string
	// NotRun is set when the answer said that nothing ran.
	NotRun bool
	// Done is set when the call was answered.
	Done bool
}

// Auditor collects what happened. It is safe for concurrent use.
type Auditor struct {
	mu       sync.Mutex
	limits   map[string]Limit
	answered []Answered
	called   []Called
}

// New returns an auditor of accounts with those limits.
func New(limits []Limit) *Auditor {
	a := &Auditor{limits: make(map[string]Limit)}
	for _, l := range limits {
		a.limits[l.Account] = l
	}
	return a
}

// Answer records a whole answer.
func (a *Auditor) Answer(answer Answered) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answered = append(a.answered, answer)
}

// Call records a call.
func (a *Auditor) Call(c Called) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.called = append(a.called, c)
}

// Violations returns what went against the invariants, given all executions of the plain services.
func (a *Auditor) Violations(runs []plain.Execution) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := a.wrongAnswers()
	out = append(out, a.wrongRuns(runs)...)
	return append(out, a.exceeded()...)
}

func (a *Auditor) wrongAnswers() []string {
	var out []string
	for i := range a.answered {
		if answer := &a.answered[i]; answer.Got != answer.Want {
			out = append(out, fmt.Sprintf("answer: account %s got %d bytes that are not its whole answer of %d", answer.Account, len(answer.Got), len(answer.Want)))
		}
	}
	return out
}

func (a *Auditor) wrongRuns(runs []plain.Execution) []string {
	var out []string
	for _, r := range runs {
		if r.Authorization != "" {
			out = append(out, "key: an endpoint saw a caller's key")
		}
	}
	for _, c := range a.called {
		count := 0
		for _, r := range runs {
			if !strings.Contains(r.Body, c.Mark) {
				continue
			}
			count++
			if r.Account != c.Account {
				out = append(out, fmt.Sprintf("account: call %s ran for %s", c.Mark, r.Account))
			}
		}
		switch {
		case count > 1:
			out = append(out, fmt.Sprintf("once: call %s ran %d times", c.Mark, count))
		case count > 0 && c.NotRun:
			out = append(out, fmt.Sprintf("refusal: call %s ran although its refusal said not run", c.Mark))
		case count == 0 && c.Done:
			out = append(out, fmt.Sprintf("answer: call %s was answered but never ran", c.Mark))
		}
	}
	return out
}

// exceeded finds windows in which an account got more than its burst and rate allow. An answer counts in a
// window only when all of it lies within, so that what is counted was admitted in the window.
func (a *Auditor) exceeded() []string {
	byAccount := make(map[string][]Answered)
	for _, answer := range a.answered {
		byAccount[answer.Account] = append(byAccount[answer.Account], answer)
	}
	var out []string
	for name, answers := range byAccount {
		if limit, ok := a.limits[name]; ok {
			if over := worst(limit, answers); over > 0 {
				out = append(out, fmt.Sprintf("limit: account %s got %.0f tokens more than its plan in a window", name, over))
			}
		}
	}
	sort.Strings(out)
	return out
}

// worst returns by how many tokens the worst window exceeds the limit; not above zero when none does.
func worst(l Limit, answers []Answered) float64 {
	sort.Slice(answers, func(i, j int) bool { return answers[i].Done < answers[j].Done })
	over := 0.0
	for _, first := range answers {
		sum := 0.0
		for _, a := range answers {
			if a.Sent < first.Sent {
				continue
			}
			sum += float64(a.Tokens)
			allowed := l.Burst + l.Rate*(a.Done-first.Sent).Seconds()
			over = max(over, sum-allowed)
		}
	}
	return over
}
