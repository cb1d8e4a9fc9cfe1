// Package reserver keeps account of the slots and the KV cache memory of one endpoint. A gateway reserves a slot and
// memory for an attempt, starts it within a time limit and releases it. Everything that a disconnected gateway reserved
// can be released at once.
package reserver

import (
	"sort"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

// Key identifies one attempt of a request.
type Key struct {
	// Owner identifies the incarnation of the gateway that owns the request.
	Owner string
	// Request is the ID of the request, unique for its owner.
	Request uint64
	// Attempt is the number of the attempt of the request.
	Attempt int
}

// reservation is a slot and memory that an attempt holds, before and after its start.
type reservation struct {
	// pieces is the reserved KV cache memory, in pieces.
	pieces int
	// expiresAt is when the reservation expires if the attempt has not started; zero after the start.
	expiresAt time.Duration
}

// Reserver holds the reservations of one endpoint. It is not safe for concurrent use. Its times are durations since any
// fixed start.
type Reserver struct {
	// slots is the number of attempts that the endpoint can hold at a time.
	slots int
	// freePieces is the KV cache memory that is not reserved, in pieces.
	freePieces int
	// startTimeout is how long a reservation is kept without a start.
	startTimeout time.Duration
	// draining is set when further reservations are rejected.
	draining     bool
	reservations map[Key]reservation
	// usedSlots holds the number of reservations of each owner that has any.
	usedSlots map[string]int
	// firstComeFirstServed is set if no slots are held for owners that were refused one.
	firstComeFirstServed bool
	// refusedAt holds, by owner, the time of the latest reservation that was refused for lack of capacity, if none was
	// granted since.
	refusedAt map[string]time.Duration
}

const (
	// ownerHoldTime is how long a slot is held for an owner that was refused one. Owners try again every 100 ms.
	ownerHoldTime = 250 * time.Millisecond
	// minSlotLead is how many slots more than that owner another one has at least if it must leave the slot to it.
	minSlotLead = 2
)

// New returns a reserver for an endpoint with the given number of slots and of pieces of KV cache memory. A reservation
// that is not started within startTimeout expires.
func New(slots, pieces int, startTimeout time.Duration) *Reserver {
	return &Reserver{
		slots: slots, freePieces: pieces, startTimeout: startTimeout, reservations: make(map[Key]reservation),
		usedSlots: make(map[string]int), refusedAt: make(map[string]time.Duration),
	}
}

// ServeFirstCome makes Reserve hold no slots for owners that were refused one. It exists as a baseline for comparisons.
func (r *Reserver) ServeFirstCome() {
	r.firstComeFirstServed = true
}

// Reserve reserves a slot and the given number of pieces for an attempt. It returns false if no slot is free, too few
// pieces are free, the endpoint is draining, or the free slots are held for other owners. Repeating a reservation has no
// effect and returns true.
func (r *Reserver) Reserve(k Key, pieces int, now time.Duration) bool {
	if _, ok := r.reservations[k]; ok {
		return true
	}
	if r.draining || len(r.reservations) >= r.slots || r.freePieces < pieces {
		r.refusedAt[k.Owner] = now
		return false
	}
	if r.slots-len(r.reservations) <= r.heldSlots(k.Owner, now) {
		return false
	}
	delete(r.refusedAt, k.Owner)
	r.freePieces -= pieces
	r.usedSlots[k.Owner]++
	r.reservations[k] = reservation{pieces: pieces, expiresAt: now + r.startTimeout}
	return true
}

// heldSlots returns the number of slots that are held for other owners which were refused one lately and have fewer than
// this owner. Without this, the owner whose request ends learns first that a slot is free and takes it again: once an owner
// has few slots, it stays so, and its requests wait while those of others are served.
func (r *Reserver) heldSlots(owner string, now time.Duration) int {
	if r.firstComeFirstServed {
		return 0
	}
	held := 0
	for other, at := range r.refusedAt {
		switch {
		case now-at > ownerHoldTime:
			delete(r.refusedAt, other)
		case other != owner && r.usedSlots[other]+minSlotLead <= r.usedSlots[owner]:
			held++
		}
	}
	return held
}

// Start marks an attempt as started, so that its reservation does not expire any more. It returns false if there is no
// reservation or it has expired.
func (r *Reserver) Start(k Key, now time.Duration) bool {
	res, ok := r.reservations[k]
	if !ok || (res.expiresAt != 0 && res.expiresAt <= now) {
		return false
	}
	res.expiresAt = 0
	r.reservations[k] = res
	return true
}

// Release frees the slot and memory of an attempt. It returns false if there is no reservation.
func (r *Reserver) Release(k Key) bool {
	res, ok := r.reservations[k]
	if !ok {
		return false
	}
	r.freePieces += res.pieces
	r.usedSlots[k.Owner]--
	if r.usedSlots[k.Owner] == 0 {
		delete(r.usedSlots, k.Owner)
	}
	delete(r.reservations, k)
	return true
}

// Expire releases the reservations that were not started in time and returns their keys, ordered by request. It must be
// called regularly, because expired reservations hold slots and memory until then.
func (r *Reserver) Expire(now time.Duration) []Key {
	return r.releaseWhere(func(_ Key, res reservation) bool { return res.expiresAt != 0 && res.expiresAt <= now })
}

// ReleaseOwner releases all reservations of an owner, which has disconnected, and returns their keys, ordered by
// request.
func (r *Reserver) ReleaseOwner(owner string) []Key {
	delete(r.refusedAt, owner)
	return r.releaseWhere(func(k Key, _ reservation) bool { return k.Owner == owner })
}

// Drain makes Reserve reject all further reservations.
func (r *Reserver) Drain() {
	r.draining = true
}

// Load returns the number of used slots and of free pieces of KV cache memory. The backlog is not known here and always
// zero.
func (r *Reserver) Load() endpoint.Load {
	return endpoint.Load{UsedSlots: len(r.reservations), FreePieces: r.freePieces}
}

// releaseWhere releases the reservations for which match returns true and returns their keys, ordered by request.
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
