// Package revoker spreads the news that API keys were withdrawn. A gateway that can't read the configuration any more goes on
// accepting keys by the version that it has, as long as that may be the newest. Peers that have read a newer one tell it which
// keys that version does not hold any more, so that it refuses them at once and goes on accepting all others.
package revoker

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
)

const (
	// announceTime is how long a gateway announces the keys that a version withdrew, after it has read the version.
	announceTime = 10 * time.Second
	// MaxKeys limits the keys of an announcement. If a version withdraws more, the others are not announced.
	MaxKeys = 64
	// maxKnown limits the keys of which a gateway has heard that newer versions withdrew them.
	maxKnown = 4096
)

// Announcement says which keys a version of the configuration withdrew.
type Announcement struct {
	Version uint64 `json:"v"`
	// Keys holds the first 64 bits of the digests of the keys.
	Keys []uint64 `json:"k"`
}

// Check fails if the announcement has more keys than MaxKeys.
func (a Announcement) Check() error {
	if len(a.Keys) > MaxKeys {
		return errors.Errorf("version %d withdraws %d keys, want at most %d in a message", a.Version, len(a.Keys), MaxKeys)
	}
	return nil
}

// Revoker holds the withdrawn keys. It is not safe for concurrent use. Its times are readings of one monotonic clock.
type Revoker struct {
	// active is the active configuration, or nil.
	active *matcher.Matcher
	// announced holds the keys that the active version has withdrawn, or others shortly before it. They are announced until
	// announcedUntil.
	announced      []catalog.Digest
	announcedUntil time.Duration
	// withdrawnIn holds, by key, the newest version that is known to have withdrawn it.
	withdrawnIn map[uint64]uint64
}

// New returns a Revoker without a configuration.
func New() *Revoker {
	return &Revoker{withdrawnIn: map[uint64]uint64{}}
}

// Activate records that a configuration is active now. What peers have said of it and of older ones is forgotten.
func (r *Revoker) Activate(m *matcher.Matcher, now time.Duration) {
	if r.active != nil {
		r.announce(r.active, m, now)
	}
	r.active = m
	for key, version := range r.withdrawnIn {
		if version <= m.Version() {
			delete(r.withdrawnIn, key)
		}
	}
}

// announce makes Announcements return the keys that a configuration no longer holds, and those that were announced shortly
// before and that it does not hold either.
func (r *Revoker) announce(old, m *matcher.Matcher, now time.Duration) {
	var earlier []catalog.Digest
	if now < r.announcedUntil {
		earlier = r.announced
	}
	r.announced = nil
	for key := range old.Keys() {
		if !m.HoldsKey(key) {
			r.announced = append(r.announced, key)
		}
	}
	for _, key := range earlier {
		if !m.HoldsKey(key) && !slices.Contains(r.announced, key) {
			r.announced = append(r.announced, key)
		}
	}
	r.announced = r.announced[:min(len(r.announced), MaxKeys)]
	r.announcedUntil = now + announceTime
}

// Announcements returns what is to be told to peers.
func (r *Revoker) Announcements(now time.Duration) []Announcement {
	if len(r.announced) == 0 || now >= r.announcedUntil {
		return nil
	}
	a := Announcement{Version: r.active.Version()}
	for _, key := range r.announced {
		a.Keys = append(a.Keys, short(key))
	}
	return []Announcement{a}
}

// Receive records announcements of a peer. Those of the active version and of older ones are ignored, and so are keys beyond
// maxKnown.
func (r *Revoker) Receive(announcements []Announcement) {
	if r.active == nil {
		return
	}
	for _, a := range announcements {
		if a.Version <= r.active.Version() {
			continue
		}
		for _, key := range a.Keys {
			if _, known := r.withdrawnIn[key]; known || len(r.withdrawnIn) < maxKnown {
				r.withdrawnIn[key] = max(r.withdrawnIn[key], a.Version)
			}
		}
	}
}

// IsWithdrawn reports whether a newer version than the active one is known to have withdrawn a key.
func (r *Revoker) IsWithdrawn(key string) bool {
	if len(r.withdrawnIn) == 0 {
		return false
	}
	_, withdrawn := r.withdrawnIn[short(catalog.DigestOf(key))]
	return withdrawn
}

// short returns the first 64 bits of a digest.
func short(d catalog.Digest) uint64 {
	return binary.BigEndian.Uint64(d[:])
}
