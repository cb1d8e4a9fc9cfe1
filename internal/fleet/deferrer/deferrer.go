// Package deferrer decides how long the removal of entries is deferred after an outage of the store. Entries expire
// while their owners cannot write to the store, although the owners still run; they write again soon after its return.
package deferrer

import "time"

// Options configures a Deferrer.
type Options struct {
	// Grace is the time after the store's return in which owners write their entries again.
	Grace time.Duration
	// HeartbeatInterval is how often owners write their entries.
	HeartbeatInterval time.Duration
}

// missedHeartbeats is how many heartbeats an outage must last at least to let the entry of a running owner expire.
const missedHeartbeats = 2

// minLostCalls is how many calls in a row fail at least if the store is lost. A single one may be a watch that was cut.
const minLostCalls = 2

// MinOutage returns the shortest outage in which entries expire although their owners run.
func (o Options) MinOutage() time.Duration {
	return missedHeartbeats * o.HeartbeatInterval
}

// removal is a removal that was read and not applied yet.
type removal struct {
	readAt time.Duration
	// dueAt is when the removal is applied.
	dueAt time.Duration
	// expired is true if the owner may not have had time for a heartbeat between the outage and the removal. Such a removal
	// is applied only when the store has answered after dueAt, and it is deferred again if the store is lost meanwhile.
	expired bool
}

// Deferrer holds the removals that are deferred. It is not safe for concurrent use.
type Deferrer struct {
	options Options
	// lastHeardAt is when the latest answer of the store was received. Any longer time without an answer may have been an
	// outage: a watch that survives one ends like any other.
	lastHeardAt time.Duration
	// returnedAt is when the first answer after the latest outage was received, and graceEndsAt when the grace time after
	// it ends.
	returnedAt  time.Duration
	graceEndsAt time.Duration
	// removals holds the deferred removals by key.
	removals map[string]removal
}

// New returns a Deferrer without removals. now is the time from which the store may have been away.
func New(o Options, now time.Duration) *Deferrer {
	return &Deferrer{options: o, lastHeardAt: now, graceEndsAt: now, removals: map[string]removal{}}
}

// RecordAnswer records that the store has answered, and how many calls failed since the previous answer. It returns the
// time since that answer.
func (d *Deferrer) RecordAnswer(now time.Duration, failures int) (silence time.Duration) {
	silence = now - d.lastHeardAt
	lostInGrace := failures >= minLostCalls && d.lastHeardAt < d.graceEndsAt
	d.lastHeardAt = now
	if failures > 0 {
		d.extendExpired(now)
	}
	if lostInGrace || silence >= d.options.MinOutage() {
		d.startGrace(now)
	}
	return silence
}

// RecordRestore records that the store was found restored from a copy. Whatever was written after the copy is missing until its
// owners write it again, as after an outage.
func (d *Deferrer) RecordRestore(now time.Duration) {
	d.extendExpired(now)
	d.startGrace(now)
}

// startGrace starts the grace time after a return of the store at now.
func (d *Deferrer) startGrace(now time.Duration) {
	d.returnedAt = now
	d.graceEndsAt = now + d.options.Grace
}

// extendExpired defers the removal of expired entries until the grace time after a return of the store at now ends.
func (d *Deferrer) extendExpired(now time.Duration) {
	for key, r := range d.removals {
		if r.expired {
			r.dueAt = now + d.options.Grace
			d.removals[key] = r
		}
	}
}

// Defer decides whether a removal that was read now must be deferred, and records it then. added is false if the removal
// was known before.
func (d *Deferrer) Defer(key string, now time.Duration) (deferred, added bool) {
	if _, ok := d.removals[key]; ok {
		return true, false
	}
	if now >= d.graceEndsAt {
		return false, false
	}
	d.removals[key] = removal{readAt: now, expired: now <= d.returnedAt+d.options.HeartbeatInterval, dueAt: d.graceEndsAt}
	return true, true
}

// Cancel drops the removal of an entry that was written again.
func (d *Deferrer) Cancel(key string) {
	delete(d.removals, key)
}

// GraceEndsAt returns when the grace time after the latest outage ends.
func (d *Deferrer) GraceEndsAt() time.Duration {
	return d.graceEndsAt
}

// NextDue returns when the next removal is due that is applied whether the store answers or not. ok is false if none is.
func (d *Deferrer) NextDue() (at time.Duration, ok bool) {
	return d.earliest(false)
}

// NextCall returns when the store must be called, at the latest, to decide on the removal of expired entries. ok is false
// if there are none.
func (d *Deferrer) NextCall() (at time.Duration, ok bool) {
	return d.earliest(true)
}

// earliest returns the earliest time at which a removal of expired entries, or of others, is due.
func (d *Deferrer) earliest(expired bool) (at time.Duration, ok bool) {
	for _, r := range d.removals {
		if r.expired == expired && (!ok || r.dueAt < at) {
			at, ok = r.dueAt, true
		}
	}
	return at, ok
}

// TakeDue removes and returns the keys whose removal is to be applied now, and the longest time for which one of them was
// deferred.
func (d *Deferrer) TakeDue(now time.Duration) (keys []string, deferredFor time.Duration) {
	for key, r := range d.removals {
		if now < r.dueAt || (r.expired && d.lastHeardAt < r.dueAt) {
			continue
		}
		delete(d.removals, key)
		keys = append(keys, key)
		deferredFor = max(deferredFor, now-r.readAt)
	}
	return keys, deferredFor
}
