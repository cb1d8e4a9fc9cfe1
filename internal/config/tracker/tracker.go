// Package tracker holds the active configuration and the time at which it was last confirmed to be the newest one.
package tracker

import (
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// Unconfirmed is the age of a configuration of which nothing says that it is the newest.
const Unconfirmed = 24 * 365 * time.Hour

// newerRetention is how long a newer version that a peer is known to have keeps the active one from being confirmed.
const newerRetention = 30 * time.Second

// Tracker holds the active configuration and its confirmations. It is safe for concurrent use; mu protects the fields
// below it.
type Tracker struct {
	clock clock.Clock

	mu sync.Mutex
	// active is nil until the first configuration is accepted. Its version never decreases.
	active *matcher.Matcher
	// readEra is the latest era of the store in which active was read.
	readEra uint64
	// own holds the confirmations of active by the store, and all those by the store or by a peer. Only the age of own is sent
	// to peers: an age that peers pass on gets too low by the transit time of each message.
	own, all confirmation
	// newer is the newest version that a peer is known to have and that was newer than active at that time. It is zero if there is none, and
	// forgotten after newerUntil.
	newer      uint64
	newerUntil time.Duration
	// listening is set while peers may still tell of a newer version than the first that was read.
	listening bool
}

// confirmation says that a configuration was certainly the newest at a time.
type confirmation struct {
	// known is false if there was none. The other fields have no meaning then.
	known bool
	at    time.Duration
	// era is the latest era of the store that a confirmation came from.
	era uint64
}

// add adds a confirmation by the store in an era.
func (c *confirmation) add(at time.Duration, era uint64) {
	if c.known {
		at, era = max(at, c.at), max(era, c.era)
	}
	*c = confirmation{known: true, at: at, era: era}
}

// age returns the time since the confirmation.
func (c *confirmation) age(now time.Duration) time.Duration {
	if !c.known {
		return Unconfirmed
	}
	return now - c.at
}

// Report is what a gateway tells its peers of its configuration.
type Report struct {
	// Version is the active version, or zero without a configuration.
	Version uint64
	// Age is the time since the store last confirmed to the gateway that it is the newest.
	Age time.Duration
	// ReadEra is the latest era of the store in which the version was read, and ConfirmedEra that in which it was confirmed.
	// ErasKnown is false if the peer did not say.
	ReadEra, ConfirmedEra uint64
	ErasKnown             bool
}

// New returns a Tracker without a configuration.
func New(c clock.Clock) *Tracker {
	return &Tracker{clock: c}
}

// Accept makes a configuration the active one. currentAt is a time at which the store held it as the newest, in an era. A version
// older than the active one is ignored; the same version counts as a confirmation. It returns whether the active
// configuration changed.
func (t *Tracker) Accept(m *matcher.Matcher, currentAt time.Duration, era uint64) (changed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active != nil && m.Version() < t.active.Version() {
		t.confirmLost(currentAt, era)
		return false
	}
	changed = t.active == nil || m.Version() > t.active.Version()
	if changed {
		t.active = m
	}
	t.readEra = max(t.readEra, era)
	t.confirm(currentAt, era)
	return changed
}

// Confirm records that the store held nothing newer than the active configuration at the given time, in an era.
func (t *Tracker) Confirm(at time.Duration, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirm(at, era)
}

// ConfirmMissing records that the store held no configuration at the given time, in an era.
func (t *Tracker) ConfirmMissing(at time.Duration, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmLost(at, era)
}

// confirmLost records that the store held an older version than the active one, or none. If it was restored since that was read, it
// has lost it, and nothing newer has been written since. Otherwise the answer is odd and confirms nothing. The lock must be held.
func (t *Tracker) confirmLost(at time.Duration, era uint64) {
	if t.active != nil && era > t.readEra {
		t.confirm(at, era)
	}
}

// confirm records a confirmation by the store, unless a peer is known to have a newer version. The lock must be held.
func (t *Tracker) confirm(at time.Duration, era uint64) {
	if t.isSuperseded() {
		return
	}
	t.own.add(at, era)
	t.all.add(at, era)
}

// isSuperseded reports whether a peer is known to have a newer version. The lock must be held.
func (t *Tracker) isSuperseded() bool {
	return t.active != nil && t.newer > t.active.Version() && t.clock() < t.newerUntil
}

// ConfirmFromPeer records that the store has confirmed the version of a peer to it at the given time. It has no effect if that is
// not the active version, or if another peer is known to have a newer one. previous is the time at which it was last confirmed
// before, and confirmed is set if it is confirmed as of a later time now.
func (t *Tracker) ConfirmFromPeer(r Report, at time.Duration) (previous time.Duration, confirmed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous = t.clock() - t.all.age(t.clock())
	if t.active == nil || r.Version != t.active.Version() || t.isSuperseded() || at <= previous {
		return previous, false
	}
	t.all.add(at, r.ConfirmedEra)
	return previous, true
}

// RecordPeer records the version of a peer. From then on the active version, if older, is not confirmed any more. If the peer has
// read its version in an earlier era than that in which the active one was confirmed, the store had lost the newer one by then, and
// the confirmations are void. It returns whether that is so.
func (t *Tracker) RecordPeer(r Report) (void bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Version > 0 && r.Age < Unconfirmed {
		t.listening = false
	}
	if t.active != nil && r.Version <= t.active.Version() {
		return false
	}
	t.newer, t.newerUntil = max(t.newer, r.Version), t.clock()+newerRetention
	if !r.ErasKnown || !t.all.known || r.ReadEra >= t.all.era {
		return false
	}
	t.own, t.all = confirmation{}, confirmation{}
	return true
}

// Listen makes the configuration count as unconfirmed until a peer has told a confirmed version, or StopListening is called. A
// process that starts after a restore of the store may read an older version than its peers know.
func (t *Tracker) Listen() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listening = true
}

// StopListening ends what Listen began. It returns whether that had not ended before.
func (t *Tracker) StopListening() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	was := t.listening
	t.listening = false
	return was
}

// Report returns what is to be told to peers.
func (t *Tracker) Report() Report {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == nil {
		return Report{}
	}
	r := Report{
		Version: t.active.Version(), Age: t.own.age(now), ReadEra: t.readEra, ConfirmedEra: t.own.era, ErasKnown: true,
	}
	if t.listening {
		r.Age = Unconfirmed
	}
	return r
}

// Active returns the active configuration and its age, the time since the store or a peer last confirmed it. m is nil
// if there is none. The age is Unconfirmed if nothing says that it is the newest.
func (t *Tracker) Active() (m *matcher.Matcher, age time.Duration) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listening {
		return t.active, Unconfirmed
	}
	return t.active, t.all.age(now)
}
