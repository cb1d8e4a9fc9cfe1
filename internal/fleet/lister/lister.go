// Package lister holds the list of endpoints that the platform publishes in its store. Changes come from the store and
// from peers that have read them earlier.
package lister

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
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

// Check fails if requests can't be sent to the endpoint: it has no ID, service or slots, or its address or a number is
// impossible. Entries may come from any writer to the store.
func (e Endpoint) Check() error {
	if e.ID == "" || e.Service == "" || e.Slots == 0 {
		return errors.New("endpoint has no id, service or slots")
	}
	if e.StartedAtMs < 0 {
		return errors.Errorf("endpoint %q started at %d ms", e.ID, e.StartedAtMs)
	}
	if err := endpoint.CheckAddress(e.Address); err != nil {
		return errors.Wrapf(err, "endpoint %q", e.ID)
	}
	return errors.Wrapf(endpoint.CheckSlots(e.Slots), "endpoint %q", e.ID)
}

// Entry is an endpoint under its key in the store, as of a revision of the store.
type Entry struct {
	Key      string
	Revision revision.Revision
	// Removed is true if the entry was removed; Endpoint is empty then.
	Removed  bool
	Endpoint Endpoint
}

// Lister holds the newest known entry of each key. Of two entries the one with the newer revision wins, whether it was
// read from the store or received from a peer. It is not safe for concurrent use.
type Lister struct {
	// era is the latest era of the store of which the whole list has been read. Entries of earlier ones are not taken over.
	era uint64

	options Options
	// entries holds the listed endpoints, and the removed ones for a while so that older entries cannot restore them.
	entries map[string]Entry
	// removed holds the endpoints of the entries that were removed.
	removed map[string]removedEndpoint
	// held holds entries of a restored store that are not to be applied yet.
	held map[string]heldEntry
	// unsent holds, by key, the changes that are still to be sent to peers.
	unsent map[string]unsentChange
	// sentChanges counts the calls of Send.
	sentChanges int
	// digest combines the digests of all listed endpoints.
	digest uint64
}

// unsentChange is a change that is still to be sent to peers.
type unsentChange struct {
	// times is how often it is still to be sent.
	times int
	// number is greater for a later change.
	number int
}

// removedEndpoint is the endpoint of an entry that was removed at a time.
type removedEndpoint struct {
	endpoint Endpoint
	at       time.Duration
}

// New returns an empty Lister.
func New(o Options) *Lister {
	return &Lister{
		options: o, entries: map[string]Entry{}, removed: map[string]removedEndpoint{}, held: map[string]heldEntry{},
		unsent: map[string]unsentChange{},
	}
}

// Era returns the latest era of which the whole list has been read.
func (l *Lister) Era() uint64 {
	return l.era
}

// Replace applies a read of the whole list: the store holds entries and no others at a revision. Entries may also hold some that
// the reader keeps although the store has removed them, as of their own revisions. If the store was restored, some entries are
// held first. It returns the entries that changed.
func (l *Lister) Replace(entries []Entry, at revision.Revision, now time.Duration) (changed []Entry) {
	l.era = max(l.era, at.Era)
	read := make(map[string]bool, len(entries))
	var current []Entry
	for _, e := range entries {
		read[e.Key] = true
		if l.restoresLeft(e) {
			l.hold(e, now+l.options.RestoredGrace)
			continue
		}
		current = append(current, e)
	}
	for _, key := range l.Keys() {
		absent := Entry{Key: key, Revision: at, Removed: true}
		switch {
		case read[key]:
		case l.entries[key].Revision.Era < at.Era:
			l.hold(absent, now+l.options.AbsentGrace)
		default:
			current = append(current, absent)
		}
	}
	return l.ApplyAll(current, now)
}

// ApplyAll calls Apply with each entry and returns those that changed the list of endpoints.
func (l *Lister) ApplyAll(entries []Entry, now time.Duration) (changed []Entry) {
	for _, e := range entries {
		if l.Apply(e, now) {
			changed = append(changed, e)
		}
	}
	return changed
}

// Apply stores an entry unless a newer one is known or the list has been read in a later era, and returns whether the list of
// endpoints changed. A new revision without a change of the endpoint, such as a heartbeat, is stored but is no change.
func (l *Lister) Apply(e Entry, now time.Duration) bool {
	old, known := l.entries[e.Key]
	if e.Revision.Era < l.era || known && e.Revision.Compare(old.Revision) < 0 || l.isOlderThanHeld(e) {
		return false
	}
	delete(l.held, e.Key)
	l.entries[e.Key] = e
	if known && old.Removed == e.Removed && old.Endpoint == e.Endpoint {
		return false
	}
	if !known && e.Removed {
		return false
	}
	l.digest ^= old.digest() ^ e.digest()
	delete(l.removed, e.Key)
	if e.Removed {
		l.removed[e.Key] = removedEndpoint{endpoint: old.Endpoint, at: now}
	}
	return true
}

// digest returns a digest of the endpoint of an entry, or zero if the entry was removed or never existed.
func (e Entry) digest() uint64 {
	if e.Removed || e.Key == "" {
		return 0
	}
	return xxhash.Sum64String(fmt.Sprintf("%q %+v", e.Key, e.Endpoint))
}

// Digest returns a digest of the list of endpoints. Lists with the same endpoints have the same digest, whatever their
// revisions.
func (l *Lister) Digest() uint64 {
	return l.digest
}

// Knows reports whether an entry is listed, or was removed shortly before.
func (l *Lister) Knows(key string) bool {
	_, known := l.entries[key]
	return known
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

// Send makes NextChanges return the latest change of a key the given number of times.
func (l *Lister) Send(key string, times int) {
	l.sentChanges++
	l.unsent[key] = unsentChange{times: times, number: l.sentChanges}
}

// NextChanges returns at most maxEntries entries for the next message to the peers: first those that are to be returned
// most often, of these the latest change first.
func (l *Lister) NextChanges(maxEntries int) []Entry {
	keys := slices.SortedFunc(maps.Keys(l.unsent), func(a, b string) int {
		return cmp.Or(cmp.Compare(l.unsent[b].times, l.unsent[a].times), cmp.Compare(l.unsent[b].number, l.unsent[a].number))
	})
	keys = keys[:min(maxEntries, len(keys))]
	out := make([]Entry, 0, len(keys))
	for _, key := range keys {
		out = append(out, l.entries[key])
		change := l.unsent[key]
		change.times--
		l.unsent[key] = change
		if change.times == 0 {
			delete(l.unsent, key)
		}
	}
	return out
}

// DropRemoved drops the entries that were removed longer than retention ago.
func (l *Lister) DropRemoved(retention, now time.Duration) {
	for key, r := range l.removed {
		if now-r.at > retention {
			delete(l.removed, key)
			delete(l.entries, key)
		}
	}
}
