package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

// crashesEndpoints returns whether a request must not be sent, because it or what it shares with others crashes endpoints.
func (d *Dispatcher) crashesEndpoints(j *job, now time.Duration) bool {
	d.explainCrashes(now)
	if d.quarantiner.IsRefused(j.Fingerprint, now) {
		return true
	}
	if j.isTrial {
		return false
	}
	return d.attributor.Decide(j.Features, now).Refused || d.attributor.Decide(j.PrefillFeatures, now).Refused
}

// explainCrashes takes the crashes that a feature explains from the requests that were running there.
func (d *Dispatcher) explainCrashes(now time.Duration) {
	crashes, changed := d.attributor.Explained(now)
	if !changed {
		return
	}
	explained := make([]quarantiner.ExplainedCrash, 0, len(crashes))
	for _, c := range crashes {
		explained = append(explained, quarantiner.ExplainedCrash(c))
	}
	d.quarantiner.SetExplained(explained)
}

// beginTrial records that a request is sent to an endpoint although one of its features is blamed, if one is.
func (d *Dispatcher) beginTrial(j *job, now time.Duration) {
	if j.isTrial || (!d.attributor.IsBlamed(j.Features, now) && !d.attributor.IsBlamed(j.PrefillFeatures, now)) {
		return
	}
	j.isTrial = true
	d.attributor.BeginTrial(j.Features, now)
	d.attributor.BeginTrial(j.PrefillFeatures, now)
}

// recordCrash records that an endpoint crashed while it ran or prefilled a request.
func (d *Dispatcher) recordCrash(j *job, endpoint string, now time.Duration) {
	d.quarantiner.RecordCrash(j.Fingerprint, endpoint, now)
	j.suspect = true
	features := j.Features
	if j.phase == prefilling {
		features = j.PrefillFeatures
	}
	d.attributor.RecordCrash(rand.Uint64(), endpoint, features, j.phaseStartedAt, now, now) //nolint:gosec // not a secret
}
