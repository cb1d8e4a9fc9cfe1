// Package fencer makes the fencing tokens of orders to endpoints. An endpoint that checks tokens rejects an order whose
// token is lower than one it has seen, so that a late order of a former leader has no effect. Not all endpoints check
// them, and clocks of VMs differ and may be set back, so each gateway also learns the highest token from its peers.
package fencer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// A token is a time in units of tokenTimeUnit, followed by gatewayHashBits bits with a hash of the gateway's name.
	// Together they have less than 53 bits, so that a receiver may read them as a floating-point number.
	tokenTimeUnit   = 100 * time.Millisecond
	gatewayHashBits = 17
	// maxClockDifference is how far a token of a peer may be ahead of the own clock. Tokens further ahead are ignored: no
	// higher token could be made after them for a long time.
	maxClockDifference = time.Hour
)

// Fencer makes the tokens of one gateway. It is not safe for concurrent use.
type Fencer struct {
	// highest is the highest token that was made here or learned of, or zero.
	highest int64
}

// New returns a Fencer that knows no tokens.
func New() *Fencer {
	return &Fencer{}
}

// Highest returns the highest token that was made here or learned of. It is zero if there is none.
func (f *Fencer) Highest() int64 {
	return f.highest
}

// Observe records a token that a peer made or learned of.
func (f *Fencer) Observe(token int64, wallTime time.Time) {
	if token <= timePart(wallTime.Add(maxClockDifference)) {
		f.highest = max(f.highest, token)
	}
}

// Next returns a token that is higher than all known ones. Its low bits depend on the name of the gateway, so that two
// gateways do not make the same token.
func (f *Fencer) Next(gateway string, wallTime time.Time) int64 {
	const step = 1 << gatewayHashBits
	afterHighest := (f.highest/step + 1) * step
	hash := int64(xxhash.Sum64String(gateway) % step)
	f.highest = max(afterHighest, timePart(wallTime)) + hash
	return f.highest
}

// timePart returns the token of a time with a hash of zero.
func timePart(t time.Time) int64 {
	return t.UnixMilli() / tokenTimeUnit.Milliseconds() << gatewayHashBits
}
