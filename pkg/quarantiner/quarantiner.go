// Package quarantiner remembers which requests were running when an endpoint crashed,
// so that a request that crashes endpoints is refused after its second crash.
package quarantiner

import "time"

// crashLimit is the number of crashed endpoints after which a request is refused.
const crashLimit = 2

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
	window  time.Duration
	limit   int
	records map[Fingerprint]*record
}

type record struct {
	endpoints []string
	at        time.Duration
}

// New returns a quarantiner that forgets blames after window and holds at most limit of them.
func New(window time.Duration, limit int) *Quarantiner {
	return &Quarantiner{window: window, limit: limit, records: make(map[Fingerprint]*record)}
}

// RecordCrash records that the request was running on an endpoint that crashed.
func (q *Quarantiner) RecordCrash(f Fingerprint, endpoint string, now time.Duration) {
	r := q.live(f, now)
	if r == nil {
		q.makeRoom(now)
		r = &record{}
		q.records[f] = r
	}
	r.at = max(r.at, now)
	for _, e := range r.endpoints {
		if e == endpoint {
			return
		}
	}
	if len(r.endpoints) < crashLimit {
		r.endpoints = append(r.endpoints, endpoint)
	}
}

// IsSuspect tells whether the request was running at a crash within the window.
func (q *Quarantiner) IsSuspect(f Fingerprint, now time.Duration) bool {
	return q.live(f, now) != nil
}

// IsRefused tells whether the request took down two endpoints within the window.
func (q *Quarantiner) IsRefused(f Fingerprint, now time.Duration) bool {
	r := q.live(f, now)
	return r != nil && len(r.endpoints) >= crashLimit
}

// Clear forgets a suspect that has since run to its end.
func (q *Quarantiner) Clear(f Fingerprint) {
	delete(q.records, f)
}

// Merge takes in the blames that another gateway shared.
func (q *Quarantiner) Merge(blames []CrashRecord, now time.Duration) {
	for _, b := range blames {
		for _, e := range b.Endpoints {
			q.RecordCrash(b.Fingerprint, e, now-b.Age)
		}
	}
}

// CrashRecords returns the live records, for sharing.
func (q *Quarantiner) CrashRecords(now time.Duration) []CrashRecord {
	out := make([]CrashRecord, 0, len(q.records))
	for f, r := range q.records {
		if now-r.at <= q.window {
			out = append(out, CrashRecord{Fingerprint: f, Endpoints: append([]string(nil), r.endpoints...), Age: now - r.at})
		}
	}
	return out
}

func (q *Quarantiner) live(f Fingerprint, now time.Duration) *record {
	r, ok := q.records[f]
	if !ok {
		return nil
	}
	if now-r.at > q.window {
		delete(q.records, f)
		return nil
	}
	return r
}

// makeRoom drops expired records, then the oldest, until one more fits.
func (q *Quarantiner) makeRoom(now time.Duration) {
	if len(q.records) < q.limit {
		return
	}
	var oldest Fingerprint
	at := now + 1
	for f, r := range q.records {
		if r.at < at {
			oldest, at = f, r.at
		}
	}
	delete(q.records, oldest)
}
