// Package limiter holds each client account to its rate and burst over all gateways together.
//
// Every gateway holds a share of every account's limit, as its allocator allows, and admits from it. What
// it lacks it asks others to charge to their shares, one message a request: the charge is made
// before the request is admitted, so the sum over all gateways never rises.
package limiter

import (
	"slices"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/bucket"
	"github.com/pistachiovane/pistachiovane/pkg/hasher"
)

// ShareFunc returns the share that a member of a view is entitled to, for an account.
type ShareFunc func(v allocator.View, self, account string) float64

// maxEqualShareGateways is the largest number of gateways that share every account's limit equally. It is a constant because
// all gateways must choose alike.
const maxEqualShareGateways = 12

// ShareHolders returns the holders of an account under a view: every gateway of a small fleet, and one home in each failure
// domain of a large one, by rendezvous hashing, so that the share of a small account still holds whole requests.
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

// EqualShares gives each holder of an account the same share.
func EqualShares(v allocator.View, self, account string) float64 {
	holders := ShareHolders(v, account)
	if !slices.Contains(holders, self) {
		return 0
	}
	return 1 / float64(len(holders))
}

// Verdict is the outcome of an admission.
type Verdict uint8

// The verdicts.
const (
	// Granted means that the tokens are charged to the own share.
	Granted Verdict = iota + 1
	// InsufficientShare means that the own share lacks tokens; others may be asked.
	InsufficientShare
	// ExceedsBurst means that the request is larger than the account's burst.
	ExceedsBurst
	// UnknownAccount means that there is no such account.
	UnknownAccount
)

// Ticket is a charge to be settled once.
type Ticket struct {
	Account  string
	ChargeID bucket.ChargeID
	Tokens   float64
	// generation is that of the ledger entry; an entry that was replaced takes nothing back.
	generation uint64
}

// Limit is the limit of one account.
type Limit struct {
	Account string
	// Rate is in tokens a second, Burst in tokens.
	Rate  float64
	Burst float64
}

type entry struct {
	limit      Limit
	bucket     bucket.Bucket
	generation uint64
	// lastSet is the number of the latest Set that listed the account.
	lastSet uint64
}

// Limiter is the ledger of one gateway. It is not safe for concurrent use.
type Limiter struct {
	allocator *allocator.Allocator
	shareOf   ShareFunc
	entries   map[string]*entry
	// allocatorGeneration is that of the allocator when the buckets were sized.
	allocatorGeneration uint64
	createdEntries      uint64
	setCount            uint64
}

// New returns a limiter without accounts.
func New(a *allocator.Allocator, t ShareFunc) *Limiter {
	return &Limiter{allocator: a, shareOf: t, entries: make(map[string]*entry)}
}

// SetLimits replaces all plans. Accounts that stay keep their level, a new one starts empty.
func (l *Limiter) SetLimits(limits []Limit, now time.Duration) {
	l.setCount++
	for _, p := range limits {
		l.setLimit(p, now)
	}
	for name, e := range l.entries {
		if e.lastSet != l.setCount {
			delete(l.entries, name)
		}
	}
}

func (l *Limiter) setLimit(p Limit, now time.Duration) {
	e, ok := l.entries[p.Account]
	if !ok {
		l.createdEntries++
		e = &entry{generation: l.createdEntries, bucket: bucket.New(0, 0, now)}
		l.entries[p.Account] = e
	}
	e.lastSet = l.setCount
	if e.limit == p {
		return
	}
	e.limit = p
	l.resizeBucket(e, now)
}

// Admit charges tokens to the own share. wait tells, for Short, when the own share would have them.
func (l *Limiter) Admit(account string, tokens float64, now, wallClock time.Duration) (t Ticket, v Verdict, wait time.Duration) {
	e, ok := l.entries[account]
	if !ok {
		return Ticket{}, UnknownAccount, 0
	}
	if tokens > e.limit.Burst {
		return Ticket{}, ExceedsBurst, 0
	}
	l.allocator.DetectPause(now, wallClock)
	l.ResizeBuckets(now)
	charge, ok := e.bucket.Take(tokens, now)
	if ok {
		return Ticket{Account: account, ChargeID: charge, Tokens: tokens, generation: e.generation}, Granted, 0
	}
	return Ticket{}, InsufficientShare, l.refillTime(e, tokens, now)
}

// Settle returns the unused part of a ticket and tells how much of it was credited. A ticket must be
// settled at most once.
func (l *Limiter) Settle(t Ticket, unused float64, now time.Duration) float64 {
	e, ok := l.entries[t.Account]
	if !ok || e.generation != t.generation {
		return 0
	}
	l.ResizeBuckets(now)
	return e.bucket.Return(t.ChargeID, min(unused, t.Tokens), now)
}

// ResizeBuckets brings every bucket to the share that is now held. It must run soon after each change of
// the allocator, and does nothing otherwise.
func (l *Limiter) ResizeBuckets(now time.Duration) {
	if l.allocatorGeneration == l.allocator.Generation() {
		return
	}
	l.allocatorGeneration = l.allocator.Generation()
	for _, e := range l.entries {
		l.resizeBucket(e, now)
	}
}

// AvailableTokens returns the tokens of an account that the own share has now.
func (l *Limiter) AvailableTokens(account string, now time.Duration) float64 {
	e, ok := l.entries[account]
	if !ok {
		return 0
	}
	return e.bucket.AvailableTokens(now)
}

// Lend charges up to that many tokens for an admission that is decided at most underway later, and
// returns how many. The sum over all shares never rises by it: while the message is under way a bucket
// that would fill up is charged what it might refill, so that its level and the tokens under way together
// stay within the burst.
func (l *Limiter) Lend(account string, tokens float64, messageDelay, now, wallClock time.Duration) (t Ticket, granted float64) {
	e, ok := l.entries[account]
	if !ok {
		return Ticket{}, 0
	}
	l.allocator.DetectPause(now, wallClock)
	l.ResizeBuckets(now)
	level := e.bucket.AvailableTokens(now)
	overflow := max(0, level+e.bucket.Rate()*messageDelay.Seconds()-e.bucket.Burst())
	granted = min(tokens, level-overflow)
	if granted <= 0 {
		return Ticket{}, 0
	}
	charge, ok := e.bucket.Take(min(level, granted+overflow), now)
	if !ok {
		return Ticket{}, 0
	}
	return Ticket{Account: account, ChargeID: charge, Tokens: granted, generation: e.generation}, granted
}

func (l *Limiter) resizeBucket(e *entry, now time.Duration) {
	share := l.allocator.Share(func(v allocator.View, self string) float64 { return l.shareOf(v, self, e.limit.Account) })
	e.bucket.Resize(e.limit.Rate*share, e.limit.Burst*share, now)
}

// refillTime estimates when the account as a whole can pay; at least the time at its full rate.
func (l *Limiter) refillTime(e *entry, tokens float64, now time.Duration) time.Duration {
	missing := tokens - e.bucket.AvailableTokens(now)
	return time.Duration(missing / e.limit.Rate * float64(time.Second))
}
