package controller

import (
	"slices"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashencoder"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
	"github.com/pistachiovane/pistachiovane/internal/proxy/prober"
	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

const (
	// maxCrashChangesPerMessage limits the crash records in a message that this gateway has changed. When an endpoint
	// crashes, each gateway has records of the requests that it ran there.
	maxCrashChangesPerMessage = 8
	// One of every messagesPerCrashRecord messages contains one of the other crash records, in turn, so that gateways that
	// missed a change learn of it. Messages for a gateway that has just started contain crashRecordsForNewPeer.
	messagesPerCrashRecord = 4
	crashRecordsForNewPeer = 8
	// maxPartChangesPerMessage is how many of maxCrashChangesPerMessage may be about the parts of prompts.
	maxPartChangesPerMessage = 5
)

// UpdateCrashTracker calls a function on the crash tracker under the lock.
func (c *Controller) UpdateCrashTracker(change func(t *crashtracker.CrashTracker, now time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	change(c.crashTracker, now)
	c.logCrashOutcomes()
}

// ReadCrashTracker calls a function on the crash tracker under the lock. The function must not change it.
func (c *Controller) ReadCrashTracker(read func(t *crashtracker.CrashTracker)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	read(c.crashTracker)
}

// Process returns the process of a listed endpoint, to be probed. ok is false if the endpoint is not listed, or has asked
// for a pause, in which nothing may be sent to it.
func (c *Controller) Process(endpointID string) (p prober.Process, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i := slices.IndexFunc(c.endpoints, func(e lister.Endpoint) bool { return e.ID == endpointID })
	if i < 0 || c.suspender.IsPaused(endpointID, c.clock()) {
		return prober.Process{}, false
	}
	e := c.endpoints[i]
	p = prober.Process{Address: e.Address, EndpointID: e.ID, StartedAtMs: e.StartedAtMs, Model: e.Model}
	if c.config == nil {
		return p, true
	}
	if s, found := c.config.Service(e.Service); found {
		p.HealthPath = s.HealthPath
	}
	return p, true
}

// DecideQuarantine returns whether a request may be sent to an endpoint, or must not be because it crashes endpoints.
func (c *Controller) DecideQuarantine(w crashtracker.Work) crashtracker.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashTracker.DecideRun(w, c.clock())
}

// QuarantinedRequests returns the requests that must not be sent because they crash endpoints.
func (c *Controller) QuarantinedRequests() []quarantiner.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashTracker.RefusedRequests(c.clock())
}

// BlamedParts returns the parts of prompts with which requests are refused because they crash endpoints.
func (c *Controller) BlamedParts() []attributor.Feature {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.crashTracker.BlamedParts(c.clock())
}

// logCrashOutcomes logs each decision whether a crash counts against a request or a part of prompts. The lock must be held.
func (c *Controller) logCrashOutcomes() {
	for _, o := range c.crashTracker.TakeOutcomes() {
		c.log.Info().Str("endpoint", o.Endpoint).Str("fingerprint", o.Fingerprint.String()).
			Str("outcome", string(o.Decision)).Str("evidence", string(o.Evidence)).Int64("age_ms", o.Age.Milliseconds()).
			Bool("refused", o.Refused).Msg("crash: decided")
	}
	for _, p := range c.crashTracker.TakePartChanges(c.clock()) {
		if !p.Blamed {
			c.log.Info().Str("feature", p.Feature.String()).Msg("crash: part acquitted")
			continue
		}
		c.log.Info().Str("feature", p.Feature.String()).Int("crashes", p.Crashes).Float64("share", p.Share).
			Msg("crash: part blamed")
	}
}

// setCrashTrackerEndpoints passes the endpoint list to the crash tracker. The lock must be held.
func (c *Controller) setCrashTrackerEndpoints() {
	listed := make([]crashtracker.Endpoint, 0, len(c.endpoints))
	for _, e := range c.endpoints {
		listed = append(listed, crashtracker.Endpoint{ID: e.ID, StartedAtMs: e.StartedAtMs, Leaving: c.isLeaving(&e)})
	}
	c.crashTracker.SetEndpoints(listed, c.clock(), time.Now())
	c.logCrashOutcomes()
}

// composeCrashes adds the crash records for the next message. It is called regularly, so it also drops old suspects. The lock
// must be held.
func (c *Controller) composeCrashes(m *broadcaster.Message, hasNewPeer bool, now time.Duration) {
	c.crashTracker.ExpireSuspects(now)
	c.logCrashOutcomes()
	others, forNewPeer := 0, 0
	if c.composedMessages%messagesPerCrashRecord == 0 {
		others = 1
	}
	if hasNewPeer {
		forNewPeer = crashRecordsForNewPeer
	}
	parts := c.crashTracker.NextPartReports(maxPartChangesPerMessage, others, forNewPeer, now)
	m.Parts = crashencoder.Encode(parts)
	changes := maxCrashChangesPerMessage - min(maxPartChangesPerMessage, len(parts.Runs)+len(parts.Acquittals))
	m.CrashRecords = encodeCrashRecords(c.crashTracker.NextCrashRecords(changes, others, forNewPeer, now))
}

// receiveCrashRecords adds the crash records of a message. Reports of one crash are recognised by its time, so those of a
// message of unknown age are left out: the sender repeats them. Older builds never say when they sent a message; their
// messages count as fresh. Broken runs are recognised by their IDs, so they count in any case. An acquittal of a message of
// unknown age is left out: it would seem to be from a later time than it is. The lock must be held.
func (c *Controller) receiveCrashRecords(m broadcaster.Message, now time.Duration) {
	parts := m.Parts.Decode(m.Age)
	if !m.AgeKnown {
		parts.Acquittals = nil
	}
	c.crashTracker.MergeParts(parts, now)
	switch {
	case m.AgeKnown:
		c.crashTracker.Merge(decodeCrashRecords(m.CrashRecords, m.Age), now)
	case m.SentAtMs == 0:
		c.crashTracker.Merge(decodeCrashRecords(m.CrashRecords, 0), now)
	}
}

// encodeCrashRecords converts crash records for a message. Ages become ms. The list of all crashes is left out if it would
// add nothing to the endpoint and the age.
func encodeCrashRecords(records []quarantiner.CrashRecord) []broadcaster.CrashRecord {
	var out []broadcaster.CrashRecord
	for _, r := range records {
		endpoints, age := r.Uncleared()
		w := broadcaster.CrashRecord{Fingerprint: uint64(r.Fingerprint), Endpoints: endpoints, AgeMs: age.Milliseconds()}
		if len(r.Crashes) > 1 || len(endpoints) == 0 {
			for _, c := range r.Crashes {
				w.Crashes = append(w.Crashes, broadcaster.Crash{
					Endpoint: c.Endpoint, AgeMs: c.Age.Milliseconds(), DurationMs: c.Duration.Milliseconds(), Cleared: c.Cleared,
				})
			}
		} else {
			w.DurationMs = r.Crashes[0].Duration.Milliseconds()
		}
		out = append(out, w)
	}
	return out
}

// decodeCrashRecords converts the crash records of a message of the given age.
func decodeCrashRecords(records []broadcaster.CrashRecord, messageAge time.Duration) []quarantiner.CrashRecord {
	out := make([]quarantiner.CrashRecord, 0, len(records))
	for _, w := range records {
		age := time.Duration(w.AgeMs)*time.Millisecond + messageAge
		r := quarantiner.NewCrashRecord(quarantiner.Fingerprint(w.Fingerprint), w.Endpoints, age)
		if len(w.Crashes) > 0 {
			r.Crashes = nil
		}
		if len(r.Crashes) == 1 {
			r.Crashes[0].Duration = time.Duration(w.DurationMs) * time.Millisecond
		}
		for _, c := range w.Crashes {
			r.Crashes = append(r.Crashes, quarantiner.Crash{
				Endpoint: c.Endpoint, Age: time.Duration(c.AgeMs)*time.Millisecond + messageAge,
				Duration: time.Duration(c.DurationMs) * time.Millisecond, Cleared: c.Cleared,
			})
		}
		out = append(out, r)
	}
	return out
}
