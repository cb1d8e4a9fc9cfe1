// Package deduplicator stores idempotency keys, so that a call with such a key runs at most once.
//
// Three agents store the record of a key: the agent that runs the call and two mirrors in other failure domains. A call
// runs only after two of the three have stored a new record for it. For a key to run twice, at least one agent would
// have to store a new record twice, and it rejects the second one. An agent that has lost its records in a restart gets
// those of earlier calls from the mirrors: a mirror that already has a record for the key returns it instead of storing
// the new one.
package deduplicator

import "time"

// Phase is the state of a call.
type Phase uint8

// The phases of a call.
const (
	// Running means that the call may be running, or may have ended with an unknown result.
	Running Phase = iota + 1
	// Done means that the call has ended and its result is stored.
	Done
)

// ID identifies an idempotency key. Keys of different client accounts are independent.
type ID struct {
	// Account is the name of the client account.
	Account string
	// Key is the idempotency key that the client chose.
	Key string
}

// Result is the answer of a call.
type Result struct {
	Text string
	// EndUnmarked is set if the service did not mark the end of its answer, so that Text may be a part of it.
	EndUnmarked bool
}

// Record describes the call that was made with a key.
type Record struct {
	// BodyDigest is the digest of the request body. A call with the same key and another body is a conflict.
	BodyDigest uint64
	Phase      Phase
	// Result is the answer of the call, if Phase is Done.
	Result Result
	// RunnerIncarnation identifies the incarnation of the agent that runs the call.
	RunnerIncarnation string
}

// WithResult returns a copy of the record in phase Done with the given result.
func (r Record) WithResult(result Result) Record {
	r.Phase = Done
	r.Result = result
	return r
}

// storedRecord is a record with the time at which it was stored.
type storedRecord struct {
	Record
	createdAt time.Duration
}

// Deduplicator stores records for a limited time. It is not safe for concurrent use. Its times are durations since any
// fixed start and must not decrease.
type Deduplicator struct {
	retention  time.Duration
	maxRecords int
	records    map[ID]storedRecord
	// order lists the stored records in the order of their creation. It may also contain records that Forget deleted.
	order []orderEntry
}

// orderEntry identifies a record in the order of creation. A record with the same ID but another time is a later one.
type orderEntry struct {
	id        ID
	createdAt time.Duration
}

// New returns an empty deduplicator. It stores at most maxRecords records, each for the time retention after its
// creation.
func New(retention time.Duration, maxRecords int) *Deduplicator {
	return &Deduplicator{retention: retention, maxRecords: maxRecords, records: make(map[ID]storedRecord)}
}

// Put stores a new record, unless there is one for the same ID: then it returns the existing record and found is true.
// ok is false if nothing could be stored because the limit of records is reached.
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

// Finish stores the result of the call that r describes. It creates the record if there is none, and does nothing if
// the existing one belongs to another runner or the limit of records is reached.
func (d *Deduplicator) Finish(id ID, r Record, result Result, now time.Duration) {
	existing, found, ok := d.Put(id, r.WithResult(result), now)
	if !ok || !found || existing.RunnerIncarnation != r.RunnerIncarnation {
		return
	}
	stored := d.records[id]
	stored.Record = r.WithResult(result)
	d.records[id] = stored
}

// Forget deletes the record of a call that certainly did not run, so that the key can be used again. It does nothing
// unless the record belongs to the given runner and is in phase Running.
func (d *Deduplicator) Forget(id ID, runner string) {
	if stored, ok := d.records[id]; ok && stored.RunnerIncarnation == runner && stored.Phase == Running {
		delete(d.records, id)
	}
}

// expire deletes the records whose retention has passed.
func (d *Deduplicator) expire(now time.Duration) {
	for len(d.order) > 0 && now-d.order[0].createdAt > d.retention {
		first := d.order[0]
		d.order = d.order[1:]
		if stored, ok := d.records[first.id]; ok && stored.createdAt == first.createdAt {
			delete(d.records, first.id)
		}
	}
}
