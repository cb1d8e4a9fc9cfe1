// Package quarantiner records which requests were running when an endpoint crashed, and decides which of them is the
// cause. A request that is the only one that was running at two crashes is refused. If others were running at the same
// two crashes, they are sent one at a time until one of them completes or is running at a third crash. Of these three, a run
// at each must have begun after the crash before: a harmless request that many callers send runs at several endpoints at a
// time, and these may crash one after another under a request that is tried there. A crash counts
// only against its cause, so that the requests that were running beside it are served again.
//
// The records of several gateways can be merged in any order and any number of times with the same result.
package quarantiner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/announcer"
	"github.com/pistachiovane/pistachiovane/pkg/attributor"
)

const (
	// sameCrashInterval is the time within which two reports of a crash of the same endpoint mean the same crash. An
	// endpoint takes longer to start again.
	sameCrashInterval = time.Second
	// maxStoredCrashes limits the crashes that are stored for one request.
	maxStoredCrashes = 8
	// sendsPerChange is how often a change of a record is sent to the peers, because messages may be lost.
	sendsPerChange = 4
)

// Fingerprint is a digest of the client account and body of a request. Repetitions of a request have the same
// fingerprint.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}

// Crash is a crash of an endpoint at which a request was running.
type Crash struct {
	Endpoint string
	// Age is the time since the crash, and Duration the time from the start of the run to it. Duration is zero if it is not
	// known.
	Age, Duration time.Duration
	// Cleared is set if the request has completed without a crash since, so that it was not the cause.
	Cleared bool
}

// CrashRecord lists the crashes at which one request was running. Gateways send it to their peers.
type CrashRecord struct {
	Fingerprint Fingerprint
	Crashes     []Crash
}

// NewCrashRecord returns the record of a request whose crashes are only known by their endpoints and the age of the latest
// one. Gateways of older builds send records in this form.
func NewCrashRecord(f Fingerprint, endpoints []string, age time.Duration) CrashRecord {
	r := CrashRecord{Fingerprint: f}
	for _, e := range endpoints {
		r.Crashes = append(r.Crashes, Crash{Endpoint: e, Age: age})
	}
	return r
}

// Uncleared returns the endpoints whose crashes are not cleared, and the age of the latest of these crashes.
func (r CrashRecord) Uncleared() (endpoints []string, age time.Duration) {
	for _, c := range r.Crashes {
		if c.Cleared {
			continue
		}
		if len(endpoints) == 0 || c.Age < age {
			age = c.Age
		}
		endpoints = append(endpoints, c.Endpoint)
	}
	return endpoints, age
}

// Quarantiner stores crash records for a limited time. It is not safe for concurrent use. Its times are durations since
// any fixed start.
type Quarantiner struct {
	retention  time.Duration
	maxRecords int
	records    map[Fingerprint]*record
	// explained holds the crashes that count against no request.
	explained []attributor.Crash
	// evaluation is what the records say. It is nil if they have changed since, and valid until evaluationExpiresAt.
	evaluation          *evaluation
	evaluationExpiresAt time.Duration
	// sorted holds the fingerprints of all records in order. It is nil if it must be computed again.
	sorted []Fingerprint
	// changed holds the fingerprints of the records that are to be sent because of a change. It may also hold some of deleted
	// records.
	changed *announcer.Announcer[Fingerprint]
	// lastOther is the fingerprint of the last record that NextCrashRecords returned in its turn.
	lastOther Fingerprint
}

// record is the stored form of a CrashRecord.
type record struct {
	// crashes are in no particular order.
	crashes []crash
}

// crash is the stored form of a Crash.
type crash struct {
	endpoint string
	at       time.Duration
	// duration is the time from the start of the run, or zero if that is not known. Of several runs it is that of the latest.
	duration time.Duration
	cleared  bool
}

// stored returns the stored form of the crash.
func (c Crash) stored(now time.Duration) crash {
	return crash{endpoint: c.Endpoint, at: now - c.Age, duration: max(0, c.Duration), cleared: c.Cleared}
}

// with returns the crash as two reports of it tell.
func (c crash) with(other crash) crash {
	c.at, c.duration = min(c.at, other.at), min(c.duration, other.duration)
	c.cleared = c.cleared || other.cleared
	return c
}

// lastCrashAt returns the time of the latest crash.
func (r *record) lastCrashAt() time.Duration {
	last := r.crashes[0].at
	for _, c := range r.crashes {
		last = max(last, c.at)
	}
	return last
}

// New returns an empty quarantiner. It deletes a record when no crash was added to it for the time retention, and
// stores at most maxRecords records.
func New(retention time.Duration, maxRecords int) *Quarantiner {
	return &Quarantiner{
		retention: retention, maxRecords: maxRecords, records: make(map[Fingerprint]*record),
		changed: announcer.New[Fingerprint](sendsPerChange),
	}
}

// RecordCrash records that the request was running at an endpoint when it crashed. If the limit of records is reached,
// another record is deleted: one of a request that has completed since, else the one with the oldest crash.
func (q *Quarantiner) RecordCrash(f Fingerprint, endpoint string, now time.Duration) {
	q.RecordEarlierCrash(f, Crash{Endpoint: endpoint}, now)
}

// RecordEarlierCrash is RecordCrash for a crash of which this process has learned only now.
func (q *Quarantiner) RecordEarlierCrash(f Fingerprint, c Crash, now time.Duration) {
	if q.add(f, c.stored(now), now) {
		q.changed.Announce(f)
	}
}

// LastCrashAt returns the time of the latest crash of an endpoint that is recorded for any request. ok is false if there is none.
func (q *Quarantiner) LastCrashAt(endpoint string) (at time.Duration, ok bool) {
	for _, r := range q.records {
		for _, c := range r.crashes {
			if c.endpoint == endpoint && (!ok || c.at > at) {
				at, ok = c.at, true
			}
		}
	}
	return at, ok
}

// Exclude makes the crashes count against no request that what requests share explains.
func (q *Quarantiner) Exclude(a *attributor.Attributor, now time.Duration) {
	if crashes, changed := a.Explained(now); changed {
		q.explained, q.evaluation = crashes, nil
	}
}

// Clear records that a request has completed, so that it was not the cause of the crashes so far.
func (q *Quarantiner) Clear(f Fingerprint, now time.Duration) {
	r := q.lookup(f, now)
	if r == nil {
		return
	}
	if r.isCleared() {
		return
	}
	for i := range r.crashes {
		r.crashes[i].cleared = true
	}
	q.evaluation = nil
	q.changed.Announce(f)
}

// Merge adds the crashes that a peer sent.
func (q *Quarantiner) Merge(crashRecords []CrashRecord, now time.Duration) {
	for _, c := range crashRecords {
		for _, d := range c.Crashes {
			if d.Age <= q.retention {
				q.add(c.Fingerprint, d.stored(now), now)
			}
		}
	}
}

// add stores a crash and returns whether the record of the request has got another one. Of two reports of the same crash the earlier time
// is kept, because reports of peers are delayed.
func (q *Quarantiner) add(f Fingerprint, c crash, now time.Duration) bool {
	r := q.lookup(f, now)
	if r == nil {
		q.makeRoom()
		r = &record{}
		q.records[f], q.sorted = r, nil
	}
	for i := range r.crashes {
		if known := &r.crashes[i]; known.endpoint == c.endpoint && (known.at-c.at).Abs() < sameCrashInterval {
			if merged := known.with(c); merged != *known {
				*known, q.evaluation = merged, nil
			}
			return false
		}
	}
	if len(r.crashes) >= maxStoredCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
	}
	r.crashes = append(r.crashes, c)
	q.evaluation = nil
	return true
}

// CrashRecords returns all records that have not expired, ordered by fingerprint, to be sent to peers.
func (q *Quarantiner) CrashRecords(now time.Duration) []CrashRecord {
	var out []CrashRecord
	for _, f := range q.fingerprints() {
		if r := q.lookup(f, now); r != nil {
			out = append(out, r.export(f, now))
		}
	}
	return out
}

// NextCrashRecords returns the records for the next message to the peers: at most maxChanges of those that this process
// has changed and not sent sendsPerChange times since, and at most maxOthers of the remaining ones, each in turn. Records
// of requests that have completed are sent only as changes.
func (q *Quarantiner) NextCrashRecords(maxChanges, maxOthers int, now time.Duration) []CrashRecord {
	out := q.nextChanges(maxChanges, now)
	fingerprints := q.fingerprints()
	first, _ := slices.BinarySearch(fingerprints, q.lastOther+1)
	for i := 0; i < len(fingerprints) && maxOthers > 0; i++ {
		f := fingerprints[(first+i)%len(fingerprints)]
		if r := q.lookup(f, now); r != nil && !q.changed.IsPending(f) && !r.isCleared() {
			out = append(out, r.export(f, now))
			q.lastOther = f
			maxOthers--
		}
	}
	return out
}

// nextChanges returns at most limit records that are to be sent because of a change.
func (q *Quarantiner) nextChanges(limit int, now time.Duration) []CrashRecord {
	var out []CrashRecord
	q.changed.Next(limit, func(f Fingerprint) bool {
		r := q.lookup(f, now)
		if r != nil {
			out = append(out, r.export(f, now))
		}
		return r != nil
	})
	return out
}

// fingerprints returns the fingerprints of all records in order. The result must not be changed.
func (q *Quarantiner) fingerprints() []Fingerprint {
	if q.sorted == nil {
		q.sorted = slices.Sorted(maps.Keys(q.records))
	}
	return q.sorted
}

// export returns the record of a request for peers.
func (r *record) export(f Fingerprint, now time.Duration) CrashRecord {
	out := CrashRecord{Fingerprint: f, Crashes: make([]Crash, 0, len(r.crashes))}
	for _, c := range r.crashes {
		out.Crashes = append(out.Crashes, Crash{Endpoint: c.endpoint, Age: max(0, now-c.at), Duration: c.duration, Cleared: c.cleared})
	}
	return out
}

// lookup returns the record of a request, or nil if there is none. It deletes an expired record.
func (q *Quarantiner) lookup(f Fingerprint, now time.Duration) *record {
	r, ok := q.records[f]
	if !ok {
		return nil
	}
	if now-r.lastCrashAt() > q.retention {
		q.delete(f)
		return nil
	}
	return r
}

func (q *Quarantiner) delete(f Fingerprint) {
	delete(q.records, f)
	q.evaluation, q.sorted = nil, nil
}

// makeRoom deletes a record if the limit of records is reached.
func (q *Quarantiner) makeRoom() {
	if len(q.records) < q.maxRecords {
		return
	}
	worst := slices.MinFunc(q.fingerprints(), func(a, b Fingerprint) int {
		ra, rb := q.records[a], q.records[b]
		if ca, cb := ra.isCleared(), rb.isCleared(); ca != cb {
			if ca {
				return -1
			}
			return 1
		}
		return cmp.Compare(ra.lastCrashAt(), rb.lastCrashAt())
	})
	q.delete(worst)
}

// isCleared reports whether all crashes of the record are cleared.
func (r *record) isCleared() bool {
	return !slices.ContainsFunc(r.crashes, func(c crash) bool { return !c.cleared })
}
