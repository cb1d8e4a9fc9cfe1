package lister

import (
	"maps"
	"slices"
	"time"
)

// Options configures a Lister.
type Options struct {
	// AbsentGrace is how long an endpoint is kept that a restored store lacks: it was listed in the seconds that were lost, and writes
	// its entry again if it runs.
	AbsentGrace time.Duration
	// RestoredGrace is how long the entry of an endpoint that has left must stay in a restored store before it counts: the
	// endpoint says again that it leaves, or its entry expires.
	RestoredGrace time.Duration
}

// heldEntry is an entry that is to be applied at dueAt, unless a newer one is known by then.
type heldEntry struct {
	entry Entry
	dueAt time.Duration
}

// hold holds an entry until dueAt, or until the time until which one like it is held already.
func (l *Lister) hold(e Entry, dueAt time.Duration) {
	if h, ok := l.held[e.Key]; ok && h.entry.Removed == e.Removed {
		dueAt = min(dueAt, h.dueAt)
	}
	l.held[e.Key] = heldEntry{entry: e, dueAt: dueAt}
}

// restoresLeft reports whether an entry of a later era would bring back an endpoint that has left, as far as the earlier one says.
func (l *Lister) restoresLeft(e Entry) bool {
	old, known := l.entries[e.Key]
	if !known || e.Revision.Era <= old.Revision.Era || e.Removed || e.Endpoint.Leaving {
		return false
	}
	if old.Removed {
		return e.Endpoint.isSameStart(l.removed[e.Key].endpoint)
	}
	return old.Endpoint.Leaving && e.Endpoint.isSameStart(old.Endpoint)
}

// isSameStart reports whether two entries are of the same start of an endpoint.
func (e Endpoint) isSameStart(other Endpoint) bool {
	return e.ID == other.ID && e.StartedAtMs == other.StartedAtMs
}

// isOlderThanHeld reports whether a newer entry with the key is held.
func (l *Lister) isOlderThanHeld(e Entry) bool {
	h, ok := l.held[e.Key]
	return ok && e.Revision.Compare(h.entry.Revision) < 0
}

// HeldKeys returns the keys of the entries that are held, in order.
func (l *Lister) HeldKeys() []string {
	return slices.Sorted(maps.Keys(l.held))
}

// ReleaseHeld applies the held entries that are due and returns those that changed the list of endpoints.
func (l *Lister) ReleaseHeld(now time.Duration) (changed []Entry) {
	for _, key := range l.HeldKeys() {
		h := l.held[key]
		if now < h.dueAt {
			continue
		}
		delete(l.held, key)
		if l.Apply(h.entry, now) {
			changed = append(changed, h.entry)
		}
	}
	return changed
}
