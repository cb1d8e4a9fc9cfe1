// Package ejector computes how long an endpoint that failed is ejected, which means that it gets no new requests.
package ejector

import "time"

const (
	// minDuration is the length of the ejection after one failure. It doubles with each further consecutive failure, at
	// most maxDoublings times, and never exceeds maxDuration.
	minDuration  = 300 * time.Millisecond
	maxDuration  = 4 * time.Second
	maxDoublings = 4
)

// Duration returns how long an endpoint is ejected after a number of consecutive failures, which must be at least
// one.
func Duration(failures int) time.Duration {
	return min(maxDuration, minDuration<<min(failures-1, maxDoublings))
}
