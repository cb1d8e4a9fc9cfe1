// Package observer counts violations of the invariants only from what callers received and what
// endpoints ran, apart from the router's own books.
package observer

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

// Observer collects what happened. It is safe for concurrent use.
type Observer struct {
	mu       sync.Mutex
	limits   map[string]Limit
	answered []Answered
	called   []Called
}

// New returns an observer of accounts with those limits.
func New(limits []Limit) *Observer {
	o := &Observer{limits: make(map[string]Limit)}
	for _, l := range limits {
		o.limits[l.Account] = l
	}
	return o
}

// Answer records a whole answer.
func (o *Observer) Answer(a Answered) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.answered = append(o.answered, a)
}

// Call records a call.
func (o *Observer) Call(c Called) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.called = append(o.called, c)
}

// Violations returns what went against the invariants, given all executions of the plain services.
func (o *Observer) Violations(runs []plain.Execution) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	out := o.wrongAnswers()
	out = append(out, o.wrongRuns(runs)...)
	return append(out, o.exceeded()...)
}

func (o *Observer) wrongAnswers() []string {
	var out []string
	for i := range o.answered {
		if a := &o.answered[i]; a.Got != a.Want {
			out = append(out, fmt.Sprintf("answer: account %s got %d bytes that are not its whole answer of %d", a.Account, len(a.Got), len(a.Want)))
		}
	}
	return out
}

func (o *Observer) wrongRuns(runs []plain.Execution) []string {
	var out []string
	for _, r := range runs {
		if r.Authorization != "" {
			out = append(out, "key: an endpoint saw a caller's key")
		}
	}
	for _, c := range o.called {
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
func (o *Observer) exceeded() []string {
	byAccount := make(map[string][]Answered)
	for _, a := range o.answered {
		byAccount[a.Account] = append(byAccount[a.Account], a)
	}
	var out []string
	for name, answers := range byAccount {
		if limit, ok := o.limits[name]; ok {
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
