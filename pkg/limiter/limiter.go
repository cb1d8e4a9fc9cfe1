// Package limiter enforces a rate and a burst for each client account over all gateways together.
//
// Each gateway may use a share of each account's limit, which its allocator decides, and admits requests from that
// share. If the share has too few tokens, the gateway asks peers to charge the missing tokens to their shares. Each
// peer charges its share before the request is admitted, so that the sum over all gateways never exceeds the limit.
package limiter

import (
	"slices"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/bucket"
	"github.com/pistachiovane/pistachiovane/pkg/hasher"
)

// ShareFunc returns the share, from 0 to 1, of an account's limit that the member self is entitled to under a view. The
// shares of all members of a view must not sum to more than 1.
type ShareFunc func(v allocator.View, self, account string) float64

// maxEqualShareGateways is the size of the largest fleet in which every gateway holds a share of each account's limit.
// It can't be configured, because all gateways must use the same value.
const maxEqualShareGateways = 12

// ShareHolders returns the gateways that hold a share of an account's limit under a view. In a fleet of at most
// maxEqualShareGateways these are all gateways. In a larger one, rendezvous hashing selects one gateway in each failure
// domain, so that the share of an account with a small burst is still large enough for whole requests.
func ShareHolders(v allocator.View, account string) []string {
	if len(v.Members) <= maxEqualShareGateways || len(v.Domains) != len(v.Members) {
		return v.Members
	}
	bestIndex := make(map[string]int)
	var domains []string
	for i, domain := range v.Domains {
		j, ok := bestIndex[domain]
		if !ok {
			domains = append(domains, domain)
		}
		if !ok || hasher.Score(account, v.Members[i]) > hasher.Score(account, v.Members[j]) {
			bestIndex[domain] = i
		}
	}
	holders := make([]string, 0, len(domains))
	for _, domain := range domains {
		holders = append(holders, v.Members[bestIndex[domain]])
	}
	return holders
}

// EqualShares is a ShareFunc that gives each share holder of an account the same share.
func EqualShares(v allocator.View, self, account string) float64 {
	holders := ShareHolders(v, account)
	if !slices.Contains(holders, self) {
		return 0
	}
	return 1 / float64(len(holders))
}

// Verdict is the result of a request for admission.
type Verdict uint8

// The verdicts of Admit.
const (
	// Granted means that the tokens were charged to this gateway's share.
	Granted Verdict = iota + 1
	// InsufficientShare means that this gateway's share has too few available tokens. Peers may have more.
	InsufficientShare
	// ExceedsBurst means that the request needs more tokens than the account's burst and can never be admitted.
	ExceedsBurst
	// UnknownAccount means that the account has no limit here.
	UnknownAccount
)

// Ticket identifies a charge, so that its unused part can be returned. It must be settled at most once.
type Ticket struct {
	// Account is the name of the client account.
	Account string
	// ChargeID identifies the charge in the account's bucket.
	ChargeID bucket.ChargeID
	// Tokens is the number of tokens that were granted.
	Tokens float64
	// generation is the generation of the entry that was charged. If the account was removed and added again since,
	// nothing is returned to the new entry.
	generation uint64
}

// Limit is the limit of one account over all gateways.
type Limit struct {
	// Account is the name of the client account.
	Account string
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// entry holds the limit of an account and the bucket of this gateway's share.
type entry struct {
	limit  Limit
	bucket bucket.Bucket
	// generation is unique among the entries of a limiter.
	generation uint64
	// lastSet is the value of Limiter.setCount in the latest call of SetLimits that listed the account.
	lastSet uint64
}

// Limiter holds the shares of one gateway. It is not safe for concurrent use.
type Limiter struct {
	allocator *allocator.Allocator
	shareOf   ShareFunc
	// entries holds the entry of each account, by account name.
	entries map[string]*entry
	// allocatorGeneration is the allocator's generation when all buckets were last resized to its shares.
	allocatorGeneration uint64
	// createdEntries is the number of entries created so far. The count after the creation of an entry is its
	// generation.
	createdEntries uint64
	// setCount is the number of calls of SetLimits.
	setCount uint64
}

// New returns a limiter without accounts. It uses the allocator, which must not be used concurrently either.
func New(a *allocator.Allocator, shareOf ShareFunc) *Limiter {
	return &Limiter{allocator: a, shareOf: shareOf, entries: make(map[string]*entry)}
}

// SetLimits replaces the limits of all accounts; accounts that are not listed are removed. A known account keeps its
// available tokens, as far as its new burst allows. A new account starts without tokens.
func (l *Limiter) SetLimits(limits []Limit, now time.Duration) {
	l.setCount++
	for _, limit := range limits {
		l.setLimit(limit, now)
	}
	for name, e := range l.entries {
		if e.lastSet != l.setCount {
			delete(l.entries, name)
		}
	}
}

// setLimit adds an account or changes its limit.
func (l *Limiter) setLimit(limit Limit, now time.Duration) {
	e, ok := l.entries[limit.Account]
	if !ok {
		l.createdEntries++
		e = &entry{generation: l.createdEntries, bucket: bucket.New(0, 0, now)}
		l.entries[limit.Account] = e
	}
	e.lastSet = l.setCount
	if e.limit == limit {
		return
	}
	e.limit = limit
	l.resizeBucket(e, now)
}

// Admit charges tokens to this gateway's share. For InsufficientShare, it charges nothing, and wait estimates the time
// until the account has enough tokens; see refillTime. now is the monotonic clock and wallClock the wall clock, both as
// durations since any fixed start.
func (l *Limiter) Admit(
	account string, tokens float64, now, wallClock time.Duration,
) (t Ticket, v Verdict, wait time.Duration) {
	e, ok := l.entries[account]
	if !ok {
		return Ticket{}, UnknownAccount, 0
	}
	if tokens > e.limit.Burst {
		return Ticket{}, ExceedsBurst, 0
	}
	l.allocator.DetectPause(now, wallClock)
	l.ResizeBuckets(now)
	chargeID, ok := e.bucket.Take(tokens, now)
	if ok {
		return Ticket{Account: account, ChargeID: chargeID, Tokens: tokens, generation: e.generation}, Granted, 0
	}
	return Ticket{}, InsufficientShare, l.refillTime(e, tokens, now)
}

// Settle returns unused tokens of a ticket to the share and returns how many were credited. It may be fewer, because
// tokens that the bucket could not have held in the meantime are lost. A ticket must be settled at most once.
func (l *Limiter) Settle(t Ticket, unused float64, now time.Duration) float64 {
	e, ok := l.entries[t.Account]
	if !ok || e.generation != t.generation {
		return 0
	}
	l.ResizeBuckets(now)
	return e.bucket.Return(t.ChargeID, min(unused, t.Tokens), now)
}

// ResizeBuckets adapts every bucket to the current shares. It must be called soon after each change of the allocator,
// and does nothing when the allocator has not changed.
func (l *Limiter) ResizeBuckets(now time.Duration) {
	if l.allocatorGeneration == l.allocator.Generation() {
		return
	}
	l.allocatorGeneration = l.allocator.Generation()
	for _, e := range l.entries {
		l.resizeBucket(e, now)
	}
}

// AvailableTokens returns the tokens of an account that this gateway's share has available, zero for an unknown
// account.
func (l *Limiter) AvailableTokens(account string, now time.Duration) float64 {
	e, ok := l.entries[account]
	if !ok {
		return 0
	}
	return e.bucket.AvailableTokens(now)
}

// Lend charges up to the given number of tokens to this gateway's share, for a request that is admitted at most
// messageDelay later, usually by a peer, and returns how many were granted.
//
// While the message to the peer is in transit, the bucket refills. If it became full, the bucket and the tokens in
// transit together would exceed the burst. The bucket is therefore also charged the tokens by which it would overflow
// within messageDelay; these are not granted.
func (l *Limiter) Lend(
	account string, tokens float64, messageDelay, now, wallClock time.Duration,
) (t Ticket, granted float64) {
	e, ok := l.entries[account]
	if !ok {
		return Ticket{}, 0
	}
	l.allocator.DetectPause(now, wallClock)
	l.ResizeBuckets(now)
	available := e.bucket.AvailableTokens(now)
	overflow := max(0, available+e.bucket.Rate()*messageDelay.Seconds()-e.bucket.Burst())
	granted = min(tokens, available-overflow)
	if granted <= 0 {
		return Ticket{}, 0
	}
	chargeID, ok := e.bucket.Take(min(available, granted+overflow), now)
	if !ok {
		return Ticket{}, 0
	}
	return Ticket{Account: account, ChargeID: chargeID, Tokens: granted, generation: e.generation}, granted
}

// resizeBucket adapts the bucket of an account to the current share of its limit.
func (l *Limiter) resizeBucket(e *entry, now time.Duration) {
	share := l.allocator.Share(func(v allocator.View, self string) float64 { return l.shareOf(v, self, e.limit.Account) })
	e.bucket.Resize(e.limit.Rate*share, e.limit.Burst*share, now)
}

// refillTime returns the time in which the tokens that this gateway's share lacks are refilled at the account's full
// rate over all gateways. The account as a whole can't have them sooner, unless peers have available tokens.
func (l *Limiter) refillTime(e *entry, tokens float64, now time.Duration) time.Duration {
	missing := tokens - e.bucket.AvailableTokens(now)
	return time.Duration(missing / e.limit.Rate * float64(time.Second))
}
