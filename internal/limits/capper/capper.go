// Package capper bounds what each client account runs over all gateways together. Every gateway plays the whole
// account's token bucket: it charges its own admissions at once and those of the others as they report them, in
// totals that only rise. A gateway that is not heard from is supposed to use its equal share all the while, so that
// both sides of a partition together stay within the rate. The allowance above the burst pays for what was admitted
// elsewhere and has not been reported yet.
package capper

import (
	"time"
)

// Plan is the limit of an account.
type Plan struct {
	Account string
	// Rate in tokens a second and Burst in tokens; a zero rate means no limit.
	Rate  float64
	Burst float64
}

// Options are the bounds of a capper.
type Options struct {
	// Window is the time over which the bound is judged.
	Window time.Duration
	// Overage is the share of the bound, and Slack the tokens, by which imprecision may exceed it.
	Overage float64
	Slack   float64
	// Silent is the age of the latest report after which a gateway is supposed to use its equal share.
	Silent time.Duration
	// Forget is the age after which a silent gateway is taken for gone.
	Forget time.Duration
}

const (
	// allowance is the part of the overage and slack that admissions may use; the rest covers late reports.
	allowance = 0.75
	// startShare is the part of the allowance that a process without any knowledge begins with.
	startShare = 0.5
	// adoptWithin is how long after its start a process takes over the levels of another.
	adoptWithin = 4 * time.Second
)

type account struct {
	plan  Plan
	level float64
	last  time.Duration
	// total counts the own admissions since the process started, less what was returned.
	total float64
}

type peer struct {
	incarnation uint64
	heard       time.Duration
	totals      map[string]float64
}

// Capper is not safe for concurrent use.
type Capper struct {
	options  Options
	started  time.Duration
	accounts map[string]*account
	peers    map[string]*peer
	// adopted is set once levels of another gateway were taken over.
	adopted bool
}

// New returns a capper without accounts.
func New(o Options, now time.Duration) *Capper {
	return &Capper{options: o, started: now, accounts: map[string]*account{}, peers: map[string]*peer{}}
}

// Set replaces the plans.
func (c *Capper) Set(plans []Plan, now time.Duration) {
	keep := make(map[string]bool, len(plans))
	for _, p := range plans {
		keep[p.Account] = true
		a, ok := c.accounts[p.Account]
		if !ok {
			a = &account{plan: p, last: now}
			a.level = c.startLevel(p)
			c.accounts[p.Account] = a
			continue
		}
		c.refill(a, now)
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
func (c *Capper) burst(p Plan) float64 {
	return p.Burst + allowance*c.allowed(p)
}

func (c *Capper) allowed(p Plan) float64 {
	return c.options.Overage*(p.Rate*c.options.Window.Seconds()+p.Burst) + c.options.Slack
}

func (c *Capper) startLevel(p Plan) float64 {
	return startShare * allowance * c.allowed(p)
}

// Admit charges tokens; ok is false where the account would exceed its limit, and wait tells when it would not.
func (c *Capper) Admit(name string, tokens float64, now time.Duration) (wait time.Duration, ok bool) {
	a, known := c.accounts[name]
	if !known || a.plan.Rate <= 0 {
		return 0, true
	}
	c.refill(a, now)
	if a.level < tokens {
		missing := min(tokens, c.burst(a.plan)) - a.level
		return time.Duration(missing / a.plan.Rate * float64(time.Second)), false
	}
	a.level -= tokens
	a.total += tokens
	return 0, true
}

// Return gives back the charge of a request that did not run.
func (c *Capper) Return(name string, tokens float64, now time.Duration) {
	a, known := c.accounts[name]
	if !known || a.plan.Rate <= 0 {
		return
	}
	c.refill(a, now)
	a.level = min(c.burst(a.plan), a.level+tokens)
	a.total -= tokens
}

// Totals returns the own admissions of each account since the start.
func (c *Capper) Totals() map[string]float64 {
	out := make(map[string]float64, len(c.accounts))
	for name, a := range c.accounts {
		if a.total != 0 {
			out[name] = a.total
		}
	}
	return out
}

// Levels returns the level of each account, for a gateway that has just started.
func (c *Capper) Levels(now time.Duration) map[string]float64 {
	out := make(map[string]float64, len(c.accounts))
	for name, a := range c.accounts {
		c.refill(a, now)
		out[name] = a.level
	}
	return out
}

// Adopt takes over the levels of a gateway that has run for longer, soon after the own start; later they are ignored.
func (c *Capper) Adopt(levels map[string]float64, now time.Duration) {
	if c.adopted || now-c.started > adoptWithin {
		return
	}
	for name, level := range levels {
		if a, ok := c.accounts[name]; ok {
			a.level, a.last = min(level, c.burst(a.plan)), now
			c.adopted = true
		}
	}
}

// Young tells whether levels of another gateway would still be adopted.
func (c *Capper) Young(now time.Duration) bool {
	return !c.adopted && now-c.started <= adoptWithin
}

// Hear takes in the totals of another gateway. What it admitted before it was first heard of is in no level here
// and is charged at once, as a process that lives longer than this one would have.
func (c *Capper) Hear(gateway string, incarnation uint64, totals map[string]float64, now time.Duration) {
	for _, a := range c.accounts {
		c.refill(a, now)
	}
	p, ok := c.peers[gateway]
	fresh := !ok
	if !ok || p.incarnation != incarnation {
		p = &peer{incarnation: incarnation, totals: map[string]float64{}}
		c.peers[gateway] = p
	}
	silence := now - p.heard
	supposed := !fresh && p.heard > 0 && silence > c.options.Silent
	p.heard = now
	for name, total := range totals {
		delta := total - p.totals[name]
		p.totals[name] = total
		a, known := c.accounts[name]
		if !known || fresh {
			continue
		}
		if supposed {
			// Its equal share was charged while it was silent.
			delta -= a.plan.Rate * (silence - c.options.Silent).Seconds() / float64(len(c.peers)+1)
			delta = max(0, delta)
		}
		a.level -= delta
	}
}

// refill adds what the rate gives, less the equal shares of the gateways that are not heard from.
func (c *Capper) refill(a *account, now time.Duration) {
	if now <= a.last {
		return
	}
	silent := 0
	for name, p := range c.peers {
		switch age := now - p.heard; {
		case age > c.options.Forget:
			delete(c.peers, name)
		case age > c.options.Silent:
			silent++
		}
	}
	share := 1 - float64(silent)/float64(len(c.peers)+1)
	a.level = min(c.burst(a.plan), a.level+a.plan.Rate*share*(now-a.last).Seconds())
	a.last = now
}
