package quarantiner

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
)

const (
	// sufficientCrashes is the number of crashes after which a request is refused if no other request was running at
	// all of them.
	sufficientCrashes = 2
	// maxCrashes is the number of crashes in sequence after which a request is refused in any case.
	maxCrashes = 3
	// turnTime is how long each of several suspects of the same crashes may be sent while the others wait.
	turnTime = time.Second
)

// Verdict says whether a request may be sent to an endpoint.
type Verdict struct {
	// Refused is set if the request must not be sent, because it crashes endpoints. RetryAfter is then the time until its
	// crash record expires.
	Refused bool
	// RetryAfter is zero if the request may be sent now. Otherwise, if Refused is not set, it is the time until the
	// request may be sent: another suspect of the same crashes is to be sent alone until then.
	RetryAfter time.Duration
}

// evaluation holds the requests that are refused and those that wait for each other.
type evaluation struct {
	refused map[Fingerprint]bool
	// suspects holds the suspects of the same crashes, in order, for each of them.
	suspects map[Fingerprint][]Fingerprint
}

// IsSuspect returns whether the request was running at any endpoint that crashed, unless that is explained, and has not
// completed since.
func (q *Quarantiner) IsSuspect(f Fingerprint, now time.Duration) bool {
	return q.CrashCount(f, now) > 0
}

// CrashCount returns how many crashes count against the request.
func (q *Quarantiner) CrashCount(f Fingerprint, now time.Duration) int {
	r := q.lookup(f, now)
	if r == nil {
		return 0
	}
	n := 0
	for _, c := range r.crashes {
		if !c.cleared && !q.isExplained(c) {
			n++
		}
	}
	return n
}

// IsRefused returns whether the request must be refused because it crashes endpoints.
func (q *Quarantiner) IsRefused(f Fingerprint, now time.Duration) bool {
	return q.Decide(f, now).Refused
}

// RefusedRequests returns the requests that must not be sent, in order.
func (q *Quarantiner) RefusedRequests(now time.Duration) []Fingerprint {
	var out []Fingerprint
	for _, f := range q.fingerprints() {
		if q.IsRefused(f, now) {
			out = append(out, f)
		}
	}
	return out
}

// RefusedRecords returns at most maxRecords records of refused requests, those with the latest crashes first.
func (q *Quarantiner) RefusedRecords(maxRecords int, now time.Duration) []CrashRecord {
	refused := q.RefusedRequests(now)
	slices.SortFunc(refused, func(x, y Fingerprint) int {
		return cmp.Or(cmp.Compare(q.records[y].lastCrashAt(), q.records[x].lastCrashAt()), cmp.Compare(x, y))
	})
	var out []CrashRecord
	for _, f := range refused[:min(len(refused), maxRecords)] {
		out = append(out, q.records[f].export(f, now))
	}
	return out
}

// Decide returns whether a request may be sent to an endpoint.
func (q *Quarantiner) Decide(f Fingerprint, now time.Duration) Verdict {
	r := q.lookup(f, now)
	if r == nil {
		return Verdict{}
	}
	if q.evaluation == nil || now >= q.evaluationExpiresAt {
		q.evaluate(now)
	}
	if q.evaluation.refused[f] {
		return Verdict{Refused: true, RetryAfter: r.lastCrashAt() + q.retention - now}
	}
	suspects := q.evaluation.suspects[f]
	if len(suspects) == 0 {
		return Verdict{}
	}
	return Verdict{RetryAfter: timeUntilTurn(slices.Index(suspects, f), len(suspects), now-r.lastCrashAt())}
}

// timeUntilTurn returns the time until the next turn of suspect i of n, which is zero if it is its turn now. Turns begin
// with the crash, whose age is about the same at all gateways.
func timeUntilTurn(i, n int, age time.Duration) time.Duration {
	round := time.Duration(n) * turnTime
	begins := time.Duration(i) * turnTime
	inRound := max(0, age) % round
	switch {
	case inRound < begins:
		return begins - inRound
	case inRound < begins+turnTime:
		return 0
	default:
		return round - inRound + begins
	}
}

// evaluate computes the evaluation of all records. It attributes crashes to the requests with the most crashes first:
// what they explain does not count against the requests beside them.
func (q *Quarantiner) evaluate(now time.Duration) {
	q.evaluationExpiresAt = math.MaxInt64
	for _, f := range q.fingerprints() {
		if r := q.lookup(f, now); r != nil {
			q.evaluationExpiresAt = min(q.evaluationExpiresAt, r.lastCrashAt()+q.retention+1)
		}
	}
	q.evaluation = &evaluation{refused: map[Fingerprint]bool{}, suspects: map[Fingerprint][]Fingerprint{}}
	open, present, numbered := q.crashesByRequest()
	for {
		causes := findCauses(open, present, numbered)
		if len(causes) == 0 {
			break
		}
		explained := map[int]bool{}
		for _, f := range causes {
			q.evaluation.refused[f] = true
			for _, c := range open[f] {
				explained[c] = true
			}
			delete(open, f)
		}
		for f, crashes := range open {
			open[f] = slices.DeleteFunc(crashes, func(c int) bool { return explained[c] })
		}
	}
	for f, crashes := range open {
		if len(crashes) >= sufficientCrashes {
			q.evaluation.suspects[f] = suspectsOf(crashes, open, present)
		}
	}
}

// numberedCrash is a crash of a request with the number that all its reports have.
type numberedCrash struct {
	crash
	number int
}

// crashesByRequest numbers the crashes and returns those that are not cleared: the ascending numbers of the crashes of
// each request, the requests that were running at each crash, and the crashes of each request in order of time.
func (q *Quarantiner) crashesByRequest() (
	open map[Fingerprint][]int, present map[int][]Fingerprint, numbered map[Fingerprint][]numberedCrash,
) {
	type entry struct {
		fingerprint Fingerprint
		crash
	}
	var entries []entry
	for f, r := range q.records {
		for _, c := range r.crashes {
			entries = append(entries, entry{f, c})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.endpoint, b.endpoint), cmp.Compare(a.at, b.at))
	})
	open, present, numbered = map[Fingerprint][]int{}, map[int][]Fingerprint{}, map[Fingerprint][]numberedCrash{}
	number := 0
	for i, e := range entries {
		if i > 0 && (entries[i-1].endpoint != e.endpoint || e.at-entries[i-1].at >= sameCrashInterval) {
			number++
		}
		if !e.cleared && !q.isExplained(e.crash) && !slices.Contains(open[e.fingerprint], number) {
			open[e.fingerprint] = append(open[e.fingerprint], number)
			present[number] = append(present[number], e.fingerprint)
			numbered[e.fingerprint] = append(numbered[e.fingerprint], numberedCrash{crash: e.crash, number: number})
		}
	}
	for _, crashes := range numbered {
		slices.SortFunc(crashes, func(a, b numberedCrash) int { return cmp.Compare(a.at, b.at) })
	}
	return open, present, numbered
}

// isExplained reports whether something else than the requests explains a crash.
func (q *Quarantiner) isExplained(c crash) bool {
	return slices.ContainsFunc(q.explained, func(x attributor.Crash) bool {
		return x.Endpoint == c.endpoint && (x.At-c.at).Abs() < sameCrashInterval
	})
}

// findCauses returns the requests that are to be refused now: those with the most crashes in sequence, if that are maxCrashes
// or more, else those with sufficientCrashes, and the most of these, at which no other request was running.
func findCauses(
	open map[Fingerprint][]int, present map[int][]Fingerprint, numbered map[Fingerprint][]numberedCrash,
) []Fingerprint {
	causes := withMost(open, func(f Fingerprint) int { return inSequence(numbered[f], open[f]) }, maxCrashes)
	if len(causes) > 0 {
		return causes
	}
	return withMost(open, func(f Fingerprint) int {
		if crashes := open[f]; len(crashes) > 0 && len(suspectsOf(crashes, open, present)) == 1 {
			return len(crashes)
		}
		return 0
	}, sufficientCrashes)
}

// withMost returns the requests with the highest count, if that is at least the given one.
func withMost(open map[Fingerprint][]int, count func(f Fingerprint) int, least int) []Fingerprint {
	var out []Fingerprint
	for f := range open {
		switch n := count(f); {
		case n > least:
			least, out = n, []Fingerprint{f}
		case n == least:
			out = append(out, f)
		}
	}
	return out
}

// inSequence counts the crashes with the given numbers that followed each other: the run at each began after the one before.
// A run whose start is not known counts as begun just before its crash.
func inSequence(crashes []numberedCrash, numbers []int) int {
	n := 0
	var last time.Duration
	for _, c := range crashes {
		if slices.Contains(numbers, c.number) && (n == 0 || c.at-c.duration >= last) {
			n, last = n+1, c.at
		}
	}
	return n
}

// suspectsOf returns the requests that were running at all of the given crashes, of which there is at least one, in
// order.
func suspectsOf(crashes []int, open map[Fingerprint][]int, present map[int][]Fingerprint) []Fingerprint {
	var out []Fingerprint
	for _, f := range present[crashes[0]] {
		if !slices.ContainsFunc(crashes, func(c int) bool { return !slices.Contains(open[f], c) }) {
			out = append(out, f)
		}
	}
	slices.Sort(out)
	return out
}
