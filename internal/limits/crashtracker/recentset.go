package crashtracker

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

const (
	// recentSetTime is how long a fingerprint stays in a recentSet at least, unless maxRecentFingerprints are added
	// sooner. It stays at most twice as long.
	recentSetTime         = 10 * time.Second
	maxRecentFingerprints = 2048
)

// recentSet is a bounded set of fingerprints that were added recently.
type recentSet struct {
	// current holds those added since rotatedAt, previous those added in the period before.
	current, previous map[quarantiner.Fingerprint]bool
	rotatedAt         time.Duration
}

func newRecentSet() *recentSet {
	return &recentSet{current: map[quarantiner.Fingerprint]bool{}, previous: map[quarantiner.Fingerprint]bool{}}
}

// add adds a fingerprint.
func (s *recentSet) add(f quarantiner.Fingerprint, now time.Duration) {
	s.expire(now)
	if len(s.current) >= maxRecentFingerprints {
		s.rotate(now)
	}
	s.current[f] = true
}

// contains reports whether a fingerprint was added recently.
func (s *recentSet) contains(f quarantiner.Fingerprint, now time.Duration) bool {
	s.expire(now)
	return s.current[f] || s.previous[f]
}

// expire drops what was added too long ago.
func (s *recentSet) expire(now time.Duration) {
	if now-s.rotatedAt > 2*recentSetTime {
		clear(s.current)
	}
	if now-s.rotatedAt > recentSetTime {
		s.rotate(now)
	}
}

// rotate begins a new period.
func (s *recentSet) rotate(now time.Duration) {
	s.current, s.previous = s.previous, s.current
	clear(s.current)
	s.rotatedAt = now
}
