package planner

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/ejector"
)

const (
	// fullTimeout is the time for which an endpoint that refused a request for lack of room gets no new requests.
	fullTimeout = 120 * time.Millisecond
	// healthReportTime is the time for which a failure, and a success after it, is reported to the peers.
	healthReportTime = 2 * time.Second
	// sharedEjectionFailures is the number of consecutive failures, counted over all gateways, after which a gateway
	// ejects an endpoint that it has not itself seen fail. A single failure may be chance.
	sharedEjectionFailures = 2
	// maxEjectedFraction is the fraction of endpoints above which shared ejections are ignored: a gateway that
	// reports nearly all endpoints as failing is itself cut off from them.
	maxEjectedFraction = 0.5
)

// Failure is a failure of an endpoint that one gateway observed.
type Failure struct {
	// ID differs for each failure that the gateway observes at the endpoint. It is zero if there was none.
	ID uint64
	// Age is the time since the failure.
	Age time.Duration
}

// health holds the failures and successes of an endpoint that this gateway observed, called own, and those of all
// gateways including this one, called shared.
type health struct {
	// The endpoint gets no new requests until these times. fullUntil is set after the endpoint refused a request for
	// lack of room, ejectedUntil after own failures, and sharedEjectedUntil after shared failures.
	fullUntil          time.Duration
	ejectedUntil       time.Duration
	sharedEjectedUntil time.Duration
	// ownFailures and sharedFailures count consecutive failures. They are zero after a success.
	ownFailures    int
	sharedFailures int
	// ownFailureID and ownFailureAt describe the latest own failure.
	ownFailureID uint64
	ownFailureAt time.Duration
	// ownRecoveryAt is the time of the first own success after a shared failure.
	ownRecoveryAt time.Duration
	// sharedFailureAt is the time of the latest shared failure.
	sharedFailureAt time.Duration
	// peerFailureIDs holds the ID of the latest failure of each peer, so that each failure is counted once.
	peerFailureIDs map[string]uint64
}

func newHealth() health {
	return health{peerFailureIDs: map[string]uint64{}}
}

// RecordFull records that an endpoint refused a request for lack of room.
func (p *Planner) RecordFull(id string, now time.Duration) {
	if n, ok := p.nodes[id]; ok {
		n.fullUntil = now + fullTimeout
	}
}

// RecordFailure records that an endpoint failed or could not be reached. This gateway ejects the endpoint, for
// longer after each consecutive failure.
func (p *Planner) RecordFailure(id string, now time.Duration) {
	n, ok := p.nodes[id]
	if !ok {
		return
	}
	n.ejectedUntil = now + ejector.Duration(n.ownFailures+1)
	n.ownFailures++
	n.ownFailureID++
	n.ownFailureAt = now
	p.recordSharedFailure(n, now, now)
}

// RecordSuccess records that an endpoint answered correctly, which ends its ejection.
func (p *Planner) RecordSuccess(id string, now time.Duration) {
	n, ok := p.nodes[id]
	if !ok {
		return
	}
	n.ownFailures, n.ejectedUntil = 0, 0
	if n.sharedFailures > 0 {
		n.ownRecoveryAt = now
	}
	p.recordSharedSuccess(n, now)
}

// EjectionChange is the ejection of an endpoint because of shared failures, or the end of such an ejection.
type EjectionChange struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Failures is the number of consecutive failures over all gateways. It is zero if the ejection ended because the
	// endpoint works again.
	Failures int
	// Duration is the length of the ejection. It is zero if the ejection ended.
	Duration time.Duration
}

// TakeEjectionChanges returns the changes since its last call.
func (p *Planner) TakeEjectionChanges() []EjectionChange {
	changes := p.ejectionChanges
	p.ejectionChanges = nil
	return changes
}

// recordSharedFailure counts a failure that any gateway observed; at is the time of the failure. The length of the
// ejection is random at each gateway, between one and two times the regular length, so that one gateway tries the
// endpoint first and finds out for all whether it works again.
func (p *Planner) recordSharedFailure(n *node, at, now time.Duration) {
	n.sharedFailures++
	n.sharedFailureAt = max(n.sharedFailureAt, at)
	if n.sharedFailures < sharedEjectionFailures {
		return
	}
	duration := ejector.Duration(n.sharedFailures)
	duration += time.Duration(p.rand.Int64N(int64(duration)))
	if now >= n.sharedEjectedUntil {
		p.ejectionChanges = append(p.ejectionChanges, EjectionChange{
			Endpoint: n.ID, Failures: n.sharedFailures, Duration: duration,
		})
	}
	n.sharedEjectedUntil = max(n.sharedEjectedUntil, at+duration)
}

// recordSharedSuccess ends the shared ejection of an endpoint after any gateway observed a success; at is the time of
// the success. A success that is not newer than the latest failure is ignored.
func (p *Planner) recordSharedSuccess(n *node, at time.Duration) {
	if at <= n.sharedFailureAt {
		return
	}
	if n.halfOpen() {
		p.ejectionChanges = append(p.ejectionChanges, EjectionChange{Endpoint: n.ID})
	}
	n.sharedFailures, n.sharedEjectedUntil = 0, 0
}

// mergePeerHealth records the success and the failure that a peer reported for an endpoint.
func (p *Planner) mergePeerHealth(n *node, peer string, l Load, now time.Duration) {
	if l.Recovered {
		p.recordSharedSuccess(n, now-l.RecoveryAge)
	}
	if l.LastFailure.ID == 0 || l.LastFailure.ID == n.peerFailureIDs[peer] {
		return
	}
	n.peerFailureIDs[peer] = l.LastFailure.ID
	p.recordSharedFailure(n, now-l.LastFailure.Age, now)
}

// addToLoad adds the recent own failure and recovery to the load that is sent to the peers.
func (h *health) addToLoad(l *Load, now time.Duration) {
	if h.ownFailureID != 0 && now-h.ownFailureAt < healthReportTime {
		l.LastFailure = Failure{ID: h.ownFailureID, Age: now - h.ownFailureAt}
	}
	if h.ownRecoveryAt > h.sharedFailureAt && now-h.ownRecoveryAt < healthReportTime {
		l.Recovered, l.RecoveryAge = true, now-h.ownRecoveryAt
	}
}

// isAvailable reports whether an endpoint is usable, not known to be full and not ejected because of own failures.
func (p *Planner) isAvailable(n *node, now time.Duration) bool {
	return now >= n.fullUntil && now >= n.ejectedUntil && p.isUsable(n, now)
}

// halfOpen reports whether the endpoint has failed repeatedly and not succeeded since. After its ejection ends, it
// gets one request at a time until one succeeds.
func (h *health) halfOpen() bool {
	return h.sharedFailures >= sharedEjectionFailures
}

// sharedEjectionActive reports whether the endpoint gets no new request because of shared failures: it is ejected,
// or it is half open and hasWork is set, which means that it already has a request.
func (h *health) sharedEjectionActive(hasWork bool, now time.Duration) bool {
	return now < h.sharedEjectedUntil || (hasWork && h.halfOpen())
}

// sharedEjectionsApply reports whether the shared ejections of endpoints of a service and stage are used. They are
// ignored if they affect too large a fraction of these endpoints.
func (p *Planner) sharedEjectionsApply(service string, stage Stage, now time.Duration) bool {
	ejected, total := 0, 0
	for _, n := range p.sortedNodes {
		if n.removed || n.Service != service || n.Stage != stage {
			continue
		}
		total++
		if now < n.sharedEjectedUntil {
			ejected++
		}
	}
	return float64(ejected) <= maxEjectedFraction*float64(total)
}
