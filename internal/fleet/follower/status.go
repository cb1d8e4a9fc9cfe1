package follower

import (
	"sync"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
)

// Status is what operators see of a Follower.
type Status struct {
	// Revision is that of the copy.
	Revision revision.Revision
	// EraSince is when the first answer of the era was received.
	EraSince time.Duration
	// Reads counts the reads of all entries, and Eras those of them that found another era than the one before.
	Reads, Eras uint64
	// LateAnswers counts the answers of an earlier era, which were not used.
	LateAnswers uint64
}

// statusRecorder holds the Status of a Follower. It is safe for concurrent use; mu protects the status.
type statusRecorder struct {
	mu     sync.Mutex
	status Status
}

// get returns the status.
func (r *statusRecorder) get() Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.status
}

// recordRead records a read of all entries at now.
func (r *statusRecorder) recordRead(at revision.Revision, now time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.status.Reads == 0 || r.status.Revision.Era != at.Era {
		r.status.EraSince = now
	}
	if r.status.Reads > 0 && r.status.Revision.Era != at.Era {
		r.status.Eras++
	}
	r.status.Reads++
	r.status.Revision = at
}

// recordChanges records the revision after a watch.
func (r *statusRecorder) recordChanges(at revision.Revision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.Revision = at
}

// recordLateAnswer counts an answer that was not used.
func (r *statusRecorder) recordLateAnswer() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.status.LateAnswers++
}
