// Package profiler measures how much endpoint time the generations of each service use for prefill and for decode, over
// all gateways together. The fraction of each stage follows from the prompts, the responses and the engines, so that
// nothing needs to be assumed about them.
//
// Each gateway measures the generations that it has completed and sends the sums to its peers. Sums decay
// exponentially, so that they follow the traffic.
package profiler

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/decayer"
)

// Usage is the endpoint time that recent generations of a service used.
type Usage struct {
	// Generations counts the generations.
	Generations float64
	// PrefillSeconds is the time in which one prefill endpoint processes all their prompts.
	PrefillSeconds float64
	// DecodeSeconds is the time for which they fill one decode endpoint: the sum of their times there, each multiplied
	// by the fraction of the slots or of the KV memory that it occupied, whichever is larger.
	DecodeSeconds float64
}

// plus returns the sum of two usages.
func (u Usage) plus(v Usage) Usage {
	return Usage{
		Generations: u.Generations + v.Generations, PrefillSeconds: u.PrefillSeconds + v.PrefillSeconds,
		DecodeSeconds: u.DecodeSeconds + v.DecodeSeconds,
	}
}

// times returns the usage multiplied by a factor.
func (u Usage) times(factor float64) Usage {
	return Usage{
		Generations: u.Generations * factor, PrefillSeconds: u.PrefillSeconds * factor,
		DecodeSeconds: u.DecodeSeconds * factor,
	}
}

// minReportedGenerations is the decayed number of generations below which a usage is no longer kept.
const minReportedGenerations = 0.05

// Options configures a Profiler.
type Options struct {
	// DecayTime is the time constant with which usages decay.
	DecayTime time.Duration
	// MaxPeerAge is the age from which the report of a peer is ignored.
	MaxPeerAge time.Duration
	// SettleTime is the time after the first generation for which the usage is not representative: the generations that
	// have been completed by then are the short ones.
	SettleTime time.Duration
}

// record is a usage as of a time.
type record struct {
	usage Usage
	at    time.Duration
}

// Profiler holds the usage of each service. It is not safe for concurrent use. All its times are readings of one
// monotonic clock.
type Profiler struct {
	options Options
	// own holds the usage of the generations of this gateway by service, peers that of the others by peer and service.
	own   map[string]record
	peers map[string]map[string]record
	// firstAt holds the time at which the first generation of each service was recorded or reported.
	firstAt map[string]time.Duration
}

// New returns a Profiler that knows no generations.
func New(o Options) *Profiler {
	return &Profiler{options: o, own: map[string]record{}, peers: map[string]map[string]record{}, firstAt: map[string]time.Duration{}}
}

// Record adds a completed generation of this gateway to the usage of a service.
func (p *Profiler) Record(service string, prefill time.Duration, decodeSeconds float64, now time.Duration) {
	u := p.decayed(p.own[service], now)
	p.recordFirst(service, now)
	p.own[service] = record{
		usage: u.plus(Usage{Generations: 1, PrefillSeconds: prefill.Seconds(), DecodeSeconds: decodeSeconds}), at: now,
	}
}

// Own returns the usage of the generations of this gateway by service, to be sent to the peers.
func (p *Profiler) Own(now time.Duration) map[string]Usage {
	out := make(map[string]Usage, len(p.own))
	for service, r := range p.own {
		u := p.decayed(r, now)
		if u.Generations < minReportedGenerations {
			delete(p.own, service)
			continue
		}
		out[service] = u
	}
	return out
}

// MergePeer replaces the usages that a peer reported.
func (p *Profiler) MergePeer(peer string, usages map[string]Usage, now time.Duration) {
	if len(usages) == 0 {
		delete(p.peers, peer)
		return
	}
	records := make(map[string]record, len(usages))
	for service, u := range usages {
		records[service] = record{usage: u, at: now}
		p.recordFirst(service, now)
	}
	p.peers[peer] = records
}

// RemovePeer removes what a peer reported.
func (p *Profiler) RemovePeer(peer string) {
	delete(p.peers, peer)
}

// recordFirst records the time of the first generation of a service.
func (p *Profiler) recordFirst(service string, now time.Duration) {
	if _, known := p.firstAt[service]; !known {
		p.firstAt[service] = now
	}
}

// Settled reports whether the usage of a service is representative: generations have been completed for SettleTime.
func (p *Profiler) Settled(service string, now time.Duration) bool {
	at, known := p.firstAt[service]
	return known && now-at >= p.options.SettleTime
}

// Total returns the usage of a service over all gateways.
func (p *Profiler) Total(service string, now time.Duration) Usage {
	total := p.decayed(p.own[service], now)
	for _, records := range p.peers {
		if r := records[service]; now-r.at < p.options.MaxPeerAge {
			total = total.plus(p.decayed(r, now))
		}
	}
	return total
}

// decayed returns the usage of a record, decayed to the current time.
func (p *Profiler) decayed(r record, now time.Duration) Usage {
	if r.usage.Generations == 0 {
		return Usage{}
	}
	return r.usage.times(decayer.Factor(now-r.at, p.options.DecayTime))
}
