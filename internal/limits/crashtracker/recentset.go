package crashtracker

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/rotator"
)

const (
	// recentSetTime is how long a fingerprint stays in a recentSet at least, unless maxRecentFingerprints are added
	// sooner. It stays at most twice as long.
	recentSetTime         = 10 * time.Second
	maxRecentFingerprints = 2048
)

// recentSet is a bounded set of fingerprints that were added recently.
type recentSet struct {
	periods *rotator.Rotator[map[quarantiner.Fingerprint]bool]
}

func newRecentSet() *recentSet {
	return &recentSet{periods: rotator.New(recentSetTime, func() map[quarantiner.Fingerprint]bool {
		return map[quarantiner.Fingerprint]bool{}
	})}
}

// add adds a fingerprint.
func (s *recentSet) add(f quarantiner.Fingerprint, now time.Duration) {
	current, _ := s.periods.Periods(now)
	if len(current) >= maxRecentFingerprints {
		s.periods.Rotate(now)
		current, _ = s.periods.Periods(now)
	}
	current[f] = true
}

// contains reports whether a fingerprint was added recently.
func (s *recentSet) contains(f quarantiner.Fingerprint, now time.Duration) bool {
	current, previous := s.periods.Periods(now)
	return current[f] || previous[f]
}
