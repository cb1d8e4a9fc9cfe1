package forwarder

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
)

// forgetTrial is called when the endpoint of a contact may have crashed under the request. If that was a trial of blamed parts of
// prompts, it has ended, and others wait for what becomes of the endpoint.
func (j *job) forgetTrial(c contact) {
	if c.isPrefill {
		j.prefillTrial = false
		return
	}
	j.work.Trial = false
}

// endTrials lets the next request with blamed parts of its prompt be tried, if this one was a trial and no endpoint may have
// crashed under it. If it completed, the parts are blamed no more.
func (f *Forwarder) endTrials(j *job) {
	if !j.work.Trial && !j.prefillTrial {
		return
	}
	f.controller.UpdateCrashTracker(func(t *crashtracker.CrashTracker, _ time.Duration) {
		if j.work.Trial {
			t.EndTrial(j.work)
		}
		if j.prefillTrial {
			t.EndPrefillTrial(j.work)
		}
	})
}
