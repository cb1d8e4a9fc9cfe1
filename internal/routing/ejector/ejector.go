// Package ejector tells how long a failed endpoint is left alone.
package ejector

import "time"

const (
	// minDuration and most bound the time that a failed endpoint is left alone; doublings bounds how often the least is doubled.
	minDuration  = 300 * time.Millisecond
	maxDuration  = 4 * time.Second
	maxDoublings = 4
)

// Duration returns how long an endpoint is left alone after so many failures in a row, one at least.
func Duration(failures int) time.Duration {
	return min(maxDuration, minDuration<<min(failures-1, maxDoublings))
}
