// Package tracker holds the newest configuration and how long ago it was known to be current.
package tracker

import (
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// Tracker is safe for concurrent use.
type Tracker struct {
	clock clock.Clock

	mu sync.Mutex
	// active is nil until the first configuration; its version never falls.
	active *matcher.Matcher
	// confirmedAt is the latest time at which current was certainly the newest configuration; meaningful once current is set.
	confirmedAt time.Duration
	// storeConfirmedAt is the same by the own readings alone. Only this age is told to others: ages that are passed on look younger
	// by the time of each way.
	storeConfirmedAt time.Duration
}

// New returns a tracker without a configuration.
func New(c clock.Clock) *Tracker {
	return &Tracker{clock: c}
}

// Accept takes in a configuration that was the newest one at a time. An older version is ignored; it returns
// whether the configuration in force changed.
func (t *Tracker) Accept(m *matcher.Matcher, at time.Duration) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active != nil && m.Version() < t.active.Version() {
		return false
	}
	t.confirmedAt = max(t.confirmedAt, at)
	t.storeConfirmedAt = max(t.storeConfirmedAt, at)
	if t.active != nil && m.Version() == t.active.Version() {
		return false
	}
	t.active = m
	return true
}

// Confirm records that the version in force was the newest one at a time, as its source says.
func (t *Tracker) Confirm(at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmedAt = max(t.confirmedAt, at)
	t.storeConfirmedAt = max(t.storeConfirmedAt, at)
}

// ConfirmFromPeer records that a version was the newest one at a time, as a peer says that has read it from the source. It
// proves nothing for another version than the one in force.
func (t *Tracker) ConfirmFromPeer(version uint64, at time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == nil || version != t.active.Version() {
		return
	}
	t.confirmedAt = max(t.confirmedAt, at)
}

// StoreConfirmed returns the version in force and how long ago the own readings showed it to be the newest; the version is
// zero while none is known.
func (t *Tracker) StoreConfirmed() (version uint64, age time.Duration) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == nil {
		return 0, 0
	}
	return t.active.Version(), now - t.storeConfirmedAt
}

// Active returns the configuration in force and its age: the time since it was known to be the newest one. m is
// nil while none is known.
func (t *Tracker) Active() (m *matcher.Matcher, age time.Duration) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.active, now - t.confirmedAt
}
