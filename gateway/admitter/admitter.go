// Package admitter charges requests to the limits of their client accounts, to the own share first and
// then, one message each, to the shares of other gateways.
package admitter

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/limiter"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

const (
	// tickEvery must be well below half of the pause that may go unnoticed.
	tickEvery = 100 * time.Millisecond
	// minWait is the shortest pause before the shares are asked again.
	minWait = 5 * time.Millisecond
	// underway bounds the time that a debit's message takes; a slower answer is not used.
	underway = 50 * time.Millisecond
	// grantLimit bounds the debits that wait for settlement.
	grantLimit = 100000
	// grantLife bounds how long a debit can be settled.
	grantLife = 30 * time.Minute
)

// PeerClient asks another gateway to charge its share.
type PeerClient interface {
	// Debit asks the named gateway; it fails when that can't be reached.
	Debit(ctx context.Context, name string, d fleet.Debit) (fleet.DebitAnswer, error)
	// Settle returns what a debit did not use.
	Settle(name string, s fleet.Settle)
}

// Refusal tells why a request was not admitted.
type Refusal struct {
	Verdict limiter.Verdict
	// RetryAfter is when to try again.
	RetryAfter time.Duration
}

// Settlement returns the unused tokens of an admitted request; it may be called once.
type Settlement func(unused float64)

type grant struct {
	ticket limiter.Ticket
	at     time.Duration
}

// Admitter owns the limiter of one gateway.
type Admitter struct {
	self   string
	start  time.Time
	lender PeerClient

	mu        sync.Mutex
	allocator *allocator.Allocator
	limiter   *limiter.Limiter
	// grants are the debits charged for other gateways and not settled yet.
	grants map[uint64]grant
	next   uint64
	// lucky maps an account to the gateway that granted a debit last.
	lucky map[string]string
	stats Stats
}

// Stats counts admissions.
type Stats struct {
	OwnAdmissions      uint64 `json:"own"`
	BorrowedAdmissions uint64 `json:"borrowed"`
	Refusals           uint64 `json:"refused"`
	PeerDebits         uint64 `json:"lent"`
}

// New returns an admitter; the lender must be given with Lend before the first request.
func New(self string, a *allocator.Allocator, l *limiter.Limiter) *Admitter {
	return &Admitter{self: self, start: time.Now(), allocator: a, limiter: l, grants: make(map[uint64]grant), lucky: make(map[string]string)}
}

// SetPeerClient sets the way to other gateways; it must be called once, before the first request.
func (a *Admitter) SetPeerClient(l PeerClient) {
	a.lender = l
}

// SetPlans takes in the plans of a catalog.
func (a *Admitter) SetPlans(c *catalog.Catalog) {
	accounts := c.Accounts()
	plans := make([]limiter.Limit, 0, len(accounts))
	for _, account := range accounts {
		plans = append(plans, limiter.Limit{Account: account.Name, Rate: account.Rate, Burst: account.Burst})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.SetLimits(plans, a.now())
}

// Admit charges tokens to the account. Where they are missing it waits for them up to patience. It
// returns a settlement, or why the request is refused.
func (a *Admitter) Admit(ctx context.Context, account string, tokens float64, patience time.Duration) (Settlement, *Refusal) {
	deadline := a.now() + patience
	for {
		s, refusal := a.try(ctx, account, tokens)
		if refusal == nil {
			return s, nil
		}
		wait := max(refusal.RetryAfter, minWait)
		if refusal.Verdict != limiter.InsufficientShare || a.now()+wait > deadline {
			a.mu.Lock()
			a.stats.Refusals++
			a.mu.Unlock()
			return nil, refusal
		}
		select {
		case <-ctx.Done():
			return nil, refusal
		case <-time.After(wait):
		}
	}
}

// try charges tokens to the own share alone, or to several shares together.
func (a *Admitter) try(ctx context.Context, account string, tokens float64) (Settlement, *Refusal) {
	a.mu.Lock()
	ticket, verdict, wait := a.limiter.Admit(account, tokens, a.now(), wall())
	var others []string
	if verdict == limiter.InsufficientShare {
		others = a.others(account)
	}
	if verdict == limiter.Granted {
		a.stats.OwnAdmissions++
	}
	a.mu.Unlock()
	switch verdict {
	case limiter.Granted:
		return a.settlement([]part{{ticket: ticket, tokens: tokens}}), nil
	case limiter.InsufficientShare:
		s, missing := a.collect(ctx, account, tokens, others)
		if missing <= 0 {
			return s, nil
		}
		return nil, &Refusal{Verdict: verdict, RetryAfter: time.Duration(missing / tokens * float64(wait))}
	default:
		return nil, &Refusal{Verdict: verdict, RetryAfter: wait}
	}
}

// HandleDebit serves the debit of another gateway.
func (a *Admitter) HandleDebit(d fleet.Debit) fleet.DebitAnswer {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forget()
	if len(a.grants) >= grantLimit {
		return fleet.DebitAnswer{}
	}
	ticket, granted := a.limiter.Lend(d.Account, d.Tokens, underway, a.now(), wall())
	if granted == 0 {
		return fleet.DebitAnswer{}
	}
	a.next++
	a.grants[a.next] = grant{ticket: ticket, at: a.now()}
	a.stats.PeerDebits++
	return fleet.DebitAnswer{Tokens: granted, Grant: a.next}
}

// HandleSettle serves the settlement of a debit; one that was settled before is ignored.
func (a *Admitter) HandleSettle(s fleet.Settle) {
	a.mu.Lock()
	defer a.mu.Unlock()
	g, ok := a.grants[s.Grant]
	if !ok {
		return
	}
	delete(a.grants, s.Grant)
	a.limiter.Settle(g.ticket, s.Unused, a.now())
}

// UpdateView takes in a version of the list of gateways, read from the platform since asked.
func (a *Admitter) UpdateView(v allocator.View, asked time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.ApplyView(v, a.now())
	if !asked.IsZero() {
		a.allocator.RecordListRead(asked.Sub(a.start), a.now())
	}
	a.limiter.ResizeBuckets(a.now())
}

// Serve notices pauses and finishes the growth of the share until the context ends.
func (a *Admitter) Serve(ctx context.Context) error {
	return supervision.Every(ctx, tickEvery, a.tick)
}

func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.DetectPause(a.now(), wall())
	a.allocator.Tick(a.now())
	a.limiter.ResizeBuckets(a.now())
}

// ShareQuery returns the allocator's question to other gateways.
func (a *Admitter) ShareQuery() allocator.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator.Query(a.now())
}

// UnansweredPeers lists the gateways that must answer before the share may grow.
func (a *Admitter) UnansweredPeers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator.PendingMembers()
}

// HandleShareMessage takes in a message of another allocator and returns the answer to a question.
func (a *Admitter) HandleShareMessage(m allocator.Message) (reply allocator.Message, answered bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply, answered = a.allocator.HandleMessage(m, a.now())
	a.limiter.ResizeBuckets(a.now())
	return reply, answered
}

// State is the dump of the admitter.
type State struct {
	ViewVersion  uint64   `json:"view"`
	Members      []string `json:"members"`
	HasFullShare bool     `json:"grown"`
	Stats
}

// State returns the present state.
func (a *Admitter) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.allocator.View()
	return State{ViewVersion: v.Version, Members: v.Members, HasFullShare: a.allocator.HasFullShare(), Stats: a.stats}
}

// part is what one share was charged for a request.
type part struct {
	ticket limiter.Ticket
	// lender is empty for the own share.
	lender string
	grant  uint64
	tokens float64
}

// collect charges the own share and then others in turn until the tokens are covered. It returns how many
// are missing; whatever was charged is given back then, and also when it took too long, because the
// charges would count from too early.
func (a *Admitter) collect(ctx context.Context, account string, tokens float64, others []string) (Settlement, float64) {
	start := a.now()
	missing := tokens
	var parts []part
	a.mu.Lock()
	ticket, granted := a.limiter.Lend(account, missing, underway, start, wall())
	a.mu.Unlock()
	if granted > 0 {
		parts = append(parts, part{ticket: ticket, tokens: granted})
		missing -= granted
	}
	for _, name := range others {
		if missing <= 0 {
			break
		}
		answer, err := a.lender.Debit(ctx, name, fleet.Debit{Account: account, Tokens: missing})
		if err != nil || answer.Tokens <= 0 {
			continue
		}
		parts = append(parts, part{lender: name, grant: answer.Grant, tokens: answer.Tokens})
		missing -= answer.Tokens
		a.mu.Lock()
		a.lucky[account] = name
		a.mu.Unlock()
	}
	s := a.settlement(parts)
	if missing > 0 || a.now()-start > underway {
		s(tokens)
		return nil, max(missing, 1)
	}
	a.mu.Lock()
	a.stats.BorrowedAdmissions++
	a.mu.Unlock()
	return s, 0
}

// settlement returns unused tokens to the shares that were charged, the latest first.
func (a *Admitter) settlement(parts []part) Settlement {
	var once sync.Once
	return func(unused float64) {
		once.Do(func() {
			for i := len(parts) - 1; i >= 0 && unused > 0; i-- {
				back := min(unused, parts[i].tokens)
				unused -= back
				a.giveBack(parts[i], back)
			}
		})
	}
}

func (a *Admitter) giveBack(p part, unused float64) {
	if p.lender != "" {
		a.lender.Settle(p.lender, fleet.Settle{Grant: p.grant, Unused: unused})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Settle(p.ticket, unused, a.now())
}

// others lists the other gateways that hold shares of the account: the one that granted its last debit, then those
// of the own failure domain.
func (a *Admitter) others(account string) []string {
	var out []string
	view := a.allocator.View()
	for _, m := range limiter.ShareHolders(view, account) {
		if m != a.self {
			out = append(out, m)
		}
	}
	lucky, domain := a.lucky[account], domainOf(view, a.self)
	rank := func(name string) int {
		switch {
		case name == lucky:
			return 0
		case domainOf(view, name) == domain:
			return 1
		default:
			return 2
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return rank(out[i]) < rank(out[j]) })
	return out
}

// forget drops the oldest debits that were never settled.
func (a *Admitter) forget() {
	if len(a.grants) < grantLimit/2 {
		return
	}
	for id, g := range a.grants {
		if a.now()-g.at > grantLife {
			delete(a.grants, id)
		}
	}
}

// domainOf returns the failure domain of a member of a view; empty when it is not known.
func domainOf(v allocator.View, name string) string {
	if i, ok := slices.BinarySearch(v.Members, name); ok && i < len(v.Domains) {
		return v.Domains[i]
	}
	return ""
}

func (a *Admitter) now() time.Duration {
	return time.Since(a.start)
}

// wall returns the wall clock, which goes on while the process is suspended.
func wall() time.Duration {
	return time.Duration(time.Now().UnixNano())
}
