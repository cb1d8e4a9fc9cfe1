// Package capper bounds what each client account runs over all gateways together. Every gateway plays the whole
// account's token bucket: it charges its own admissions at once and those of the others as they report them, in
// totals that only rise. A gateway that is not heard from is supposed to use its equal share of the bucket and of the
// rate, so that the sides of a partition together stay within the limit; and until that shows, each gateway admits no
// more than its equal share of the bucket beyond what the others have certainly had time to report. The allowance above
// the burst pays for what is admitted elsewhere in the meantime.
package capper

import (
	"maps"
	"time"
)

// AccountLimit is the limit of an account.
type AccountLimit struct {
	Account string
	// TokensPerSecond in tokens a second and Burst in tokens; a zero rate means no limit.
	TokensPerSecond float64
	BurstTokens     float64
}

// Options are the bounds of a capper.
type Options struct {
	// Window is the time over which the bound is judged.
	Window time.Duration
	// OverageRatio is the share of the bound, and Slack the tokens, by which imprecision may exceed it.
	OverageRatio float64
	SlackTokens  float64
	// PeerTimeout is the age of the latest report after which a gateway is supposed to use its equal share; SilentEach for each
	// gateway, where that is more.
	PeerTimeout           time.Duration
	PeerTimeoutPerGateway time.Duration
	// PeerExpiry is the age after which a silent gateway is taken for gone.
	PeerExpiry time.Duration
	// MinGateways is the number of gateways that there are at least, heard from or not.
	MinGateways int
}

const (
	// usableToleranceRatio is the part of the overage and slack that admissions may use; the rest covers late reports.
	usableToleranceRatio = 0.25
	// startToleranceRatio is the part of the overage and slack that admissions may use right after all gateways have started.
	startToleranceRatio = 0.1
	// adoptionPeriod is how long after its start a process takes over the levels of another.
	adoptionPeriod = 4 * time.Second
	// startupDelay is how long a process that has just started admits nothing of limited accounts, until it knows the others.
	startupDelay = 300 * time.Millisecond
	// minUnreportedRequests is how many requests of the same size are admitted at least between two reports of the others.
	minUnreportedRequests = 3
	// unreportedRetryDelay is what a caller is told whose request has to wait for reports.
	unreportedRetryDelay = 100 * time.Millisecond
)

// admission is what was admitted here at a time.
type admission struct {
	admittedAt time.Duration
	tokens     float64
}

type account struct {
	limit           AccountLimit
	availableTokens float64
	refilledAt      time.Duration
	// admittedTotal counts the own admissions since the process started, less what was returned.
	admittedTotal float64
	// totalChangedAt is when total changed last.
	totalChangedAt time.Duration
	// recentAdmissions holds the own admissions of the last Silent.
	recentAdmissions []admission
}

type peer struct {
	incarnation    uint64
	lastReportAt   time.Duration
	reportedTotals map[string]float64
	// timedOut is set while the peer is supposed to use its share; supposed is what was charged for it, by account.
	timedOut      bool
	assumedTokens map[string]float64
}

// Capper is not safe for concurrent use.
type Capper struct {
	options   Options
	startedAt time.Duration
	accounts  map[string]*account
	peers     map[string]*peer
	// adopted is set once levels of another gateway were taken over, opened once the process goes on without any.
	adopted            bool
	startTokensGranted bool
}

// New returns a capper without accounts.
func New(o Options, now time.Duration) *Capper {
	return &Capper{options: o, startedAt: now, accounts: map[string]*account{}, peers: map[string]*peer{}}
}

// SetLimits replaces the plans.
func (c *Capper) SetLimits(limits []AccountLimit, now time.Duration) {
	c.advance(now)
	limited := make(map[string]bool, len(limits))
	for _, l := range limits {
		limited[l.Account] = true
		a, ok := c.accounts[l.Account]
		if !ok {
			// Whoever starts knows nothing of what was admitted before, and begins empty.
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

// bucketTokens is the size of the bucket: the account's burst and a part of the allowance.
func (c *Capper) bucketTokens(l AccountLimit) float64 {
	return l.BurstTokens + usableToleranceRatio*c.toleranceTokens(l)
}

func (c *Capper) toleranceTokens(l AccountLimit) float64 {
	return c.options.OverageRatio*(l.TokensPerSecond*c.options.Window.Seconds()+l.BurstTokens) + c.options.SlackTokens
}

// peerTimeout is longer in a large fleet, whose gateways report less often.
func (c *Capper) peerTimeout() time.Duration {
	return max(c.options.PeerTimeout, time.Duration(c.gatewayCount())*c.options.PeerTimeoutPerGateway)
}

// gatewayCount is how many gateways share the limits, and unknown how many of them were never heard from.
func (c *Capper) gatewayCount() int { return max(c.options.MinGateways, len(c.peers)+1) }

func (c *Capper) unknownGateways() int { return c.gatewayCount() - len(c.peers) - 1 }

// Admit charges tokens; ok is false where the account would exceed its limit, and wait tells when it would not.
func (c *Capper) Admit(name string, tokens float64, now time.Duration) (wait time.Duration, ok bool) {
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
	unreported := c.unreportedTokens(a, now)
	maxUnreported := max((a.availableTokens+unreported)/float64(c.gatewayCount()), minUnreportedRequests*tokens)
	if unreported+tokens > maxUnreported {
		return unreportedRetryDelay, false
	}
	a.availableTokens -= tokens
	a.admittedTotal += tokens
	a.totalChangedAt = now
	a.recentAdmissions = append(a.recentAdmissions, admission{admittedAt: now, tokens: tokens})
	return 0, true
}

// unreportedTokens sums the own admissions since the oldest report of a gateway that is not silent.
func (c *Capper) unreportedTokens(a *account, now time.Duration) float64 {
	oldestReportAt := now
	for _, p := range c.peers {
		if !p.timedOut {
			oldestReportAt = min(oldestReportAt, p.lastReportAt)
		}
	}
	sum, expired := 0.0, 0
	for i, entry := range a.recentAdmissions {
		if now-entry.admittedAt > c.peerTimeout() {
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

// Refund gives back the charge of a request that did not run.
func (c *Capper) Refund(name string, tokens float64, now time.Duration) {
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

// AdmittedTotals returns the own admissions since the start of each account that had some within a time.
func (c *Capper) AdmittedTotals(maxAge, now time.Duration) map[string]float64 {
	out := make(map[string]float64, len(c.accounts))
	for name, a := range c.accounts {
		if a.admittedTotal != 0 && now-a.totalChangedAt <= maxAge {
			out[name] = a.admittedTotal
		}
	}
	return out
}

// AvailableTokens returns the level of each account, for a gateway that has just started.
func (c *Capper) AvailableTokens(now time.Duration) map[string]float64 {
	c.advance(now)
	out := make(map[string]float64, len(c.accounts))
	for name, a := range c.accounts {
		out[name] = a.availableTokens
	}
	return out
}

// AdoptAvailableTokens takes over the levels of a gateway that has run for longer, soon after the own start; later they are ignored.
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

// NeedsAvailableTokens tells whether levels of another gateway would still be adopted.
func (c *Capper) NeedsAvailableTokens(now time.Duration) bool {
	return !c.adopted && now-c.startedAt <= adoptionPeriod
}

// ReceiveTotals takes in the totals of another gateway, of those accounts at least that it admitted something for since it was heard
// from last; whole tells that it is all accounts. What was supposed of it while it was silent gives way to what it did
// once all is told.
func (c *Capper) ReceiveTotals(gateway string, incarnation uint64, totals map[string]float64, allAccounts bool, now time.Duration) {
	c.advance(now)
	p, ok := c.peers[gateway]
	if !ok {
		// What it admitted before is in no level here.
		c.peers[gateway] = &peer{incarnation: incarnation, lastReportAt: now, reportedTotals: map[string]float64{}, assumedTokens: map[string]float64{}}
		maps.Copy(c.peers[gateway].reportedTotals, totals)
		return
	}
	if p.incarnation != incarnation {
		p.incarnation, p.reportedTotals = incarnation, map[string]float64{}
		c.chargeRestartedPeer(p)
	}
	for name, a := range c.accounts {
		delta := 0.0
		if total, reported := totals[name]; reported {
			delta = total - p.reportedTotals[name]
			p.reportedTotals[name] = total
		}
		a.availableTokens -= delta
	}
	p.lastReportAt, p.timedOut = now, false
	if allAccounts {
		c.releaseAssumed(p)
	}
}

// releaseAssumed gives back what was supposed of a gateway.
func (c *Capper) releaseAssumed(p *peer) {
	for name, a := range c.accounts {
		a.availableTokens = min(c.bucketTokens(a.limit), a.availableTokens+p.assumedTokens[name])
	}
	clear(p.assumedTokens)
}

// chargeRestartedPeer supposes that a process that has ended admitted its share after its last report, which will never be told.
func (c *Capper) chargeRestartedPeer(p *peer) {
	if !p.timedOut {
		for _, a := range c.accounts {
			a.availableTokens -= max(0, a.availableTokens) / float64(c.gatewayCount())
		}
	}
	clear(p.assumedTokens)
}

// grantStartTokens gives a process that found no level to take over a first one: all have started lately, or are out of reach. For
// those that are its share is left out.
func (c *Capper) grantStartTokens(now time.Duration) {
	if c.startTokensGranted || now < c.startedAt+startupDelay {
		return
	}
	c.startTokensGranted = true
	if c.adopted {
		return
	}
	knownRatio := float64(len(c.peers)+1) / float64(c.gatewayCount())
	for _, a := range c.accounts {
		a.availableTokens += startToleranceRatio * knownRatio * c.toleranceTokens(a.limit)
	}
}

// advance brings all levels to a time, and charges the shares of gateways that are not heard from.
func (c *Capper) advance(now time.Duration) {
	c.grantStartTokens(now)
	missingGateways := c.unknownGateways()
	for name, p := range c.peers {
		switch age := now - p.lastReportAt; {
		case age > c.options.PeerExpiry:
			delete(c.peers, name)
		case age > c.peerTimeout():
			missingGateways++
			c.chargeTimedOutPeer(p)
		}
	}
	for _, a := range c.accounts {
		c.refill(a, missingGateways, now)
	}
}

// chargeTimedOutPeer charges a gateway that has just fallen silent its equal share of each bucket, and of the rate since it was
// heard from last.
func (c *Capper) chargeTimedOutPeer(p *peer) {
	if p.timedOut {
		return
	}
	p.timedOut = true
	for name, a := range c.accounts {
		share := (c.bucketTokens(a.limit) + a.limit.TokensPerSecond*c.peerTimeout().Seconds()) / float64(c.gatewayCount())
		a.availableTokens -= share
		p.assumedTokens[name] += share
	}
}

// refill adds what the rate gives, less the equal shares of the silent gateways.
func (c *Capper) refill(a *account, missingGateways int, now time.Duration) {
	if now <= a.refilledAt {
		return
	}
	refillTokens := a.limit.TokensPerSecond * max(0, now-max(a.refilledAt, c.startedAt+startupDelay)).Seconds()
	a.refilledAt = now
	perGateway := refillTokens / float64(c.gatewayCount())
	for _, p := range c.peers {
		if p.timedOut {
			p.assumedTokens[a.limit.Account] += perGateway
		}
	}
	a.availableTokens = min(c.bucketTokens(a.limit), a.availableTokens+refillTokens-perGateway*float64(missingGateways))
}
