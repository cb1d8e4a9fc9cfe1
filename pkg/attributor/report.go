package attributor

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Run is a run that broke when its endpoint crashed. Processes send it to their peers.
type Run struct {
	// ID tells it from all other runs. Request is a digest of the request; repetitions of a request have the same.
	ID       uint64
	Request  uint32
	Endpoint string
	// Age is the time since the crash, and Duration the time from the start of the run to the crash.
	Age, Duration time.Duration
	Features      []Feature
}

// stored returns the stored form of the run.
func (r Run) stored(now time.Duration) *run {
	at := now - r.Age
	return &run{
		id: r.ID, request: r.Request, endpoint: r.Endpoint, crashedAt: at, startedAt: at - r.Duration, features: r.Features,
	}
}

// Acquittal says that a run with a feature completed. Processes send it to their peers.
type Acquittal struct {
	Feature Feature
	// Age is the time since the latest of these runs began.
	Age time.Duration
}

// FeatureShare is the fraction of the completed runs that have a feature. Processes send it to peers that have just started and
// have completed too few to know.
type FeatureShare struct {
	Feature Feature
	Ratio   float64
}

// Reports is what a process tells its peers.
type Reports struct {
	Runs       []Run
	Acquittals []Acquittal
	Shares     []FeatureShare
}

// Merge adds what a peer sent.
func (a *Attributor) Merge(reports Reports, now time.Duration) {
	for _, r := range reports.Runs {
		if len(r.Features) == 0 || r.Age > a.retention {
			continue
		}
		r.Features = r.Features[:min(len(r.Features), MaxFeaturesPerRun)]
		a.add(r.stored(now), now)
	}
	for _, c := range reports.Acquittals {
		a.history.addStart(c.Feature, now-c.Age, now)
		if s := a.features[c.Feature]; s != nil && (!s.served || now-c.Age > s.servedStartedAt) {
			s.served, s.servedStartedAt = true, now-c.Age
			a.outdated = true
		}
	}
	for _, c := range reports.Shares {
		a.learnShare(c)
	}
}

// learnShare keeps what a peer knows of a feature with which runs broke, for as long as this process doesn't know better.
func (a *Attributor) learnShare(c FeatureShare) {
	s := a.features[c.Feature]
	if s == nil || (s.shareLearned && s.learnedShare == c.Ratio) {
		return
	}
	s.shareLearned, s.learnedShare = true, c.Ratio
	a.outdated = true
}

// NextReports returns the reports for the next message to the peers: at most maxChanges that this process has changed and not
// sent sendsPerChange times since, and at most maxOthers further runs that count, each in turn.
func (a *Attributor) NextReports(maxChanges, maxOthers int, now time.Duration) Reports {
	out := Reports{Runs: a.nextRuns(maxChanges, now)}
	out.Acquittals = a.nextAcquittals(maxChanges-len(out.Runs), now)
	if maxOthers == 0 {
		return out
	}
	ids := slices.Sorted(maps.Keys(a.runs))
	first, _ := slices.BinarySearch(ids, a.lastOther+1)
	for i := 0; i < len(ids) && maxOthers > 0; i++ {
		r := a.runs[ids[(first+i)%len(ids)]]
		if a.changedRuns.IsPending(r.id) || !a.counts(r) {
			continue
		}
		out.Runs = append(out.Runs, r.export(now))
		a.lastOther = r.id
		maxOthers--
	}
	return out
}

// BlamedReports returns the runs for a process that has just started: at most maxRuns of those with a blamed feature, the latest
// ones first, without their other features, and the shares of these.
func (a *Attributor) BlamedReports(maxRuns int, now time.Duration) Reports {
	a.evaluate(now)
	var latest []*run
	for _, r := range a.runs {
		if slices.ContainsFunc(r.features, a.isBlamed) {
			latest = append(latest, r)
		}
	}
	slices.SortFunc(latest, func(x, y *run) int { return cmp.Compare(y.crashedAt, x.crashedAt) })
	var out Reports
	for _, r := range latest[:min(len(latest), maxRuns)] {
		exported := r.export(now)
		exported.Features = slices.DeleteFunc(slices.Clone(r.features), func(f Feature) bool { return !a.isBlamed(f) })
		out.Runs = append(out.Runs, exported)
	}
	for f, s := range a.features {
		if ratio, known := a.knownShare(f, s, now); known && s.blamed {
			out.Shares = append(out.Shares, FeatureShare{Feature: f, Ratio: ratio})
		}
	}
	slices.SortFunc(out.Shares, func(x, y FeatureShare) int { return cmp.Compare(x.Feature, y.Feature) })
	return out
}

// isBlamed reports whether a feature was blamed at the last evaluation.
func (a *Attributor) isBlamed(f Feature) bool {
	return a.features[f] != nil && a.features[f].blamed
}

// counts reports whether a run counts against any of its features.
func (a *Attributor) counts(r *run) bool {
	return slices.ContainsFunc(r.features, func(f Feature) bool { return a.features[f].countsAt(r.crashedAt) })
}

// export returns the run for peers.
func (r *run) export(now time.Duration) Run {
	return Run{
		ID: r.id, Request: r.request, Endpoint: r.endpoint, Age: max(0, now-r.crashedAt), Duration: max(0, r.crashedAt-r.startedAt),
		Features: r.features,
	}
}

// nextRuns returns at most limit runs that are to be sent because they are new.
func (a *Attributor) nextRuns(limit int, now time.Duration) []Run {
	var out []Run
	a.changedRuns.Next(limit, func(id uint64) bool {
		r := a.runs[id]
		if r != nil {
			out = append(out, r.export(now))
		}
		return r != nil
	})
	return out
}

// nextAcquittals returns at most limit acquittals that are to be sent because they are new.
func (a *Attributor) nextAcquittals(limit int, now time.Duration) []Acquittal {
	var out []Acquittal
	a.changedFeatures.Next(limit, func(f Feature) bool {
		s := a.features[f]
		if s != nil {
			out = append(out, Acquittal{Feature: f, Age: max(0, now-s.servedStartedAt)})
		}
		return s != nil
	})
	return out
}
