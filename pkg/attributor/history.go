package attributor

import "time"

const (
	// historyPeriod is how long a completed run stays in a history at least. It stays at most twice as long.
	historyPeriod = 30 * time.Second
	// maxHistory limits the features of a period.
	maxHistory = 8192
	// minHistoryRuns is the number of completed runs from which on shares are known.
	minHistoryRuns = 8
)

// history counts the runs that completed recently, by feature.
type history struct {
	// current holds the runs since rotatedAt, previous those of the period before.
	current, previous period
	rotatedAt         time.Duration
}

// period holds the completed runs of a time.
type period struct {
	runs      int
	byFeature map[Feature]servedRuns
}

// servedRuns are completed runs with one feature.
type servedRuns struct {
	runs int
	// lastStartedAt is the latest start of one of them.
	lastStartedAt time.Duration
}

func newHistory() *history {
	return &history{current: newPeriod(), previous: newPeriod()}
}

func newPeriod() period {
	return period{byFeature: map[Feature]servedRuns{}}
}

// add adds a completed run that began at startedAt.
func (h *history) add(features []Feature, startedAt, now time.Duration) {
	h.rotate(now)
	if len(features) == 0 {
		return
	}
	h.current.runs++
	for _, f := range features {
		h.count(f, 1, startedAt)
	}
}

// addStart records that a run with a feature completed at a peer that began at startedAt. It does not count for the shares.
func (h *history) addStart(f Feature, startedAt, now time.Duration) {
	h.rotate(now)
	h.count(f, 0, startedAt)
}

// count adds completed runs of a feature to the current period, unless that is full.
func (h *history) count(f Feature, runs int, startedAt time.Duration) {
	s, known := h.current.byFeature[f]
	if !known && len(h.current.byFeature) >= maxHistory {
		return
	}
	h.current.byFeature[f] = servedRuns{runs: s.runs + runs, lastStartedAt: max(s.lastStartedAt, startedAt)}
}

// rotate begins a new period if the current one is over.
func (h *history) rotate(now time.Duration) {
	switch elapsed := now - h.rotatedAt; {
	case elapsed < historyPeriod:
		return
	case elapsed < 2*historyPeriod:
		h.previous = h.current
	default:
		h.previous = newPeriod()
	}
	h.current, h.rotatedAt = newPeriod(), now
}

// share returns the fraction of the completed runs that had a feature.
func (h *history) share(f Feature, now time.Duration) float64 {
	h.rotate(now)
	all := h.current.runs + h.previous.runs
	if all == 0 {
		return 0
	}
	return float64(h.current.byFeature[f].runs+h.previous.byFeature[f].runs) / float64(all)
}

// isKnown reports whether enough runs completed for shares to mean something.
func (h *history) isKnown(now time.Duration) bool {
	h.rotate(now)
	return h.current.runs+h.previous.runs >= minHistoryRuns
}

// lastStart returns the latest start of a completed run with a feature. ok is false if there was none recently.
func (h *history) lastStart(f Feature, now time.Duration) (startedAt time.Duration, ok bool) {
	h.rotate(now)
	for _, p := range []period{h.current, h.previous} {
		if s, found := p.byFeature[f]; found {
			startedAt, ok = max(startedAt, s.lastStartedAt), true
		}
	}
	return startedAt, ok
}
