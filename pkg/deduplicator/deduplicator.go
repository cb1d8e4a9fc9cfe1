// Package deduplicator remembers idempotency keys so that a call runs at most once.
//
// A key is remembered by three agents: the one that runs the call and two mirrors in other failure
// domains. A call runs only after two of the three hold a fresh record of it, so any two runs of one
// key would have met in a common agent. A runner that starts without memory learns of earlier
// runs from the mirrors, because they answer a new record with the one that they hold.
package deduplicator

import "time"

// Phase is the state of a record.
type Phase uint8

// The phases of a record.
const (
	// Running means that the call may be running, or may have run without a known answer.
	Running Phase = iota + 1
	// Done means that the answer is known.
	Done
)

// ID names a key of a client account.
type ID struct {
	Account string
	Key     string
}

// Record is what is remembered of a key.
type Record struct {
	// BodyDigest is that of the body; another body under the same key is a conflict.
	BodyDigest uint64
	Phase      Phase
	Result     string
	// RunnerIncarnation is the incarnation that runs the call.
	RunnerIncarnation string
}

// WithResult returns a copy that is done.
func (r Record) WithResult(result string) Record {
	r.Phase = Done
	r.Result = result
	return r
}

type storedRecord struct {
	Record
	createdAt time.Duration
}

// Deduplicator holds records for a window of time. It is not safe for concurrent use.
type Deduplicator struct {
	retention  time.Duration
	maxRecords int
	records    map[ID]storedRecord
	// order lists the records by age, oldest first.
	order []orderEntry
}

type orderEntry struct {
	id        ID
	createdAt time.Duration
}

// New returns an empty memory that holds at most limit records, each for window after its begin.
func New(retention time.Duration, maxRecords int) *Deduplicator {
	return &Deduplicator{retention: retention, maxRecords: maxRecords, records: make(map[ID]storedRecord)}
}

// Put remembers a new record. When one is held already it is returned instead, with found set.
// ok is false when the memory is full of records that are still in their window.
func (d *Deduplicator) Put(id ID, r Record, now time.Duration) (existing Record, found, ok bool) {
	d.expire(now)
	if stored, exists := d.records[id]; exists {
		return stored.Record, true, true
	}
	if len(d.records) >= d.maxRecords {
		return Record{}, false, false
	}
	d.records[id] = storedRecord{Record: r, createdAt: now}
	d.order = append(d.order, orderEntry{id: id, createdAt: now})
	return r, false, true
}

// Finish stores the answer of a record that the runner holds; it starts one where none is held.
func (d *Deduplicator) Finish(id ID, r Record, result string, now time.Duration) {
	existing, found, ok := d.Put(id, r.WithResult(result), now)
	if !ok || !found || existing.RunnerIncarnation != r.RunnerIncarnation {
		return
	}
	stored := d.records[id]
	stored.Record = r.WithResult(result)
	d.records[id] = stored
}

// Forget forgets a record whose call certainly did not run; only its runner may drop it.
func (d *Deduplicator) Forget(id ID, runner string) {
	if stored, ok := d.records[id]; ok && stored.RunnerIncarnation == runner && stored.Phase == Running {
		delete(d.records, id)
	}
}

func (d *Deduplicator) expire(now time.Duration) {
	for len(d.order) > 0 && now-d.order[0].createdAt > d.retention {
		first := d.order[0]
		d.order = d.order[1:]
		if stored, ok := d.records[first.id]; ok && stored.createdAt == first.createdAt {
			delete(d.records, first.id)
		}
	}
}
