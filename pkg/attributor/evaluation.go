package attributor

import (
	"cmp"
	"slices"
	"time"
)

const (
	// sufficientCrashes is the number of crashes, one after another, from which on a feature may be blamed. A single request
	// that is sent again is stopped before it has as many.
	sufficientCrashes = 4
	// A feature that a share of all runs have needs crashesPerShare times its share more, but not more than
	// maxSufficientCrashes.
	crashesPerShare      = 8
	maxSufficientCrashes = 8
	// commonShare is the share from which on a blamed feature is tried again soon, since many feel its refusal.
	commonShare = 0.1
	// shareWeight is how much a feature with a share counts less: the crashes that it explains are divided by one plus
	// shareWeight times its share.
	shareWeight = 2
	// A crash comes late if its run began later than noticeTime, within which all processes learn of a crash, after the crash
	// with the number toleratedCrashes. With sufficientLateCrashes the share of a feature matters no more, since none of its
	// runs completed all the while. Late crashes also make trials rarer.
	toleratedCrashes      = 5
	noticeTime            = 3 * time.Second
	sufficientLateCrashes = 2
	// tieTolerance is the difference of two shares up to which neither feature is the better explanation.
	tieTolerance = 0.05
)

// Change says that a feature is blamed from now on, or no longer.
type Change struct {
	Feature Feature
	Blamed  bool
	// Crashes counts the crashes that it explains, and Share is the fraction of runs that have it.
	Crashes int
	Share   float64
}

// Crash is a crash of an endpoint that a blamed feature explains.
type Crash struct {
	Endpoint string
	At       time.Duration
}

// Explained returns the crashes that blamed features explain. changed is set if they may differ from those of the last call.
func (a *Attributor) Explained(now time.Duration) (crashes []Crash, changed bool) {
	a.evaluate(now)
	changed, a.explainedChanged = a.explainedChanged, false
	if !changed {
		return nil, false
	}
	for _, r := range a.runs {
		if slices.ContainsFunc(r.features, func(f Feature) bool { return a.isBlamed(f) && a.features[f].countsAt(r.crashedAt) }) {
			crashes = append(crashes, Crash{Endpoint: r.endpoint, At: r.crashedAt})
		}
	}
	return crashes, true
}

// TakeChanges returns the changes since its last call.
func (a *Attributor) TakeChanges(now time.Duration) []Change {
	a.evaluate(now)
	out := a.changes
	a.changes = nil
	return out
}

// crash is a crash of an endpoint as it counts against one feature.
type crash struct {
	// number tells the crashes apart.
	number int
	at     time.Duration
	// runs holds the broken runs with the feature.
	runs []*run
}

// startedAt returns the latest start of the broken runs.
func (c *crash) startedAt() time.Duration {
	last := c.runs[0].startedAt
	for _, r := range c.runs {
		last = max(last, r.startedAt)
	}
	return last
}

// isOwn reports whether a run of this process broke.
func (c *crash) isOwn() bool {
	return slices.ContainsFunc(c.runs, func(r *run) bool { return r.own })
}

// explanation is a feature and the crashes that it would explain, in order of time.
type explanation struct {
	feature Feature
	crashes []crash
	share   float64
}

// inSequence counts the crashes that followed each other: a run of each began after the one before, and is of a request that
// has not counted yet.
func (e *explanation) inSequence() int {
	counted := map[uint32]bool{}
	var last time.Duration
	for _, c := range e.crashes {
		i := slices.IndexFunc(c.runs, func(r *run) bool {
			return !counted[r.request] && (len(counted) == 0 || r.startedAt > last)
		})
		if i >= 0 {
			counted[c.runs[i].request], last = true, c.at
		}
	}
	return len(counted)
}

// late counts the crashes that came late, see toleratedCrashes.
func (e *explanation) late() int {
	n := 0
	for _, c := range e.crashes[min(len(e.crashes), toleratedCrashes):] {
		if c.startedAt() > e.crashes[toleratedCrashes-1].at+noticeTime {
			n++
		}
	}
	return n
}

// isSufficient reports whether the crashes are enough to blame the feature.
func (e *explanation) isSufficient() bool {
	needed := min(maxSufficientCrashes, sufficientCrashes+int(crashesPerShare*e.share))
	if e.late() >= sufficientLateCrashes {
		needed = sufficientCrashes
	}
	return e.inSequence() >= needed
}

// score is higher for the better of two explanations.
func (e *explanation) score() float64 {
	return float64(len(e.crashes)) / (1 + shareWeight*e.share)
}

// ties reports whether two features explain the same crashes as well as each other.
func (e *explanation) ties(other *explanation) bool {
	sameNumber := func(a, b crash) bool { return a.number == b.number }
	return slices.EqualFunc(e.crashes, other.crashes, sameNumber) && max(e.share-other.share, other.share-e.share) <= tieTolerance
}

// evaluate computes which features are blamed, if anything has changed. A feature stays blamed until no crash counts against it
// any more.
func (a *Attributor) evaluate(now time.Duration) {
	if !a.outdated {
		return
	}
	a.outdated, a.explainedChanged = false, true
	open := a.explanations(now)
	a.keepBlamed(open)
	for {
		best := bestOf(open)
		if best == nil {
			return
		}
		a.blame(best, open, now)
	}
}

// keepBlamed takes the crashes of blamed features from the others. Features without a crash that counts are acquitted.
func (a *Attributor) keepBlamed(open map[Feature]*explanation) {
	var explained []crash
	for f, s := range a.features {
		if !s.blamed {
			continue
		}
		e := open[f]
		if e == nil {
			a.acquitBlamed(f, s)
			continue
		}
		s.update(e)
		explained = append(explained, e.crashes...)
		delete(open, f)
	}
	explain(open, explained)
}

// acquitBlamed ends the blame of a feature. That tells it apart from those that tied with it.
func (a *Attributor) acquitBlamed(f Feature, s *state) {
	for _, other := range s.tied {
		if o := a.features[other]; o != nil {
			o.tied = slices.DeleteFunc(o.tied, func(x Feature) bool { return x == f })
		}
	}
	s.blamed, s.tied, s.tried = false, nil, false
	a.changes = append(a.changes, Change{Feature: f})
}

// update records the crashes of a blamed feature.
func (s *state) update(e *explanation) {
	last := e.crashes[len(e.crashes)-1]
	s.lastCrashAt, s.isOwn, s.lateCrashes = last.at, last.isOwn(), e.late()
}

// bestOf returns the best of the sufficient explanations, or nil if there is none. One for which there is a better explanation
// that is not sufficient yet has to wait for that.
func bestOf(open map[Feature]*explanation) *explanation {
	var best *explanation
	for _, e := range open {
		if e.isSufficient() && (best == nil || e.isBetterThan(best)) {
			best = e
		}
	}
	if best == nil {
		return nil
	}
	for _, e := range open {
		if e != best && e.isBetterThan(best) && 2*e.countOf(best.crashes) >= len(best.crashes) {
			return nil
		}
	}
	return best
}

// isBetterThan reports whether one of two explanations is to be blamed first.
func (e *explanation) isBetterThan(other *explanation) bool {
	return cmp.Or(cmp.Compare(e.score(), other.score()), cmp.Compare(other.feature, e.feature)) > 0
}

// countOf returns how many of the given crashes the feature explains.
func (e *explanation) countOf(crashes []crash) int {
	n := 0
	for _, c := range e.crashes {
		if slices.ContainsFunc(crashes, func(x crash) bool { return x.number == c.number }) {
			n++
		}
	}
	return n
}

// blame blames the best explanation, and those that tie with it.
func (a *Attributor) blame(best *explanation, open map[Feature]*explanation, now time.Duration) {
	tied := []Feature{best.feature}
	for f, e := range open {
		if f != best.feature && e.isSufficient() && e.ties(best) {
			tied = append(tied, f)
		}
	}
	for _, f := range tied {
		e, s := open[f], a.features[f]
		_, shareKnown := a.knownShare(f, s, now)
		s.blamed, s.shareKnown, s.common, s.tried = true, shareKnown, e.share >= commonShare, false
		s.tied = slices.DeleteFunc(slices.Clone(tied), func(other Feature) bool { return other == f })
		s.update(e)
		a.changes = append(a.changes, Change{Feature: f, Blamed: true, Crashes: len(e.crashes), Share: e.share})
		a.announceCrashes(e.crashes)
		delete(open, f)
	}
	explain(open, best.crashes)
}

// announceCrashes makes NextReports return the runs of crashes for which a feature is blamed, also those of peers: a process that
// has started since may know only the latest of them.
func (a *Attributor) announceCrashes(crashes []crash) {
	for _, c := range crashes {
		a.changedRuns.Announce(c.runs[0].id)
	}
}

// explain takes crashes that are explained from the remaining features.
func explain(open map[Feature]*explanation, explained []crash) {
	for f, e := range open {
		e.crashes = slices.DeleteFunc(e.crashes, func(c crash) bool {
			return slices.ContainsFunc(explained, func(x crash) bool { return x.number == c.number })
		})
		if len(e.crashes) == 0 {
			delete(open, f)
		}
	}
}

// explanations returns the crashes that count against each feature.
func (a *Attributor) explanations(now time.Duration) map[Feature]*explanation {
	sorted := make([]*run, 0, len(a.runs))
	for _, r := range a.runs {
		sorted = append(sorted, r)
	}
	slices.SortFunc(sorted, func(x, y *run) int {
		return cmp.Or(cmp.Compare(x.endpoint, y.endpoint), cmp.Compare(x.crashedAt, y.crashedAt), cmp.Compare(x.id, y.id))
	})
	out := map[Feature]*explanation{}
	var broken [maxKinds]int
	number := 0
	for i, r := range sorted {
		broken[r.features[0].kind()]++
		if i > 0 && !r.isSameCrash(sorted[i-1]) {
			number++
		}
		for _, f := range r.features {
			if a.features[f].countsAt(r.crashedAt) {
				addCrash(out, f, number, r)
			}
		}
	}
	for f, e := range out {
		slices.SortFunc(e.crashes, func(x, y crash) int { return cmp.Compare(x.at, y.at) })
		e.share = a.share(f, broken[f.kind()], now)
	}
	return out
}

// addCrash adds a broken run of the crash with a number to the explanation of a feature. The runs of one crash are added one
// after another, in order of time.
func addCrash(out map[Feature]*explanation, f Feature, number int, r *run) {
	e := out[f]
	if e == nil {
		e = &explanation{feature: f}
		out[f] = e
	}
	if n := len(e.crashes); n > 0 && e.crashes[n-1].number == number {
		e.crashes[n-1].runs = append(e.crashes[n-1].runs, r)
		return
	}
	e.crashes = append(e.crashes, crash{number: number, at: r.crashedAt, runs: []*run{r}})
}

// share returns the fraction of the runs of its kind that have a feature: of those that completed, or of those that broke if
// too few completed here and no peer has said more. broken counts the latter.
func (a *Attributor) share(f Feature, broken int, now time.Duration) float64 {
	s := a.features[f]
	if ratio, known := a.knownShare(f, s, now); known {
		return ratio
	}
	return float64(s.runs) / float64(broken)
}

// knownShare returns the fraction of the completed runs that have a feature with the given state. known is false if too few
// completed here and no peer has said it.
func (a *Attributor) knownShare(f Feature, s *state, now time.Duration) (ratio float64, known bool) {
	if a.history.isKnown(f.kind(), now) {
		return a.history.share(f, now), true
	}
	return s.learnedShare, s.shareLearned
}
