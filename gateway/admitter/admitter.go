// Package admitter charges requests to the limits of their client accounts. Every gateway holds a share of each
// account's limit. A request is charged to the share of its own gateway; where that lacks tokens, the missing ones are
// charged to the shares of peers, with one message to each.
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
	// tickInterval is the time between two checks for a pause of the process. The allocator needs them at intervals of
	// at most half of its MaxUnnoticedPause.
	tickInterval = 100 * time.Millisecond
	// minRetryInterval is the shortest wait of a queued request before it tries to charge the shares again.
	minRetryInterval = 5 * time.Millisecond
	// maxDebitDuration is the longest time between the first charge to a share for a request and the decision to admit
	// it. The limiter keeps an account within its burst only for decisions that are made in this time; charges that
	// took longer are returned.
	maxDebitDuration = 50 * time.Millisecond
	// maxGrants is the largest number of debits for peers that are not settled yet.
	maxGrants = 100000
	// grantLifetime is the shortest time for which a debit for a peer can be settled.
	grantLifetime = 30 * time.Minute
)

// PeerClient sends debits and settlements to peers.
type PeerClient interface {
	// Debit asks the named peer to charge tokens to its share. It fails when the peer can't be reached.
	Debit(ctx context.Context, name string, d fleet.DebitRequest) (fleet.DebitResponse, error)
	// Settle returns the unused tokens of a debit to the named peer. A message that is lost is not sent again.
	Settle(name string, s fleet.SettleRequest)
}

// Refusal is the reason why a request was not admitted.
type Refusal struct {
	Verdict limiter.Verdict
	// RetryAfter is the estimated time until the account has the tokens; zero where waiting does not help.
	RetryAfter time.Duration
}

// Settlement returns the unused tokens of an admitted request to the shares that were charged. Only the first call has
// an effect.
type Settlement func(unused float64)

// Admitter owns the shares of one gateway and charges requests to them. It is safe for concurrent use.
type Admitter struct {
	// self is the name of this gateway.
	self string
	// start is when the admitter was created; the times of the allocator and the limiter count from it.
	start      time.Time
	peerClient PeerClient

	// mu guards the fields below. It is not locked while a peer is called.
	mu        sync.Mutex
	allocator *allocator.Allocator
	limiter   *limiter.Limiter
	// grants holds the debits charged for peers and not settled yet, by grant ID.
	grants      map[uint64]grant
	lastGrantID uint64
	// lastGrantingPeer maps an account to the peer that granted its latest debit.
	lastGrantingPeer map[string]string
	stats            Stats
}

// Stats counts the admissions of one gateway since its start.
type Stats struct {
	// OwnAdmissions counts requests that the own share covered without charges to those of peers.
	OwnAdmissions uint64 `json:"own"`
	// BorrowedAdmissions counts requests that were admitted after the own share alone was found too small. Most of them
	// were charged to several shares, or to those of peers only.
	BorrowedAdmissions uint64 `json:"borrowed"`
	// Refusals counts requests that were not admitted, except those whose context ended while they waited.
	Refusals uint64 `json:"refused"`
	// PeerDebits counts debits of peers that were charged to the own share.
	PeerDebits uint64 `json:"lent"`
}

// New returns an admitter without accounts; self is the name of its gateway. SetPeerClient must be called before the
// first request.
func New(self string, a *allocator.Allocator, l *limiter.Limiter) *Admitter {
	return &Admitter{
		self: self, start: time.Now(), allocator: a, limiter: l, grants: make(map[uint64]grant),
		lastGrantingPeer: make(map[string]string),
	}
}

// SetPeerClient sets the connection to peers. It must be called once, before the first request.
func (a *Admitter) SetPeerClient(p PeerClient) {
	a.peerClient = p
}

// SetLimits replaces the accounts and their limits by those of a catalog.
func (a *Admitter) SetLimits(c *catalog.Catalog) {
	accounts := c.Accounts()
	limits := make([]limiter.Limit, 0, len(accounts))
	for _, account := range accounts {
		limits = append(limits, limiter.Limit{
			Account: account.Name, Rate: account.TokensPerSecond, Burst: account.BurstTokens,
		})
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.SetLimits(limits, a.now())
}

// Admit charges tokens to the account's limit and returns the settlement. Where tokens are missing it waits for them,
// but not longer than maxWait or than the context. It returns a refusal where they do not become available, where the
// account is unknown, and where the request is larger than the account's burst.
func (a *Admitter) Admit(
	ctx context.Context, account string, tokens float64, maxWait time.Duration,
) (Settlement, *Refusal) {
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

// tryAdmit charges tokens to the own share alone or, where that has too few, to several shares together. It does not
// wait for tokens to become available.
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

// UpdateView applies a version of the list of gateways. readStartedAt is when its read from the platform began; it is
// zero where the list came from a peer.
func (a *Admitter) UpdateView(v allocator.View, readStartedAt time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.ApplyView(v, a.now())
	if !readStartedAt.IsZero() {
		a.allocator.RecordListRead(readStartedAt.Sub(a.start), a.now())
	}
	a.limiter.ResizeBuckets(a.now())
}

// Serve periodically detects pauses of the process and lets the share grow once enough time has passed. It returns
// when the context ends.
func (a *Admitter) Serve(ctx context.Context) error {
	return supervision.Every(ctx, tickInterval, a.tick)
}

// tick detects a pause since the last call and lets the share grow where only time was missing.
func (a *Admitter) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.allocator.DetectPause(a.now(), wallClock())
	a.allocator.Tick(a.now())
	a.limiter.ResizeBuckets(a.now())
}

// ShareQuery returns the message that asks peers whether they have applied the newest list of gateways.
func (a *Admitter) ShareQuery() allocator.Message {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator.Query(a.now())
}

// UnansweredPeers returns the names of the peers that must answer a query before the share may grow.
func (a *Admitter) UnansweredPeers() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.allocator.PendingMembers()
}

// HandleShareMessage applies a message of a peer's allocator. Where it is a query, it returns the reply and true.
func (a *Admitter) HandleShareMessage(m allocator.Message) (reply allocator.Message, isQuery bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	reply, isQuery = a.allocator.HandleMessage(m, a.now())
	a.limiter.ResizeBuckets(a.now())
	return reply, isQuery
}

// State is the part of a gateway's dump that describes its share of the limits.
type State struct {
	// ViewVersion is the version of the newest list of gateways, Members are the gateways in it.
	ViewVersion uint64   `json:"view"`
	Members     []string `json:"members"`
	// HasFullShare is set when the gateway may use its whole share under the newest list.
	HasFullShare bool `json:"grown"`
	Stats
}

// State returns the state for the dump.
func (a *Admitter) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.allocator.View()
	return State{ViewVersion: v.Version, Members: v.Members, HasFullShare: a.allocator.HasFullShare(), Stats: a.stats}
}

// charge is what one share was charged for a request.
type charge struct {
	ticket limiter.Ticket
	// peer is the gateway whose share was charged; empty for the own share.
	peer    string
	grantID uint64
	tokens  float64
}

// chargeShares charges the own share, and then those of the peers in the given order, until all tokens are charged. It
// returns the settlement and zero. Where tokens are missing, or the charges took longer than maxDebitDuration, it
// returns all charges to their shares and reports the number of missing tokens, at least one.
func (a *Admitter) chargeShares(
	ctx context.Context, account string, tokens float64, peers []string,
) (Settlement, float64) {
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
		answer, err := a.peerClient.Debit(ctx, name, fleet.DebitRequest{Account: account, Tokens: missing})
		if err != nil || answer.ChargedTokens <= 0 {
			continue
		}
		charges = append(charges, charge{peer: name, grantID: answer.GrantID, tokens: answer.ChargedTokens})
		missing -= answer.ChargedTokens
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

// newSettlement returns a settlement that refunds unused tokens to the charged shares, the latest charge first.
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

// refund returns unused tokens of a charge to its share.
func (a *Admitter) refund(c charge, unused float64) {
	if c.peer != "" {
		a.peerClient.Settle(c.peer, fleet.SettleRequest{GrantID: c.grantID, UnusedTokens: unused})
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.limiter.Settle(c.ticket, unused, a.now())
}

// sharePeers returns the names of the peers that hold a share of the account, in the order in which they are asked:
// the one that granted the latest debit, those of the own failure domain, the others. The caller must hold a.mu.
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

// domainOf returns the failure domain of a member of a view, or an empty string where it is not known.
func domainOf(v allocator.View, name string) string {
	if i, ok := slices.BinarySearch(v.Members, name); ok && i < len(v.Domains) {
		return v.Domains[i]
	}
	return ""
}

// now returns the time since the admitter was created, on the monotonic clock.
func (a *Admitter) now() time.Duration {
	return time.Since(a.start)
}

// wallClock returns the time of the wall clock, which advances also while the process is suspended.
func wallClock() time.Duration {
	return time.Duration(time.Now().UnixNano())
}
