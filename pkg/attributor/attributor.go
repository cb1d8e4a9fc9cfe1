// Package attributor finds out what requests have in common that crashes the endpoints which run them, although no two of
// the requests are alike. A request has features, such as the parts of its prompt. Each run that broke when its endpoint
// crashed counts against all features of the request; a run that completes acquits its features of the crashes before it
// began. A feature is blamed, and requests with it are refused, once enough crashes followed each other that it explains
// best:
//
//   - Crashes count one after another: the run at the next one must have begun after the crash before, and be one of another
//     request. Endpoints that fail at the same time count once, and so do those under one request that is repeated.
//   - Of the features that could be blamed, the one that explains most crashes goes first; one that many requests have counts
//     less. What a blamed feature explains counts against no other.
//   - The more requests have a feature, the more crashes it needs, since endpoints that fail by themselves look the same.
//
// A blamed feature is tried again after a while, by one request at a time, first at the process that saw its latest crash. The
// reports of several processes can be merged in any order and any number of times.
package attributor

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pistachiovane/pistachiovane/pkg/announcer"
)

const (
	// Two runs that broke at one endpoint within sameCrashInterval mean the same crash, unless one began later than restartTime
	// after the other broke, so that the endpoint had started again.
	sameCrashInterval = time.Second
	restartTime       = 100 * time.Millisecond
	// sendsPerChange is how often a change is sent to the peers, because messages may be lost.
	sendsPerChange = 4
	// MaxFeaturesPerRun limits the features that are recorded of one run. The first ones are those that most requests share.
	MaxFeaturesPerRun = 64
	// deletedFraction is the part of the runs, one of so many, that is deleted when there are too many.
	deletedFraction = 8
)

// maxKinds is the number of kinds of features.
const maxKinds = 16

// Kind is a kind of features, below maxKinds. All features of a run are of one kind, and its share is that of the runs of this
// kind.
type Kind uint8

// Feature is a digest of something that requests may share. Its last four bits are its kind.
type Feature uint64

// NewFeature returns the feature of a value, such as the ID of a part of a prompt.
func NewFeature(kind Kind, value string) Feature {
	return Feature(xxhash.Sum64String(value)&^(maxKinds-1)) | Feature(kind%maxKinds)
}

// kind returns the kind of the feature.
func (f Feature) kind() Kind {
	return Kind(f % maxKinds)
}

// String returns the feature in hexadecimal.
func (f Feature) String() string {
	return strconv.FormatUint(uint64(f), 16)
}

// Attributor stores broken runs for a limited time. It is not safe for concurrent use. Its times are durations since any fixed
// start.
type Attributor struct {
	retention time.Duration
	maxRuns   int
	// runs holds the broken runs by ID. features holds what is known of each feature of these runs.
	runs     map[uint64]*run
	features map[Feature]*state
	history  *history
	// changedRuns and changedFeatures hold what is to be sent to the peers because of a change. They may also hold some that were
	// deleted.
	changedRuns     *announcer.Announcer[uint64]
	changedFeatures *announcer.Announcer[Feature]
	// lastOther is the ID of the last run that NextReports returned in its turn.
	lastOther uint64
	// outdated is set if the blamed features must be computed again. changes collects those that became blamed or stopped
	// being blamed since the last call of TakeChanges.
	outdated bool
	changes  []Change
	// explainedChanged is set if the blamed features were computed again since the last call of Explained.
	explainedChanged bool
	// seed makes the processes try blamed features at different times, and their runs have different IDs. lastID counts the runs
	// of this process.
	seed   uint64
	lastID uint64
}

// run is the stored form of a Run. Its times are on the clock of the process.
type run struct {
	id        uint64
	request   uint32
	endpoint  string
	startedAt time.Duration
	crashedAt time.Duration
	features  []Feature
	// own is set if the run broke at this process.
	own bool
}

// isSameCrash reports whether a run broke in the same crash as an earlier one.
func (r *run) isSameCrash(earlier *run) bool {
	return r.endpoint == earlier.endpoint && r.crashedAt-earlier.crashedAt < sameCrashInterval &&
		r.startedAt <= earlier.crashedAt+restartTime
}

// state is what is known of a feature of a broken run.
type state struct {
	// runs counts the stored runs with the feature.
	runs int
	// servedStartedAt is the latest start of a run with the feature that completed, and served is set if there was one. Crashes
	// before that start do not count.
	servedStartedAt time.Duration
	served          bool
	// blamed is set if requests with the feature are refused. tied holds the features that explained the same crashes as well.
	blamed bool
	tied   []Feature
	// lastCrashAt is the latest crash that counts, isOwn is set if a run of this process broke there, lateCrashes counts the
	// crashes that came late (see toleratedCrashes). common is set if the feature had at least commonShare of the runs, and
	// shareKnown if that was known from completed runs. They are valid while the feature is blamed.
	lastCrashAt time.Duration
	isOwn       bool
	lateCrashes int
	common      bool
	shareKnown  bool
	// learnedShare is the share that a peer has told, if shareLearned is set. It counts until this process knows its own.
	learnedShare float64
	shareLearned bool
	// triedAt is when the latest trial at this process began, and tried is set if there was one.
	triedAt time.Duration
	tried   bool
}

// countsAt reports whether a crash at the given time counts against the feature.
func (s *state) countsAt(t time.Duration) bool {
	return !s.served || t >= s.servedStartedAt
}

// New returns an empty Attributor. It deletes a broken run after the time retention, and stores at most maxRuns.
func New(retention time.Duration, maxRuns int) *Attributor {
	return &Attributor{
		retention: retention, maxRuns: maxRuns, runs: map[uint64]*run{}, features: map[Feature]*state{}, history: newHistory(),
		changedRuns: announcer.New[uint64](sendsPerChange), changedFeatures: announcer.New[Feature](sendsPerChange),
		seed: rand.Uint64(), //nolint:gosec // not a secret
	}
}

// RecordCrash records that a run of this process broke because its endpoint crashed. The ID of the run is set by the
// Attributor.
func (a *Attributor) RecordCrash(r Run, now time.Duration) {
	a.lastID++
	r.ID = a.seed + a.lastID
	r.Features = a.selectFeatures(r.Features, now)
	stored := r.stored(now)
	stored.own = true
	if len(r.Features) > 0 && a.add(stored, now) {
		a.changedRuns.Announce(r.ID)
	}
}

// selectFeatures returns the features that are recorded of a run: those that are known, then the first ones.
func (a *Attributor) selectFeatures(features []Feature, now time.Duration) []Feature {
	if len(features) <= MaxFeaturesPerRun {
		return slices.Clone(features)
	}
	known := func(f Feature) bool { return a.features[f] != nil || a.history.share(f, now) > 0 }
	out := make([]Feature, 0, MaxFeaturesPerRun)
	for _, wanted := range []bool{true, false} {
		for _, f := range features {
			if len(out) < MaxFeaturesPerRun && known(f) == wanted {
				out = append(out, f)
			}
		}
	}
	return out
}

// RecordServed records that a run of a request with the given features, which began at startedAt, completed.
func (a *Attributor) RecordServed(features []Feature, startedAt, now time.Duration) {
	features = features[:min(len(features), MaxFeaturesPerRun)]
	a.history.add(features, startedAt, now)
	for _, f := range features {
		a.acquit(f, startedAt)
	}
}

// acquit records that a run with a feature completed that began at startedAt. If a crash counts no more for that, the peers
// are told.
func (a *Attributor) acquit(f Feature, startedAt time.Duration) {
	s := a.features[f]
	if s == nil || (s.served && startedAt <= s.servedStartedAt) {
		return
	}
	changed := a.hasCrashBetween(f, s, startedAt)
	s.served, s.servedStartedAt = true, startedAt
	if changed {
		a.outdated = true
		a.changedFeatures.Announce(f)
	}
}

// hasCrashBetween reports whether a crash that counts against a feature happened before the given time.
func (a *Attributor) hasCrashBetween(f Feature, s *state, until time.Duration) bool {
	for _, r := range a.runs {
		if r.crashedAt < until && s.countsAt(r.crashedAt) && slices.Contains(r.features, f) {
			return true
		}
	}
	return false
}

// add stores a broken run and returns whether it is new. Of two reports of the same run the earlier times are kept, because
// reports of peers are delayed, and the features of both.
func (a *Attributor) add(r *run, now time.Duration) bool {
	if known := a.runs[r.id]; known != nil {
		a.join(known, r, now)
		return false
	}
	a.deleteExpired(now)
	if len(a.runs) >= a.maxRuns {
		a.makeRoom(now)
	}
	a.runs[r.id] = r
	a.outdated = true
	for _, f := range r.features {
		a.addFeature(f, r.crashedAt, now)
	}
	return true
}

// join adds another report of a run that is known.
func (a *Attributor) join(known, r *run, now time.Duration) {
	if r.crashedAt < known.crashedAt {
		known.startedAt -= known.crashedAt - r.crashedAt
		known.crashedAt = r.crashedAt
		a.outdated = true
	}
	for _, f := range r.features {
		if !slices.Contains(known.features, f) && len(known.features) < MaxFeaturesPerRun {
			known.features = append(slices.Clip(known.features), f)
			a.addFeature(f, known.crashedAt, now)
			a.outdated = true
		}
	}
}

// addFeature counts a run that broke at the given time for a feature. If a run with the feature is known to have begun later
// and completed, the crash does not count.
func (a *Attributor) addFeature(f Feature, crashedAt, now time.Duration) {
	s := a.features[f]
	if s == nil {
		s = &state{}
		a.features[f] = s
	}
	s.runs++
	if startedAt, ok := a.history.lastStart(f, now); ok && startedAt > crashedAt {
		a.acquit(f, startedAt)
	}
}

// deleteExpired deletes the runs that are older than the retention.
func (a *Attributor) deleteExpired(now time.Duration) {
	for _, r := range a.runs {
		if now-r.crashedAt > a.retention {
			a.delete(r)
		}
	}
}

// makeRoom deletes one of deletedFraction runs, so that the blamed features are not computed anew for each further run.
func (a *Attributor) makeRoom(now time.Duration) {
	a.evaluate(now)
	for range max(1, a.maxRuns/deletedFraction) {
		a.deleteWorst()
	}
}

// deleteWorst deletes the oldest run without a blamed feature, or the oldest one if all have one.
func (a *Attributor) deleteWorst() {
	var worst *run
	worstBlamed := false
	for _, r := range a.runs {
		blamed := slices.ContainsFunc(r.features, func(f Feature) bool { return a.features[f].blamed })
		if worst == nil || (worstBlamed && !blamed) || (worstBlamed == blamed && r.crashedAt < worst.crashedAt) {
			worst, worstBlamed = r, blamed
		}
	}
	a.delete(worst)
}

// delete deletes a run, and its features that no other run has.
func (a *Attributor) delete(r *run) {
	delete(a.runs, r.id)
	a.outdated = true
	for _, f := range r.features {
		s := a.features[f]
		if s.runs--; s.runs > 0 {
			continue
		}
		if s.blamed {
			a.changes = append(a.changes, Change{Feature: f})
		}
		delete(a.features, f)
	}
}
