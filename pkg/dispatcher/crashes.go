package dispatcher

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/attributor"
)

// crashesEndpoints returns whether a request must not be sent, because it or what it shares with others crashes endpoints.
func (d *Dispatcher) crashesEndpoints(j *job, now time.Duration) bool {
	d.quarantiner.Exclude(d.attributor, now)
	if d.quarantiner.IsRefused(j.Fingerprint, now) {
		return true
	}
	if j.isTrial {
		return false
	}
	return d.attributor.Decide(j.Features, now).Refused || d.attributor.Decide(j.PrefillFeatures, now).Refused
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
	j.suspect, j.isTrial = true, false
	features := j.Features
	if j.phase == prefilling {
		features = j.PrefillFeatures
	}
	d.attributor.RecordCrash(attributor.Run{
		Request: uint32(j.Fingerprint), Endpoint: endpoint, Duration: now - j.phaseStartedAt, Features: features, //nolint:gosec // a part of the digest
	}, now)
}
