// Package quarantiner remembers which requests were running when an endpoint crashed,
// so that a request that crashes endpoints is refused after its second crash.
package quarantiner

import "time"

// maxCrashedEndpoints is the number of crashed endpoints after which a request is refused.
const maxCrashedEndpoints = 2

// Fingerprint identifies a request by client account and body digest.
type Fingerprint uint64

// CrashRecord is the record of one fingerprint, as it is shared between gateways.
type CrashRecord struct {
	Fingerprint Fingerprint
	// Endpoints holds the distinct endpoints that crashed, at most two.
	Endpoints []string
	// Age is the time since the latest crash.
	Age time.Duration
}

// Quarantiner holds blames for a window of time. It is not safe for concurrent use.
type Quarantiner struct {
	retention  time.Duration
	maxRecords int
	records    map[Fingerprint]*record
}

type record struct {
	endpoints   []string
	lastCrashAt time.Duration
}

// New returns a quarantiner that forgets blames after window and holds at most limit of them.
func New(retention time.Duration, maxRecords int) *Quarantiner {
	return &Quarantiner{retention: retention, maxRecords: maxRecords, records: make(map[Fingerprint]*record)}
}

// RecordCrash records that the request was running on an endpoint that crashed.
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

// IsSuspect tells whether the request was running at a crash within the window.
func (q *Quarantiner) IsSuspect(f Fingerprint, now time.Duration) bool {
	return q.lookup(f, now) != nil
}

// IsRefused tells whether the request took down two endpoints within the window.
func (q *Quarantiner) IsRefused(f Fingerprint, now time.Duration) bool {
	r := q.lookup(f, now)
	return r != nil && len(r.endpoints) >= maxCrashedEndpoints
}

// Clear forgets a suspect that has since run to its end.
func (q *Quarantiner) Clear(f Fingerprint) {
	delete(q.records, f)
}

// Merge takes in the blames that another gateway shared.
func (q *Quarantiner) Merge(crashRecords []CrashRecord, now time.Duration) {
	for _, b := range crashRecords {
		for _, e := range b.Endpoints {
			q.RecordCrash(b.Fingerprint, e, now-b.Age)
		}
	}
}

// CrashRecords returns the live records, for sharing.
func (q *Quarantiner) CrashRecords(now time.Duration) []CrashRecord {
	out := make([]CrashRecord, 0, len(q.records))
	for f, r := range q.records {
		if now-r.lastCrashAt <= q.retention {
			out = append(out, CrashRecord{Fingerprint: f, Endpoints: append([]string(nil), r.endpoints...), Age: now - r.lastCrashAt})
		}
	}
	return out
}

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

// evictOldest drops expired records, then the oldest, until one more fits.
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
