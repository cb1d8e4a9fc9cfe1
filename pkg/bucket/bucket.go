// Package bucket is a token bucket whose charges can be partly returned without ever breaking the
// bound: the charges less the returns of any window w are at most burst + rate x w.
//
// A return is worth what the level would be now had the charge been smaller from the start. Where the
// bucket would have been full in between, the returned tokens would have been lost, so they are not
// credited. The bucket keeps the highest levels since its latest charges to know this.
package bucket

import "time"

// maxPeaks bounds the remembered levels; merged ones only make returns smaller.
const maxPeaks = 8

// ChargeID names a charge, for its return.
type ChargeID uint64

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	// rate is in tokens a second, burst in tokens; neither is negative.
	rate  float64
	burst float64
	// available is never above burst.
	available  float64
	refilledAt time.Duration
	// sequence rises with each charge and each resize.
	sequence ChargeID
	// lastVoidCharge is the latest charge that can't be returned any more.
	lastVoidCharge ChargeID
	// peaks holds levels before charges, falling, each the highest since its charge.
	peaks     [maxPeaks]peak
	peakCount int
}

type peak struct {
	sequence ChargeID
	level    float64
}

// New returns an empty bucket.
func New(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, refilledAt: now}
}

// NewFull returns a full bucket.
func NewFull(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, available: burst, refilledAt: now}
}

// AvailableTokens returns the tokens available now.
func (b *Bucket) AvailableTokens(now time.Duration) float64 {
	b.refill(now)
	return b.available
}

// Burst returns the size of the bucket.
func (b *Bucket) Burst() float64 {
	return b.burst
}

// Rate returns the refill in tokens a second.
func (b *Bucket) Rate() float64 {
	return b.rate
}

// Take charges tokens; ok is false when there are not enough, and nothing is charged.
func (b *Bucket) Take(tokens float64, now time.Duration) (c ChargeID, ok bool) {
	b.refill(now)
	if tokens > b.available {
		return 0, false
	}
	b.sequence++
	b.push(peak{sequence: b.sequence - 1, level: b.available})
	b.available -= tokens
	return b.sequence, true
}

// Return gives back the unused part of a charge and returns how much was credited.
func (b *Bucket) Return(c ChargeID, unused float64, now time.Duration) float64 {
	b.refill(now)
	if c <= b.lastVoidCharge || unused <= 0 {
		return 0
	}
	highest := b.available
	for i := range b.peakCount {
		if b.peaks[i].sequence >= c {
			highest = max(highest, b.peaks[i].level)
		}
	}
	credit := min(unused, b.burst-highest)
	if credit <= 0 {
		return 0
	}
	b.available += credit
	for i := range b.peakCount {
		if b.peaks[i].sequence >= c {
			b.peaks[i].level += credit
		}
	}
	return credit
}

// Resize changes rate and burst. The level never rises; earlier charges can't be returned any more.
func (b *Bucket) Resize(rate, burst float64, now time.Duration) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.available = min(b.available, burst)
	b.lastVoidCharge = b.sequence
	b.peakCount = 0
}

func (b *Bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.available = min(b.burst, b.available+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// push adds a level; lower ones before it are covered by it. When there is no room the two latest are
// merged to the higher level at the later place.
func (b *Bucket) push(p peak) {
	for b.peakCount > 0 && b.peaks[b.peakCount-1].level <= p.level {
		b.peakCount--
	}
	if b.peakCount == maxPeaks {
		b.peaks[maxPeaks-1].sequence = p.sequence
		return
	}
	b.peaks[b.peakCount] = p
	b.peakCount++
}
