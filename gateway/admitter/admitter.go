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
	// tickInterval must be well below half of the pause that may go unnoticed.
	tickInterval = 100 * time.Millisecond
	// minRetryInterval is the shortest pause before the shares are asked again.
	minRetryInterval = 5 * time.Millisecond
	// maxDebitDuration bounds the time that a debit's message takes; a slower answer is not used.
	maxDebitDuration = 50 * time.Millisecond
	// maxGrants bounds the debits that wait for settlement.
	maxGrants = 100000
	// grantLifetime bounds how long a debit can be settled.
	grantLifetime = 30 * time.Minute
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
	ticket    limiter.Ticket
	grantedAt time.Duration
}

// Admitter owns the limiter of one gateway.
type Admitter struct {
	self       string
	start      time.Time
	peerClient PeerClient

	mu        sync.Mutex
	allocator *allocator.Allocator
	limiter   *limiter.Limiter
	// grants are the debits charged for other gateways and not settled yet.
	grants      map[uint64]grant
	lastGrantID uint64
	// lastGrantingPeer maps an account to the gateway that granted a debit last.
	lastGrantingPeer map[string]string
	stats            Stats
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
	return &Admitter{self: self, start: time.Now(), allocator: a, limiter: l, grants: make(map[uint64]grant), lastGrantingPeer: make(map[string]string)}
}

// SetPeerClient sets the way to other gateways; it must be called once, before the first request.
func (a *Admitter) SetPeerClient(p PeerClient) {
	a.peerClient = p
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
func (a *Admitter) Admit(ctx context.Context, account string, tokens float64, maxWait time.Duration) (Settlement, *Refusal) {
	deadline := a.now() + maxWait
	for {
		settle, refusal := a.tryAdmit(ctx, account, tokens)
		if refusal == nil {
			return settle, nil
		}
		wait := max(refusal.RetryAfter, minRetryInterval)
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

// tryAdmit charges tokens to the own share alone, or to several shares together.
func (a *Admitter) tryAdmit(ctx context.Context, account string, tokens float64) (Settlement, *Refusal) {
	a.mu.Lock()
	ticket, verdict, wait := a.limiter.Admit(account, tokens, a.now(), wallClock())
	var peers []string
	if verdict == limiter.InsufficientShare {
		peers = a.sharePeers(account)
	}
	if verdict == limiter.Granted {
		a.stats.OwnAdmissions++
	}
	a.mu.Unlock()
	switch verdict {
	case limiter.Granted:
		return a.newSettlement([]charge{{ticket: ticket, tokens: tokens}}), nil
	case limiter.InsufficientShare:
		settle, missing := a.chargeShares(ctx, account, tokens, peers)
		if missing <= 0 {
			return settle, nil
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
	a.dropExpiredGrants()
	if len(a.grants) >= maxGrants {
		return fleet.DebitAnswer{}
	}
	ticket, granted := a.limiter.Lend(d.Account, d.Tokens, maxDebitDuration, a.now(), wallClock())
	if granted == 0 {
		return fleet.DebitAnswer{}
	}
	a.lastGrantID++
	a.grants[a.lastGrantID] = grant{ticket: ticket, grantedAt: a.now()}
	a.stats.PeerDebits++
	return fleet.DebitAnswer{Tokens: granted, Grant: a.lastGrantID}
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
func (a *Admitter) UpdateView(v allocator.View, readStartedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.ApplyView(v, a.now())
	if !readStartedAt.IsZero() {
		a.allocator.RecordListRead(readStartedAt.Sub(a.start), a.now())
	}
	a.limiter.ResizeBuckets(a.now())
}

// Serve notices pauses and finishes the growth of the share until the context ends.
func (a *Admitter) Serve(ctx context.Context) error {
	return supervision.Every(ctx, tickInterval, a.tick)
}

func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.DetectPause(a.now(), wallClock())
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
func (a *Admitter) HandleShareMessage(m allocator.Message) (reply allocator.Message, isQuery bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply, isQuery = a.allocator.HandleMessage(m, a.now())
	a.limiter.ResizeBuckets(a.now())
	return reply, isQuery
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

// charge is what one share was charged for a request.
type charge struct {
	ticket limiter.Ticket
	// peer is empty for the own share.
	peer    string
	grantID uint64
	tokens  float64
}

// chargeShares charges the own share and then others in turn until the tokens are covered. It returns how many
// are missing; whatever was charged is given back then, and also when it took too long, because the
// charges would count from too early.
func (a *Admitter) chargeShares(ctx context.Context, account string, tokens float64, peers []string) (Settlement, float64) {
	start := a.now()
	missing := tokens
	var charges []charge
	a.mu.Lock()
	ticket, granted := a.limiter.Lend(account, missing, maxDebitDuration, start, wallClock())
	a.mu.Unlock()
	if granted > 0 {
		charges = append(charges, charge{ticket: ticket, tokens: granted})
		missing -= granted
	}
	for _, name := range peers {
		if missing <= 0 {
			break
		}
		answer, err := a.peerClient.Debit(ctx, name, fleet.Debit{Account: account, Tokens: missing})
		if err != nil || answer.Tokens <= 0 {
			continue
		}
		charges = append(charges, charge{peer: name, grantID: answer.Grant, tokens: answer.Tokens})
		missing -= answer.Tokens
		a.mu.Lock()
		a.lastGrantingPeer[account] = name
		a.mu.Unlock()
	}
	settle := a.newSettlement(charges)
	if missing > 0 || a.now()-start > maxDebitDuration {
		settle(tokens)
		return nil, max(missing, 1)
	}
	a.mu.Lock()
	a.stats.BorrowedAdmissions++
	a.mu.Unlock()
	return settle, 0
}

// newSettlement returns unused tokens to the shares that were charged, the latest first.
func (a *Admitter) newSettlement(charges []charge) Settlement {
	var once sync.Once
	return func(unused float64) {
		once.Do(func() {
			for i := len(charges) - 1; i >= 0 && unused > 0; i-- {
				refund := min(unused, charges[i].tokens)
				unused -= refund
				a.refund(charges[i], refund)
			}
		})
	}
}

func (a *Admitter) refund(c charge, unused float64) {
	if c.peer != "" {
		a.peerClient.Settle(c.peer, fleet.Settle{Grant: c.grantID, Unused: unused})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Settle(c.ticket, unused, a.now())
}

// sharePeers lists the other gateways that hold shares of the account: the one that granted its last debit, then those
// of the own failure domain.
func (a *Admitter) sharePeers(account string) []string {
	var peers []string
	view := a.allocator.View()
	for _, m := range limiter.ShareHolders(view, account) {
		if m != a.self {
			peers = append(peers, m)
		}
	}
	lastGrantingPeer, domain := a.lastGrantingPeer[account], domainOf(view, a.self)
	rank := func(name string) int {
		switch {
		case name == lastGrantingPeer:
			return 0
		case domainOf(view, name) == domain:
			return 1
		default:
			return 2
		}
	}
	sort.SliceStable(peers, func(i, j int) bool { return rank(peers[i]) < rank(peers[j]) })
	return peers
}

// dropExpiredGrants drops the oldest debits that were never settled.
func (a *Admitter) dropExpiredGrants() {
	if len(a.grants) < maxGrants/2 {
		return
	}
	for id, g := range a.grants {
		if a.now()-g.grantedAt > grantLifetime {
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

// wallClock returns the wall clock, which goes on while the process is suspended.
func wallClock() time.Duration {
	return time.Duration(time.Now().UnixNano())
}
