// Package lister holds the endpoints that the platform lists.
package lister

import (
	"sort"
	"time"
)

// Endpoint is one start of an endpoint.
type Endpoint struct {
	// ID names one start of the endpoint; a request that expects another one is not run.
	ID      string
	Address string
	Service string
	Domain  string
	Slots   int
	// Leaving endpoints take no new work.
	Leaving bool
	// Model is set for endpoints of model services; Prefill tells whether they only read prompts.
	Model   bool
	Prefill bool
}

// Entry is an endpoint under its key, as of a revision of the store.
type Entry struct {
	Key      string
	Revision uint64
	// Removed is set where the entry was removed.
	Removed  bool
	Endpoint Endpoint
}

// Lister holds the endpoint list, from own readings and from those of other gateways. For each key the newest
// revision counts, wherever it came from. It is not safe for concurrent use.
type Lister struct {
	entries map[string]Entry
	// changedAt is when each key changed last, for passing on.
	changedAt map[string]time.Duration
}

// New returns an empty list.
func New() *Lister {
	return &Lister{entries: map[string]Entry{}, changedAt: map[string]time.Duration{}}
}

// Apply takes in an entry and tells whether it changed the list.
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

// Keys returns the keys of all endpoints that are there.
func (l *Lister) Keys() []string {
	var out []string
	for key, e := range l.entries {
		if !e.Removed {
			out = append(out, key)
		}
	}
	return out
}

// Endpoints returns all endpoints that are there.
func (l *Lister) Endpoints() []Endpoint {
	out := make([]Endpoint, 0, len(l.entries))
	for _, e := range l.entries {
		if !e.Removed {
			out = append(out, e.Endpoint)
		}
	}
	return out
}

// ForgetChanges counts all changes so far as old: everybody reads the whole list at its start.
func (l *Lister) ForgetChanges() {
	clear(l.changedAt)
}

// RecentChanges returns the entries that changed within a time, the latest first and at most so many. Removed ones are forgotten
// after the keep time.
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
