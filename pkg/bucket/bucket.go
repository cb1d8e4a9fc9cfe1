// Package bucket implements a token bucket whose charges can be partly returned without breaking its limit: in any
// window of time w, the charges less the returns are at most burst + rate*w.
//
// A return restores the level that the bucket would have now if the charge had been smaller from the start. If the
// bucket would have been full in the meantime, the returned tokens would have been lost, so they are not credited. To
// know this, the bucket remembers the highest level since each of its latest charges.
package bucket

import "time"

// maxPeaks limits the number of remembered levels. Further levels are merged with the last one, which can only reduce
// what is credited.
const maxPeaks = 8

// ChargeID identifies a charge, so that a part of it can be returned. Later charges have higher numbers.
type ChargeID uint64

// Bucket is a token bucket. It is not safe for concurrent use. Its times are durations since any fixed start; a time
// before that of an earlier call is treated as that time.
type Bucket struct {
	// rate is in tokens per second, burst in tokens; neither is negative.
	rate  float64
	burst float64
	// available is the number of tokens at refilledAt, at most burst.
	available  float64
	refilledAt time.Duration
	// lastCharge is the ID of the latest charge.
	lastCharge ChargeID
	// lastVoidCharge is the latest charge before the last Resize. Nothing is credited for it and earlier charges.
	lastVoidCharge ChargeID
	// peaks[:peakCount] holds the levels before earlier charges, oldest first. A level is dropped when a later one is
	// at least as high, so the levels are in descending order.
	peaks     [maxPeaks]peak
	peakCount int
}

// peak is the number of available tokens immediately before a charge.
type peak struct {
	// lastCharge is the ID of the latest charge before the level was reached. The level limits what is credited for
	// this charge and earlier ones.
	lastCharge ChargeID
	// level is in tokens.
	level float64
}

// New returns an empty bucket. rate is in tokens per second, burst in tokens.
func New(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, refilledAt: now}
}

// NewFull returns a full bucket. rate is in tokens per second, burst in tokens.
func NewFull(rate, burst float64, now time.Duration) Bucket {
	return Bucket{rate: rate, burst: burst, available: burst, refilledAt: now}
}

// AvailableTokens returns the number of tokens that can be taken now.
func (b *Bucket) AvailableTokens(now time.Duration) float64 {
	b.refill(now)
	return b.available
}

// Burst returns the capacity of the bucket in tokens.
func (b *Bucket) Burst() float64 {
	return b.burst
}

// Rate returns the refill rate in tokens per second.
func (b *Bucket) Rate() float64 {
	return b.rate
}

// Take charges tokens and returns the ID of the charge. If too few tokens are available, it charges nothing and ok is
// false.
func (b *Bucket) Take(tokens float64, now time.Duration) (c ChargeID, ok bool) {
	b.refill(now)
	if tokens > b.available {
		return 0, false
	}
	b.lastCharge++
	b.push(peak{lastCharge: b.lastCharge - 1, level: b.available})
	b.available -= tokens
	return b.lastCharge, true
}

// Return gives unused tokens of a charge back to the bucket and returns how many were credited. Tokens that the bucket
// could not have held in the meantime are not credited; see the package comment. Nothing is credited for charges made
// before the last Resize. The tokens returned for one charge must not exceed that charge in total.
func (b *Bucket) Return(c ChargeID, unused float64, now time.Duration) float64 {
	b.refill(now)
	if c <= b.lastVoidCharge || unused <= 0 {
		return 0
	}
	highest := b.available
	for i := range b.peakCount {
		if b.peaks[i].lastCharge >= c {
			highest = max(highest, b.peaks[i].level)
		}
	}
	credit := min(unused, b.burst-highest)
	if credit <= 0 {
		return 0
	}
	b.available += credit
	for i := range b.peakCount {
		if b.peaks[i].lastCharge >= c {
			b.peaks[i].level += credit
		}
	}
	return credit
}

// Resize changes the rate in tokens per second and the burst in tokens. Tokens above the new burst are lost. Charges
// made before can't be returned any more.
func (b *Bucket) Resize(rate, burst float64, now time.Duration) {
	b.refill(now)
	b.rate, b.burst = rate, burst
	b.available = min(b.available, burst)
	b.lastVoidCharge = b.lastCharge
	b.peakCount = 0
}

// refill adds the tokens that accumulated since the last refill, up to the burst.
func (b *Bucket) refill(now time.Duration) {
	if now <= b.refilledAt {
		return
	}
	b.available = min(b.burst, b.available+b.rate*(now-b.refilledAt).Seconds())
	b.refilledAt = now
}

// push adds a peak. It replaces earlier peaks that are not higher. If the array is full, the last two peaks are merged:
// the higher level is kept, with the later charge.
func (b *Bucket) push(p peak) {
	for b.peakCount > 0 && b.peaks[b.peakCount-1].level <= p.level {
		b.peakCount--
	}
	if b.peakCount == maxPeaks {
		b.peaks[maxPeaks-1].lastCharge = p.lastCharge
		return
	}
	b.peaks[b.peakCount] = p
	b.peakCount++
}
