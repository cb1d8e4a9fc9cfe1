package attributor

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/rotator"
)

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
	periods *rotator.Rotator[*period]
}

// period holds the completed runs of a time.
type period struct {
	// runs counts the runs by the kind of their features.
	runs      [maxKinds]int
	byFeature map[Feature]servedRuns
}

// servedRuns are completed runs with one feature.
type servedRuns struct {
	runs int
	// lastStartedAt is the latest start of one of them.
	lastStartedAt time.Duration
}

func newHistory() *history {
	return &history{periods: rotator.New(historyPeriod, func() *period { return &period{byFeature: map[Feature]servedRuns{}} })}
}

// add adds a completed run that began at startedAt.
func (h *history) add(features []Feature, startedAt, now time.Duration) {
	if len(features) == 0 {
		return
	}
	current, _ := h.periods.Periods(now)
	current.runs[features[0].kind()]++
	for _, f := range features {
		current.count(f, 1, startedAt)
	}
}

// addStart records that a run with a feature completed at a peer that began at startedAt. It does not count for the shares.
func (h *history) addStart(f Feature, startedAt, now time.Duration) {
	current, _ := h.periods.Periods(now)
	current.count(f, 0, startedAt)
}

// count adds completed runs of a feature to the period, unless that is full.
func (p *period) count(f Feature, runs int, startedAt time.Duration) {
	s, known := p.byFeature[f]
	if !known && len(p.byFeature) >= maxHistory {
		return
	}
	p.byFeature[f] = servedRuns{runs: s.runs + runs, lastStartedAt: max(s.lastStartedAt, startedAt)}
}

// share returns the fraction of the completed runs of its kind that had a feature.
func (h *history) share(f Feature, now time.Duration) float64 {
	current, previous := h.periods.Periods(now)
	all := current.runs[f.kind()] + previous.runs[f.kind()]
	if all == 0 {
		return 0
	}
	return float64(current.byFeature[f].runs+previous.byFeature[f].runs) / float64(all)
}

// isKnown reports whether enough runs of a kind completed for shares to mean something.
func (h *history) isKnown(k Kind, now time.Duration) bool {
	current, previous := h.periods.Periods(now)
	return current.runs[k]+previous.runs[k] >= minHistoryRuns
}

// lastStart returns the latest start of a completed run with a feature. ok is false if there was none recently.
func (h *history) lastStart(f Feature, now time.Duration) (startedAt time.Duration, ok bool) {
	current, previous := h.periods.Periods(now)
	for _, p := range []*period{current, previous} {
		if s, found := p.byFeature[f]; found {
			startedAt, ok = max(startedAt, s.lastStartedAt), true
		}
	}
	return startedAt, ok
}
