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
	// allowance is the part of the overage and slack that admissions may use; the rest covers late reports.
	allowance = 0.25
	// opening is the part of the overage and slack that admissions may use right after all gateways have started.
	opening = 0.1
	// adoptWithin is how long after its start a process takes over the levels of another.
	adoptWithin = 4 * time.Second
	// aloneFor is how long a process that has just started admits nothing of limited accounts, until it knows the others.
	aloneFor = 300 * time.Millisecond
	// requestsUnheard is how many requests of the same size are admitted at least between two reports of the others.
	requestsUnheard = 3
	// unheardRetry is what a caller is told whose request has to wait for reports.
	unheardRetry = 100 * time.Millisecond
)

// admission is what was admitted here at a time.
type admission struct {
	at     time.Duration
	tokens float64
}

type account struct {
	plan  AccountLimit
	level float64
	last  time.Duration
	// total counts the own admissions since the process started, less what was returned.
	total float64
	// moved is when total changed last.
	moved time.Duration
	// latest holds the own admissions of the last Silent.
	latest []admission
}

type peer struct {
	incarnation uint64
	heard       time.Duration
	totals      map[string]float64
	// silent is set while the peer is supposed to use its share; supposed is what was charged for it, by account.
	silent   bool
	supposed map[string]float64
}

// Capper is not safe for concurrent use.
type Capper struct {
	options  Options
	started  time.Duration
	accounts map[string]*account
	peers    map[string]*peer
	// adopted is set once levels of another gateway were taken over, opened once the process goes on without any.
	adopted bool
	opened  bool
}

// New returns a capper without accounts.
func New(o Options, now time.Duration) *Capper {
	return &Capper{options: o, started: now, accounts: map[string]*account{}, peers: map[string]*peer{}}
}

// SetLimits replaces the plans.
func (c *Capper) SetLimits(plans []AccountLimit, now time.Duration) {
	c.advance(now)
	keep := make(map[string]bool, len(plans))
	for _, p := range plans {
		keep[p.Account] = true
		a, ok := c.accounts[p.Account]
		if !ok {
			// Whoever starts knows nothing of what was admitted before, and begins empty.
			a = &account{last: now}
			c.accounts[p.Account] = a
		}
		a.plan = p
		a.level = min(a.level, c.burst(p))
	}
	for name := range c.accounts {
		if !keep[name] {
			delete(c.accounts, name)
		}
	}
}

// burst is the size of the bucket: the account's burst and a part of the allowance.
func (c *Capper) burst(p AccountLimit) float64 {
	return p.BurstTokens + allowance*c.allowed(p)
}

func (c *Capper) allowed(p AccountLimit) float64 {
	return c.options.OverageRatio*(p.TokensPerSecond*c.options.Window.Seconds()+p.BurstTokens) + c.options.SlackTokens
}

// silentAfter is longer in a large fleet, whose gateways report less often.
func (c *Capper) silentAfter() time.Duration {
	return max(c.options.PeerTimeout, time.Duration(c.gateways())*c.options.PeerTimeoutPerGateway)
}

// gateways is how many gateways share the limits, and unknown how many of them were never heard from.
func (c *Capper) gateways() int { return max(c.options.MinGateways, len(c.peers)+1) }

func (c *Capper) unknown() int { return c.gateways() - len(c.peers) - 1 }

// Admit charges tokens; ok is false where the account would exceed its limit, and wait tells when it would not.
func (c *Capper) Admit(name string, tokens float64, now time.Duration) (wait time.Duration, ok bool) {
	a, known := c.accounts[name]
	if !known || a.plan.TokensPerSecond <= 0 {
		return 0, true
	}
	c.advance(now)
	if a.level < tokens {
		missing := min(tokens, c.burst(a.plan)) - a.level
		alone := max(0, c.started+aloneFor-now)
		return alone + time.Duration(missing/a.plan.TokensPerSecond*float64(time.Second)), false
	}
	unheard := c.unheard(a, now)
	share := max((a.level+unheard)/float64(c.gateways()), requestsUnheard*tokens)
	if unheard+tokens > share {
		return unheardRetry, false
	}
	a.level -= tokens
	a.total += tokens
	a.moved = now
	a.latest = append(a.latest, admission{at: now, tokens: tokens})
	return 0, true
}

// unheard sums the own admissions since the oldest report of a gateway that is not silent.
func (c *Capper) unheard(a *account, now time.Duration) float64 {
	oldest := now
	for _, p := range c.peers {
		if !p.silent {
			oldest = min(oldest, p.heard)
		}
	}
	sum, expired := 0.0, 0
	for i, l := range a.latest {
		if now-l.at > c.silentAfter() {
			expired = i + 1
			continue
		}
		if l.at >= oldest {
			sum += l.tokens
		}
	}
	a.latest = a.latest[expired:]
	return sum
}

// Refund gives back the charge of a request that did not run.
func (c *Capper) Refund(name string, tokens float64, now time.Duration) {
	a, known := c.accounts[name]
	if !known || a.plan.TokensPerSecond <= 0 {
		return
	}
	c.advance(now)
	a.level = min(c.burst(a.plan), a.level+tokens)
	a.total -= tokens
	a.moved = now
	a.latest = append(a.latest, admission{at: now, tokens: -tokens})
}

// AdmittedTotals returns the own admissions since the start of each account that had some within a time.
func (c *Capper) AdmittedTotals(within, now time.Duration) map[string]float64 {
	out := make(map[string]float64, len(c.accounts))
	for name, a := range c.accounts {
		if a.total != 0 && now-a.moved <= within {
			out[name] = a.total
		}
	}
	return out
}

// AvailableTokens returns the level of each account, for a gateway that has just started.
func (c *Capper) AvailableTokens(now time.Duration) map[string]float64 {
	c.advance(now)
	out := make(map[string]float64, len(c.accounts))
	for name, a := range c.accounts {
		out[name] = a.level
	}
	return out
}

// AdoptAvailableTokens takes over the levels of a gateway that has run for longer, soon after the own start; later they are ignored.
func (c *Capper) AdoptAvailableTokens(levels map[string]float64, now time.Duration) {
	if c.adopted || now-c.started > adoptWithin {
		return
	}
	c.advance(now)
	for name, level := range levels {
		if a, ok := c.accounts[name]; ok {
			a.level = min(level, c.burst(a.plan))
			c.adopted = true
		}
	}
}

// NeedsAvailableTokens tells whether levels of another gateway would still be adopted.
func (c *Capper) NeedsAvailableTokens(now time.Duration) bool {
	return !c.adopted && now-c.started <= adoptWithin
}

// ReceiveTotals takes in the totals of another gateway, of those accounts at least that it admitted something for since it was heard
// from last; whole tells that it is all accounts. What was supposed of it while it was silent gives way to what it did
// once all is told.
func (c *Capper) ReceiveTotals(gateway string, incarnation uint64, totals map[string]float64, whole bool, now time.Duration) {
	c.advance(now)
	p, ok := c.peers[gateway]
	if !ok {
		// What it admitted before is in no level here.
		c.peers[gateway] = &peer{incarnation: incarnation, heard: now, totals: map[string]float64{}, supposed: map[string]float64{}}
		maps.Copy(c.peers[gateway].totals, totals)
		return
	}
	if p.incarnation != incarnation {
		p.incarnation, p.totals = incarnation, map[string]float64{}
		c.charge(p)
	}
	for name, a := range c.accounts {
		delta := 0.0
		if total, told := totals[name]; told {
			delta = total - p.totals[name]
			p.totals[name] = total
		}
		a.level -= delta
	}
	p.heard, p.silent = now, false
	if whole {
		c.release(p)
	}
}

// release gives back what was supposed of a gateway.
func (c *Capper) release(p *peer) {
	for name, a := range c.accounts {
		a.level = min(c.burst(a.plan), a.level+p.supposed[name])
	}
	clear(p.supposed)
}

// charge supposes that a process that has ended admitted its share after its last report, which will never be told.
func (c *Capper) charge(p *peer) {
	if !p.silent {
		for _, a := range c.accounts {
			a.level -= max(0, a.level) / float64(c.gateways())
		}
	}
	clear(p.supposed)
}

// open gives a process that found no level to take over a first one: all have started lately, or are out of reach. For
// those that are its share is left out.
func (c *Capper) open(now time.Duration) {
	if c.opened || now < c.started+aloneFor {
		return
	}
	c.opened = true
	if c.adopted {
		return
	}
	known := float64(len(c.peers)+1) / float64(c.gateways())
	for _, a := range c.accounts {
		a.level += opening * known * c.allowed(a.plan)
	}
}

// advance brings all levels to a time, and charges the shares of gateways that are not heard from.
func (c *Capper) advance(now time.Duration) {
	c.open(now)
	silent := c.unknown()
	for name, p := range c.peers {
		switch age := now - p.heard; {
		case age > c.options.PeerExpiry:
			delete(c.peers, name)
		case age > c.silentAfter():
			silent++
			c.suppose(p)
		}
	}
	for _, a := range c.accounts {
		c.refill(a, silent, now)
	}
}

// suppose charges a gateway that has just fallen silent its equal share of each bucket, and of the rate since it was
// heard from last.
func (c *Capper) suppose(p *peer) {
	if p.silent {
		return
	}
	p.silent = true
	for name, a := range c.accounts {
		share := (c.burst(a.plan) + a.plan.TokensPerSecond*c.silentAfter().Seconds()) / float64(c.gateways())
		a.level -= share
		p.supposed[name] += share
	}
}

// refill adds what the rate gives, less the equal shares of the silent gateways.
func (c *Capper) refill(a *account, silent int, now time.Duration) {
	if now <= a.last {
		return
	}
	fresh := a.plan.TokensPerSecond * max(0, now-max(a.last, c.started+aloneFor)).Seconds()
	a.last = now
	each := fresh / float64(c.gateways())
	for _, p := range c.peers {
		if p.silent {
			p.supposed[a.plan.Account] += each
		}
	}
	a.level = min(c.burst(a.plan), a.level+fresh-each*float64(silent))
}
