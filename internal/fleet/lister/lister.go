// Package lister holds the list of endpoints that the platform publishes in its store. Changes come from the store and
// from peers that have read them earlier.
package lister

import (
	"sort"
	"time"
)

// Endpoint is one incarnation of an endpoint as the platform lists it. It is encoded in messages between gateways and
// in the state dump under its field names, so these must not change.
type Endpoint struct {
	// ID identifies this incarnation of the endpoint. An endpoint rejects requests that are addressed to another
	// incarnation.
	ID      string
	Address string
	Service string
	// Domain is the failure domain that the endpoint runs in.
	Domain string
	// Slots is the number of requests that the endpoint runs at the same time.
	Slots int
	// StartedAtMs is the Unix time of the start of this incarnation in ms, or zero if it is not known. An endpoint may
	// start again under its ID.
	StartedAtMs int64 `json:",omitempty"`
	// Leaving is true if the endpoint must get no new requests because it is about to stop.
	Leaving bool
	// Model is true for endpoints of model services. Prefill is true for those that only prefill prompts.
	Model   bool
	Prefill bool
}

// Entry is an endpoint under its key in the store, as of a revision of the store.
type Entry struct {
	Key      string
	Revision uint64
	// Removed is true if the entry was removed; Endpoint is empty then.
	Removed  bool
	Endpoint Endpoint
}

// Lister holds the newest known entry of each key. Of two entries the one with the higher revision wins, whether it was
// read from the store or received from a peer. It is not safe for concurrent use.
type Lister struct {
	// entries holds the listed endpoints, and the removed ones for a while so that older entries cannot restore them.
	entries map[string]Entry
	// changedAt holds, by key, the time of the latest change. It selects the changes to send to peers.
	changedAt map[string]time.Duration
}

// New returns an empty Lister.
func New() *Lister {
	return &Lister{entries: map[string]Entry{}, changedAt: map[string]time.Duration{}}
}

// Apply stores an entry unless a newer one is known, and returns whether the list of endpoints changed. A new revision
// without a change of the endpoint, such as a heartbeat, is stored but is no change.
func (l *Lister) Apply(e Entry, now time.Duration) bool {
	old, known := l.entries[e.Key]
	if known && e.Revision < old.Revision {
		return false
	}
	l.entries[e.Key] = e
	if known && old.Removed == e.Removed && old.Endpoint == e.Endpoint {
		return false
	}
	if !known && e.Removed {
		return false
	}
	l.changedAt[e.Key] = now
	return true
}

// Keys returns the keys of all entries that are not removed, in no particular order.
func (l *Lister) Keys() []string {
	var out []string
	for key, e := range l.entries {
		if !e.Removed {
			out = append(out, key)
		}
	}
	return out
}

// Endpoints returns all endpoints that are not removed, in no particular order.
func (l *Lister) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(l.entries))
	for _, e := range l.entries {
		if !e.Removed {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// ForgetChanges excludes all changes so far from RecentChanges. It is called after the first read of the list, which
// peers need not be sent because each gateway reads the whole list at its start.
func (l *Lister) ForgetChanges() {
	clear(l.changedAt)
}

// RecentChanges returns at most maxEntries entries that changed within maxAge, the latest first. It also drops the
// removed entries whose change is older than removedRetention.
func (l *Lister) RecentChanges(maxAge, removedRetention, now time.Duration, maxEntries int) []Entry {
	var out []Entry
	for key, at := range l.changedAt {
		if now-at <= maxAge {
			out = append(out, l.entries[key])
			continue
		}
		if now-at > removedRetention {
			delete(l.changedAt, key)
			if l.entries[key].Removed {
				delete(l.entries, key)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return l.changedAt[out[i].Key] > l.changedAt[out[j].Key] })
	return out[:min(maxEntries, len(out))]
}
