// Package reserver accounts for the slots and KV memory of one endpoint: time-limited
// reservations, running work, and the release of all that a gone gateway owned.
package reserver

import (
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

// Key identifies one attempt of one request.
type Key struct {
	// Owner is the gateway with its incarnation.
	Owner   string
	Request uint64
	Attempt int
}

type hold struct {
	pieces int
	// expires is zero once the work runs.
	expires time.Duration
}

// Reserver is not safe for concurrent use.
type Reserver struct {
	slots    int
	free     int
	life     time.Duration
	draining bool
	holds    map[Key]hold
}

// New returns a reserver for an endpoint of that many slots and pieces of KV memory; a reservation
// that is not started within life expires.
func New(slots, pieces int, life time.Duration) *Reserver {
	return &Reserver{slots: slots, free: pieces, life: life, holds: make(map[Key]hold)}
}

// Reserve holds a slot and memory; false when there is no room or the endpoint drains.
// A repeated reservation of the same key is not held twice.
func (r *Reserver) Reserve(k Key, pieces int, now time.Duration) bool {
	if _, ok := r.holds[k]; ok {
		return true
	}
	if r.draining || len(r.holds) >= r.slots || r.free < pieces {
		return false
	}
	r.free -= pieces
	r.holds[k] = hold{pieces: pieces, expires: now + r.life}
	return true
}

// Start marks a reservation as running; false when it is not held any more.
func (r *Reserver) Start(k Key, now time.Duration) bool {
	h, ok := r.holds[k]
	if !ok || (h.expires != 0 && h.expires <= now) {
		return false
	}
	h.expires = 0
	r.holds[k] = h
	return true
}

// Release frees what the key holds; false when it holds nothing.
func (r *Reserver) Release(k Key) bool {
	h, ok := r.holds[k]
	if !ok {
		return false
	}
	r.free += h.pieces
	delete(r.holds, k)
	return true
}

// Expire frees the reservations that were not started in time and returns their keys.
func (r *Reserver) Expire(now time.Duration) []Key {
	return r.releaseWhere(func(_ Key, h hold) bool { return h.expires != 0 && h.expires <= now })
}

// ReleaseOwner frees all that a gone gateway incarnation holds and returns the keys.
func (r *Reserver) ReleaseOwner(owner string) []Key {
	return r.releaseWhere(func(k Key, _ hold) bool { return k.Owner == owner })
}

// Drain refuses new reservations from now on.
func (r *Reserver) Drain() {
	r.draining = true
}

// Load returns the present load.
func (r *Reserver) Load() endpoint.Load {
	return endpoint.Load{UsedSlots: len(r.holds), FreePieces: r.free}
}

func (r *Reserver) releaseWhere(match func(Key, hold) bool) []Key {
	var keys []Key
	for k, h := range r.holds {
		if match(k, h) {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a].Request < keys[b].Request })
	for _, k := range keys {
		r.Release(k)
	}
	return keys
}
