// Package capper bounds the tokens that each client account uses over all gateways together, without a central counter.
// Every gateway keeps a token bucket for the whole account: it charges its own admissions at once and those of its
// peers when they report them as cumulative totals.
//
// Gateways tell each other how many they are. Where all have just started and nobody knows, those that do not hear all
// seeds leave a part of the refill to gateways that may exist behind a network partition.
//
// A peer whose reports stop is assumed to use its equal share of the bucket and of the refill rate, so that the sides
// of a network partition together stay within the limit. Until a peer has timed out, a gateway admits at most its equal
// share of the bucket between two reports of that peer, because the peer may use its own share in the meantime. The
// bucket is larger than the account's burst by a part of the permitted overage. The rest of the overage covers
// admissions at other gateways that are not yet reported: the gateways that recently admitted requests of the account
// divide a part of it.
package capper

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/decayer"
)

// AccountLimit is the token bucket of one client account. TokensPerSecond is the refill rate and zero means that the
// account is not limited.
type AccountLimit struct {
	Account         string
	TokensPerSecond float64
	BurstTokens     float64
}

// Options holds the bounds of a Capper.
type Options struct {
	// Window is the period over which the limit must hold: in any window an account may use TokensPerSecond times the
	// window plus BurstTokens, exceeded by at most OverageRatio of that and SlackTokens.
	Window       time.Duration
	OverageRatio float64
	SlackTokens  float64
	// PeerTimeout is the age of a peer's latest report from which the peer is assumed to use its equal share. In a
	// large fleet PeerTimeoutPerGateway times the number of gateways applies instead, if that is longer.
	PeerTimeout           time.Duration
	PeerTimeoutPerGateway time.Duration
	// PeerExpiry is the age of a peer's latest report after which the peer is removed.
	PeerExpiry time.Duration
	// MinGateways is the smallest number of gateways that share the limits, whether or not they have reported.
	MinGateways int
	// Name is the name of this gateway. SeedGateways are the names of gateways that the settings list, possibly this one
	// among them.
	Name         string
	SeedGateways []string
}

const (
	// usableToleranceRatio is the part of the overage and slack that is added to the bucket. The rest covers late
	// reports.
	usableToleranceRatio = 0.25
	// startToleranceRatio is the part of the overage and slack that is available right after all gateways have started.
	startToleranceRatio = 0.1
	// adoptionPeriod is the time after the start during which a process takes over a peer's available tokens.
	adoptionPeriod = 4 * time.Second
	// startupDelay is the time after the start during which the buckets are not refilled, so that the process first
	// learns of its peers.
	startupDelay = 300 * time.Millisecond
	// minUnreportedRequests is the number of equally large requests that may be admitted between two reports of the
	// peers even if they exceed the gateway's share of the bucket.
	minUnreportedRequests = 3
	// minLargeFleet is the number of gateways from which unreportedToleranceRatio applies.
	minLargeFleet = 10
	// unreportedToleranceRatio is the part of the overage and slack that the gateways which recently admitted requests of
	// an account may admit between two reports. It is divided among them: in a large fleet an account uses few of the
	// gateways, and an equal share of the bucket for all would refuse it although it has tokens left.
	unreportedToleranceRatio = 0.25
	// equalShareMargin is how much more than an equal part each of these gateways may admit.
	equalShareMargin = 1.3
	// recentDecayTime is the time constant with which recent admissions decay, recentMaxAge the time without admissions
	// after which a peer no longer counts as one that admits requests of the account.
	recentDecayTime = 3 * time.Second
	recentMaxAge    = 6 * time.Second
	// peerReportWait is the wait returned for a request that may be admitted after the next reports of the peers.
	peerReportWait = 100 * time.Millisecond
)

// admission is a charge made by this gateway. A refund is recorded as an admission of negative tokens.
type admission struct {
	admittedAt time.Duration
	tokens     float64
}

// account is the token bucket of one account.
type account struct {
	limit           AccountLimit
	availableTokens float64
	refilledAt      time.Duration
	// admittedTotal is the number of tokens that this gateway has admitted since it started, less the refunded ones.
	admittedTotal float64
	// totalChangedAt is the time of the latest change of admittedTotal.
	totalChangedAt time.Duration
	// recentAdmissions holds this gateway's admissions of the latest peer timeout, oldest first.
	recentAdmissions []admission
	// recentTokens holds the recent admissions of this gateway.
	recentTokens decayer.Sum
}

// Capper holds the token buckets of all accounts. It is not safe for concurrent use. All its times are readings of one
// monotonic clock.
type Capper struct {
	options   Options
	startedAt time.Duration
	accounts  map[string]*account
	peers     map[string]*peer
	// adopted is set once available tokens were taken over from a peer.
	adopted bool
	// startTokensGranted is set once grantStartTokens has run after the startup delay, whether or not it granted any
	// tokens.
	startTokensGranted bool
	// fleet is what is known of the number of gateways.
	fleet fleet
}

// New returns a Capper without accounts; accounts that are not set are not limited.
func New(o Options, now time.Duration) *Capper {
	return &Capper{
		options: o, startedAt: now, accounts: map[string]*account{}, peers: map[string]*peer{},
		fleet: fleet{known: len(o.SeedGateways) == 0},
	}
}

// SetLimits replaces the limits of all accounts. Accounts that are not listed are no longer limited. A new account
// starts with an empty bucket; a remaining one keeps its available tokens, up to its new bucket size.
func (c *Capper) SetLimits(limits []AccountLimit, now time.Duration) {
	c.advance(now)
	limited := make(map[string]bool, len(limits))
	for _, l := range limits {
		limited[l.Account] = true
		a, ok := c.accounts[l.Account]
		if !ok {
			// The peers may have admitted anything before, so the bucket starts empty.
			a = &account{refilledAt: now}
			c.accounts[l.Account] = a
		}
		a.limit = l
		a.availableTokens = min(a.availableTokens, c.bucketTokens(l))
	}
	for name := range c.accounts {
		if !limited[name] {
			delete(c.accounts, name)
		}
	}
}

// bucketTokens returns the size of the bucket: the account's burst and the usable part of the tolerance.
func (c *Capper) bucketTokens(l AccountLimit) float64 {
	return l.BurstTokens + usableToleranceRatio*c.toleranceTokens(l)
}

// toleranceTokens returns the number of tokens by which an account may exceed its limit in one window.
func (c *Capper) toleranceTokens(l AccountLimit) float64 {
	return c.options.OverageRatio*(l.TokensPerSecond*c.options.Window.Seconds()+l.BurstTokens) + c.options.SlackTokens
}

// peerTimeout returns the time without a report after which a peer has timed out. It grows with the fleet because the
// gateways of a large fleet report less often.
func (c *Capper) peerTimeout(now time.Duration) time.Duration {
	return max(c.options.PeerTimeout, time.Duration(c.gatewayCount(now))*c.options.PeerTimeoutPerGateway)
}

// Admit charges a request's tokens to an account. If the account would exceed its limit, nothing is charged, ok is
// false, and wait is the time after which the request may be admitted. A request larger than the bucket is never
// admitted. Accounts without a limit are always admitted. Fewer than zero tokens count as zero.
func (c *Capper) Admit(name string, tokens float64, now time.Duration) (wait time.Duration, ok bool) {
	tokens = max(0, tokens)
	a, known := c.accounts[name]
	if !known || a.limit.TokensPerSecond <= 0 {
		return 0, true
	}
	c.advance(now)
	if a.availableTokens < tokens {
		missingTokens := min(tokens, c.bucketTokens(a.limit)) - a.availableTokens
		startupWait := max(0, c.startedAt+startupDelay-now)
		return startupWait + time.Duration(missingTokens/a.limit.TokensPerSecond*float64(time.Second)), false
	}
	unreportedTokens := c.unreportedTokens(a, now)
	if !c.mayAdmitUnreported(a, tokens, unreportedTokens, now) {
		return peerReportWait, false
	}
	a.availableTokens -= tokens
	a.admittedTotal += tokens
	a.totalChangedAt = now
	a.recentAdmissions = append(a.recentAdmissions, admission{admittedAt: now, tokens: tokens})
	a.recentTokens = a.recentTokens.With(tokens, recentDecayTime, now)
	return 0, true
}

// mayAdmitUnreported reports whether this gateway may admit a request of an account before its peers have reported again.
// unreportedTokens is what it has admitted since their last reports.
func (c *Capper) mayAdmitUnreported(a *account, tokens, unreportedTokens float64, now time.Duration) bool {
	limit := max((a.availableTokens+unreportedTokens)/float64(c.gatewayCount(now)), minUnreportedRequests*tokens)
	if unreportedTokens+tokens <= limit {
		return true
	}
	return c.gatewayCount(now) >= minLargeFleet &&
		unreportedTokens+tokens <= unreportedToleranceRatio*c.toleranceTokens(a.limit)*c.trafficShare(a, now)
}

// trafficShare returns the part of the recent admissions of an account that this gateway has made, or somewhat more than
// an equal part among the gateways that made some, if that is more.
func (c *Capper) trafficShare(a *account, now time.Duration) float64 {
	own := a.recentTokens.Value(recentDecayTime, now)
	total, active := own, 1
	for _, p := range c.peers {
		recent, admitted := p.recentTokens[a.limit.Account]
		if admitted && recent.Age(now) <= recentMaxAge {
			total += recent.Value(recentDecayTime, now)
			active++
		}
	}
	return max(equalShareMargin/float64(active), own/max(1, total))
}

// unreportedTokens returns the tokens that this gateway has admitted since the oldest of the latest reports of its
// peers; peers that have timed out do not count. It also drops admissions older than the peer timeout.
func (c *Capper) unreportedTokens(a *account, now time.Duration) float64 {
	oldestReportAt := now
	for _, p := range c.peers {
		if !p.timedOut {
			oldestReportAt = min(oldestReportAt, p.lastReportAt)
		}
	}
	sum, expired := 0.0, 0
	for i, entry := range a.recentAdmissions {
		if now-entry.admittedAt > c.peerTimeout(now) {
			expired = i + 1
			continue
		}
		if entry.admittedAt >= oldestReportAt {
			sum += entry.tokens
		}
	}
	a.recentAdmissions = a.recentAdmissions[expired:]
	return sum
}

// Refund gives an account back the tokens of a request that was admitted but did not run. Fewer than zero tokens count as zero.
func (c *Capper) Refund(name string, tokens float64, now time.Duration) {
	tokens = max(0, tokens)
	a, known := c.accounts[name]
	if !known || a.limit.TokensPerSecond <= 0 {
		return
	}
	c.advance(now)
	a.availableTokens = min(c.bucketTokens(a.limit), a.availableTokens+tokens)
	a.admittedTotal -= tokens
	a.totalChangedAt = now
	a.recentAdmissions = append(a.recentAdmissions, admission{admittedAt: now, tokens: -tokens})
}

// AdmittedTotals returns the tokens that this gateway has admitted since it started, by account, for the accounts whose
// total changed within maxAge.
func (c *Capper) AdmittedTotals(maxAge, now time.Duration) map[string]float64 {
	out := make(map[string]float64, len(c.accounts))
	for name, a := range c.accounts {
		if a.admittedTotal != 0 && now-a.totalChangedAt <= maxAge {
			out[name] = a.admittedTotal
		}
	}
	return out
}

// AvailableTokens returns the available tokens of each account, to be sent to a peer that has just started. They are
// negative for an account that has exceeded its limit, but never lower than what it may use in one window.
func (c *Capper) AvailableTokens(now time.Duration) map[string]float64 {
	c.advance(now)
	out := make(map[string]float64, len(c.accounts))
	for name, a := range c.accounts {
		out[name] = a.availableTokens
	}
	return out
}

// AdoptAvailableTokens takes over the available tokens of a peer that has run for longer. It applies once, soon after
// the start; later calls change nothing.
func (c *Capper) AdoptAvailableTokens(available map[string]float64, now time.Duration) {
	if c.adopted || now-c.startedAt > adoptionPeriod {
		return
	}
	c.advance(now)
	for name, tokens := range available {
		if a, ok := c.accounts[name]; ok {
			a.availableTokens = min(tokens, c.bucketTokens(a.limit))
			c.adopted = true
		}
	}
}

// NeedsAvailableTokens returns whether AdoptAvailableTokens would still take over a peer's available tokens.
func (c *Capper) NeedsAvailableTokens(now time.Duration) bool {
	return !c.adopted && now-c.startedAt <= adoptionPeriod
}

// grantStartTokens gives each account a first amount of tokens if no peer's available tokens could be taken over until
// the startup delay was over: either all gateways have started recently, or the others are unreachable. The share of
// gateways that have not reported is left out, since they may be serving the account behind a partition.
func (c *Capper) grantStartTokens(now time.Duration) {
	if c.startTokensGranted || now < c.startedAt+startupDelay {
		return
	}
	c.startTokensGranted = true
	if c.adopted {
		return
	}
	knownRatio := float64(len(c.peers)+1) / float64(c.gatewayCount(now))
	for _, a := range c.accounts {
		usableRatio := min(knownRatio, 1-c.hiddenRatio(a.limit))
		a.availableTokens += startToleranceRatio * usableRatio * c.toleranceTokens(a.limit)
	}
}

// advance refills all buckets up to now, removes expired peers, and charges the shares of gateways that have timed out
// or never reported.
func (c *Capper) advance(now time.Duration) {
	c.updateFleet(now)
	c.grantStartTokens(now)
	missingGateways := c.unknownGateways(now)
	for name, p := range c.peers {
		switch age := now - p.lastReportAt; {
		case age > c.options.PeerExpiry:
			delete(c.peers, name)
		case age > c.peerTimeout(now):
			missingGateways++
			c.chargeTimedOutPeer(p, now)
		}
	}
	for _, a := range c.accounts {
		c.refill(a, missingGateways, now)
	}
}

// refill adds the tokens that have accrued since the latest refill, less the equal shares of the missing gateways, which
// have timed out or never reported, or less what gateways of which nothing is known may use, if that is more. Nothing
// accrues during the startup delay.
func (c *Capper) refill(a *account, missingGateways int, now time.Duration) {
	if now <= a.refilledAt {
		return
	}
	refillTokens := a.limit.TokensPerSecond * max(0, now-max(a.refilledAt, c.startedAt+startupDelay)).Seconds()
	a.refilledAt = now
	tokensPerGateway := refillTokens / float64(c.gatewayCount(now))
	for _, p := range c.peers {
		if p.timedOut {
			p.assumedTokens[a.limit.Account] += tokensPerGateway
		}
	}
	missingTokens := max(tokensPerGateway*float64(missingGateways), refillTokens*c.hiddenRatio(a.limit))
	a.availableTokens = min(c.bucketTokens(a.limit), a.availableTokens+refillTokens-missingTokens)
	a.availableTokens = max(a.availableTokens, -c.maxDebt(a.limit))
}

// maxDebt returns how far the available tokens of an account may fall below zero: by what may be used in one window. What was
// used beyond that lies before the window, or was never used.
func (c *Capper) maxDebt(l AccountLimit) float64 {
	return l.TokensPerSecond*c.options.Window.Seconds() + c.bucketTokens(l)
}
