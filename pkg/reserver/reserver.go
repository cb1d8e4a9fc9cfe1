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

type reservation struct {
	pieces int
	// expiresAt is zero once the work runs.
	expiresAt time.Duration
}

// Reserver is not safe for concurrent use.
type Reserver struct {
	slots        int
	freePieces   int
	startTimeout time.Duration
	draining     bool
	reservations map[Key]reservation
}

// New returns a reserver for an endpoint of that many slots and pieces of KV memory; a reservation
// that is not started within life expires.
func New(slots, pieces int, startTimeout time.Duration) *Reserver {
	return &Reserver{slots: slots, freePieces: pieces, startTimeout: startTimeout, reservations: make(map[Key]reservation)}
}

// Reserve holds a slot and memory; false when there is no room or the endpoint drains.
// A repeated reservation of the same key is not held twice.
func (r *Reserver) Reserve(k Key, pieces int, now time.Duration) bool {
	if _, ok := r.reservations[k]; ok {
		return true
	}
	if r.draining || len(r.reservations) >= r.slots || r.freePieces < pieces {
		return false
	}
	r.freePieces -= pieces
	r.reservations[k] = reservation{pieces: pieces, expiresAt: now + r.startTimeout}
	return true
}

// Start marks a reservation as running; false when it is not held any more.
func (r *Reserver) Start(k Key, now time.Duration) bool {
	res, ok := r.reservations[k]
	if !ok || (res.expiresAt != 0 && res.expiresAt <= now) {
		return false
	}
	res.expiresAt = 0
	r.reservations[k] = res
	return true
}

// Release frees what the key holds; false when it holds nothing.
func (r *Reserver) Release(k Key) bool {
	res, ok := r.reservations[k]
	if !ok {
		return false
	}
	r.freePieces += res.pieces
	delete(r.reservations, k)
	return true
}

// Expire frees the reservations that were not started in time and returns their keys.
func (r *Reserver) Expire(now time.Duration) []Key {
	return r.releaseWhere(func(_ Key, res reservation) bool { return res.expiresAt != 0 && res.expiresAt <= now })
}

// ReleaseOwner frees all that a gone gateway incarnation holds and returns the keys.
func (r *Reserver) ReleaseOwner(owner string) []Key {
	return r.releaseWhere(func(k Key, _ reservation) bool { return k.Owner == owner })
}

// Drain refuses new reservations from now on.
func (r *Reserver) Drain() {
	r.draining = true
}

// Load returns the present load.
func (r *Reserver) Load() endpoint.Load {
	return endpoint.Load{UsedSlots: len(r.reservations), FreePieces: r.freePieces}
}

func (r *Reserver) releaseWhere(match func(Key, reservation) bool) []Key {
	var keys []Key
	for k, res := range r.reservations {
		if match(k, res) {
			keys = append(keys, k)
		}
	}
	sort.Slice(keys, func(a, b int) bool { return keys[a].Request < keys[b].Request })
	for _, k := range keys {
		r.Release(k)
	}
	return keys
}
