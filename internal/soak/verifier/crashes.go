package verifier

import (
	"slices"
	"sort"
	"time"
)

const (
	// maxCrashes is the number of endpoints that may crash under the same requests, maxCrashesByPart that under requests with
	// the same part, and maxRunsAfterCrashes how many of these requests may run later than crashNoticeTime after the last of
	// those crashes.
	maxCrashes          = 3
	maxCrashesByPart    = 5
	maxRunsAfterCrashes = 3
	crashNoticeTime     = 3 * time.Second
)

// checkCrashes checks that requests which crash each endpoint that runs them are stopped. The count begins anew when all
// gateways have lost what they knew.
func (v *Verifier) checkCrashes() {
	runs := map[string][]Run{}
	allowed := map[string]int{}
	for _, r := range slices.Concat(v.history.Runs, crashedOf(v.history.Prefills)) {
		if q, ok := v.requestsByID[r.ID]; ok && q.CrashesAs != "" {
			runs[q.CrashesAs] = append(runs[q.CrashesAs], r)
			allowed[q.CrashesAs] = maxCrashes
			if q.CrashesByPart {
				allowed[q.CrashesAs] = maxCrashesByPart
			}
		}
	}
	for name, all := range runs {
		sort.Slice(all, func(i, j int) bool { return all[i].StartedAt.Before(all[j].StartedAt) })
		for _, period := range splitAt(all, v.history.MemoryLostAt) {
			crashes, late := countLateRuns(period, allowed[name])
			v.expect(late <= maxRunsAfterCrashes, "crashing requests stop", name,
				"ran %d times after crash %d of %d", late, allowed[name], crashes)
		}
	}
}

// countLateRuns returns how many of the runs crashed an endpoint, and how many began later than crashNoticeTime after the
// last of the allowed crashes. The runs are in order of their start.
func countLateRuns(runs []Run, allowed int) (crashes, late int) {
	var lastAllowed time.Time
	for _, r := range runs {
		if crashes >= allowed && r.StartedAt.After(lastAllowed.Add(crashNoticeTime)) {
			late++
		}
		if r.Crashed {
			crashes++
			if crashes == allowed {
				lastAllowed = r.EndedAt
			}
		}
	}
	return crashes, late
}

// crashedOf returns the runs that crashed their endpoint.
func crashedOf(runs []Run) []Run {
	var out []Run
	for _, r := range runs {
		if r.Crashed {
			out = append(out, r)
		}
	}
	return out
}

// splitAt splits runs, which are in order of their start, at the given times.
func splitAt(runs []Run, times []time.Time) [][]Run {
	sort.Slice(times, func(i, j int) bool { return times[i].Before(times[j]) })
	var out [][]Run
	for _, t := range times {
		n := sort.Search(len(runs), func(i int) bool { return runs[i].StartedAt.After(t) })
		out = append(out, runs[:n])
		runs = runs[n:]
	}
	return append(out, runs)
}
