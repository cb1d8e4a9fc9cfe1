package capper

import (
	"maps"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/decayer"
)

// peer is another gateway that has reported at least once.
type peer struct {
	incarnation  uint64
	lastReportAt time.Duration
	// reportedTotals holds the latest reported total of each account.
	reportedTotals map[string]float64
	// recentTokens holds the recently reported admissions of each account.
	recentTokens map[string]decayer.Sum
	// timedOut is set while the peer is assumed to use its share. assumedTokens holds, by account, the tokens charged
	// under that assumption.
	timedOut      bool
	assumedTokens map[string]float64
}

// Report says what a peer has admitted since it started.
type Report struct {
	Gateway     string
	Incarnation uint64
	// Totals holds the admitted tokens by account. It includes at least each account for which the peer admitted something
	// since its previous report; AllAccounts means that it includes all accounts.
	Totals      map[string]float64
	AllAccounts bool
	// ComposedAt is the time as of which the totals hold. It may be long ago: a report waits while its receiver is suspended.
	ComposedAt time.Duration
}

// ReceiveTotals charges the difference between a peer's reported totals and its previous ones. The tokens that were assumed
// for the peer after a timeout are given back once it has reported all accounts, as of a time after the timeout.
func (c *Capper) ReceiveTotals(r Report, now time.Duration) {
	c.advance(now)
	p, ok := c.peers[r.Gateway]
	if !ok {
		// The first report is only a baseline: the peer's earlier admissions are not charged to the buckets here.
		c.peers[r.Gateway] = &peer{
			incarnation: r.Incarnation, lastReportAt: r.ComposedAt,
			reportedTotals: map[string]float64{}, recentTokens: map[string]decayer.Sum{},
			assumedTokens: map[string]float64{},
		}
		maps.Copy(c.peers[r.Gateway].reportedTotals, r.Totals)
		return
	}
	if p.incarnation != r.Incarnation {
		p.incarnation, p.reportedTotals = r.Incarnation, map[string]float64{}
		c.chargeRestartedPeer(p, now)
	}
	for name, a := range c.accounts {
		delta := 0.0
		if total, reported := r.Totals[name]; reported {
			delta = total - p.reportedTotals[name]
			p.reportedTotals[name] = total
		}
		if delta > 0 {
			p.recentTokens[name] = p.recentTokens[name].With(delta, recentDecayTime, now)
		}
		a.availableTokens -= delta
	}
	p.lastReportAt = max(p.lastReportAt, r.ComposedAt)
	if now-r.ComposedAt > c.peerTimeout(now) {
		// What the peer has admitted since then is not known, as if it had not reported.
		return
	}
	p.timedOut = false
	if r.AllAccounts {
		c.releaseAssumedTokens(p)
	}
}

// releaseAssumedTokens gives back the tokens that were charged for a peer while it had timed out, because its real
// admissions are now known from its report and have been charged.
func (c *Capper) releaseAssumedTokens(p *peer) {
	for name, a := range c.accounts {
		a.availableTokens = min(c.bucketTokens(a.limit), a.availableTokens+p.assumedTokens[name])
	}
	clear(p.assumedTokens)
}

// chargeRestartedPeer charges the equal share of the available tokens for a peer whose previous process has ended: what
// that process admitted after its last report will never be reported. A peer that had timed out was charged already,
// and that charge becomes final.
func (c *Capper) chargeRestartedPeer(p *peer, now time.Duration) {
	if !p.timedOut {
		for _, a := range c.accounts {
			a.availableTokens -= max(0, a.availableTokens) / float64(c.gatewayCount(now))
		}
	}
	clear(p.assumedTokens)
}

// chargeTimedOutPeer charges the equal share of each bucket, and of the refill during the peer timeout, for a peer that
// has just timed out.
func (c *Capper) chargeTimedOutPeer(p *peer, now time.Duration) {
	if p.timedOut {
		return
	}
	p.timedOut = true
	for name, a := range c.accounts {
		share := (c.bucketTokens(a.limit) + a.limit.TokensPerSecond*c.peerTimeout(now).Seconds()) / float64(c.gatewayCount(now))
		a.availableTokens -= share
		p.assumedTokens[name] += share
	}
}
