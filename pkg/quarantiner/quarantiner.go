// Package quarantiner records which requests were running when an endpoint crashed. A request that was running at two
// different endpoints when they crashed is assumed to be the cause and is refused.
package quarantiner

import (
	"strconv"
	"time"
)

// maxCrashedEndpoints is the number of different endpoints after whose crash a request is refused.
const maxCrashedEndpoints = 2

// Fingerprint is a digest of the client account and body of a request. Repetitions of a request have the same
// fingerprint.
type Fingerprint uint64

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string {
	return strconv.FormatUint(uint64(f), 16)
}

// CrashRecord lists the endpoints that crashed while they ran one request. Gateways send it to their peers.
type CrashRecord struct {
	Fingerprint Fingerprint
	// Endpoints holds the IDs of the endpoints that crashed, without duplicates, at most maxCrashedEndpoints.
	Endpoints []string
	// Age is the time since the latest crash.
	Age time.Duration
}

// Quarantiner stores crash records for a limited time. It is not safe for concurrent use. Its times are durations since
// any fixed start.
type Quarantiner struct {
	retention  time.Duration
	maxRecords int
	records    map[Fingerprint]*record
}

// record is the stored form of a CrashRecord.
type record struct {
	endpoints   []string
	lastCrashAt time.Duration
}

// New returns an empty quarantiner. It deletes a record when no crash was added to it for the time retention, and
// stores at most maxRecords records.
func New(retention time.Duration, maxRecords int) *Quarantiner {
	return &Quarantiner{retention: retention, maxRecords: maxRecords, records: make(map[Fingerprint]*record)}
}

// RecordCrash records that the request was running at an endpoint when it crashed. If the limit of records is reached,
// the record with the oldest crash is deleted.
func (q *Quarantiner) RecordCrash(f Fingerprint, endpoint string, now time.Duration) {
	r := q.lookup(f, now)
	if r == nil {
		q.evictOldest(now)
		r = &record{}
		q.records[f] = r
	}
	r.lastCrashAt = max(r.lastCrashAt, now)
	for _, e := range r.endpoints {
		if e == endpoint {
			return
		}
	}
	if len(r.endpoints) < maxCrashedEndpoints {
		r.endpoints = append(r.endpoints, endpoint)
	}
}

// IsSuspect returns whether the request was running at any endpoint that crashed.
func (q *Quarantiner) IsSuspect(f Fingerprint, now time.Duration) bool {
	return q.lookup(f, now) != nil
}

// IsRefused returns whether the request must be refused because it was running at two endpoints that crashed.
func (q *Quarantiner) IsRefused(f Fingerprint, now time.Duration) bool {
	r := q.lookup(f, now)
	return r != nil && len(r.endpoints) >= maxCrashedEndpoints
}

// Clear deletes the record of a request that has since completed without a crash.
func (q *Quarantiner) Clear(f Fingerprint) {
	delete(q.records, f)
}

// Merge adds the crashes that a peer sent. Each of them is recorded with the time of the latest crash of its record.
func (q *Quarantiner) Merge(crashRecords []CrashRecord, now time.Duration) {
	for _, c := range crashRecords {
		for _, e := range c.Endpoints {
			q.RecordCrash(c.Fingerprint, e, now-c.Age)
		}
	}
}

// CrashRecords returns all records that have not expired, in no particular order, to be sent to peers.
func (q *Quarantiner) CrashRecords(now time.Duration) []CrashRecord {
	out := make([]CrashRecord, 0, len(q.records))
	for f, r := range q.records {
		if now-r.lastCrashAt <= q.retention {
			out = append(out, CrashRecord{
				Fingerprint: f, Endpoints: append([]string(nil), r.endpoints...), Age: now - r.lastCrashAt,
			})
		}
	}
	return out
}

// lookup returns the record of a request, or nil if there is none. It deletes an expired record.
func (q *Quarantiner) lookup(f Fingerprint, now time.Duration) *record {
	r, ok := q.records[f]
	if !ok {
		return nil
	}
	if now-r.lastCrashAt > q.retention {
		delete(q.records, f)
		return nil
	}
	return r
}

// evictOldest deletes the record whose latest crash is the oldest, if the limit of records is reached. Records of
// crashes after now are not deleted.
func (q *Quarantiner) evictOldest(now time.Duration) {
	if len(q.records) < q.maxRecords {
		return
	}
	var oldest Fingerprint
	oldestCrashAt := now + 1
	for f, r := range q.records {
		if r.lastCrashAt < oldestCrashAt {
			oldest, oldestCrashAt = f, r.lastCrashAt
		}
	}
	delete(q.records, oldest)
}
