package planner

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/ejector"
)

const (
	// fullTimeout is how long an endpoint that refused a request counts as full.
	fullTimeout = 120 * time.Millisecond
	// healthReportTime is how long a failure, and a success after it, is told to the other gateways.
	healthReportTime = 2 * time.Second
	// sharedEjectionFailures is how many failures in a row, of all gateways, make an endpoint suspect to those that it has not
	// failed: one alone may be chance.
	sharedEjectionFailures = 2
	// maxEjectedFraction is the share of endpoints above which suspicions are not believed: who sees nearly all fail is cut off.
	maxEjectedFraction = 0.5
)

// Failure is a failure of an endpoint.
type Failure struct {
	// ID is another one for each failure; zero where there was none.
	ID  uint64
	Age time.Duration
}

// health is what is known of how an endpoint does, from own calls and from those of the other gateways.
type health struct {
	// fullUntil, ejectedUntil and suspectUntil end the times in which it gets no new work; suspectUntil is what the other
	// gateways say.
	fullUntil          time.Duration
	ejectedUntil       time.Duration
	sharedEjectedUntil time.Duration
	// ownFailures counts own failures in a row, row those of all gateways.
	ownFailures    int
	sharedFailures int
	// ownFailureID and failedAt are of the latest own failure, recoveredAt of the first own success after a failure.
	ownFailureID  uint64
	ownFailureAt  time.Duration
	ownRecoveryAt time.Duration
	// sharedFailureAt is the time of the latest failure of any gateway, told the numbers of those heard of.
	sharedFailureAt time.Duration
	peerFailureIDs  map[string]uint64
}

func newHealth() health {
	return health{peerFailureIDs: map[string]uint64{}}
}

// RecordFull records that an endpoint refused a request for want of room.
func (p *Planner) RecordFull(id string, now time.Duration) {
	if n, ok := p.nodes[id]; ok {
		n.fullUntil = now + fullTimeout
	}
}

// RecordFailure records that an endpoint failed or could not be reached; it is left alone for a while, longer each time.
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

// RecordSuccess records that an endpoint answered as it should.
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

// EjectionChange is a change of what is believed of an endpoint for what gateways report of it.
type EjectionChange struct {
	Endpoint string
	// Failures is how many there were in a row, of all gateways; zero where the endpoint works again.
	Failures int
	// Duration is how long it is left alone.
	Duration time.Duration
}

// TakeEjectionChanges returns the changes since the last call.
func (p *Planner) TakeEjectionChanges() []EjectionChange {
	changes := p.ejectionChanges
	p.ejectionChanges = nil
	return changes
}

// recordSharedFailure takes in a failure that any gateway has seen. The end of the suspicion differs by gateway, so that one finds
// out for all whether the endpoint works again.
func (p *Planner) recordSharedFailure(n *node, at, now time.Duration) {
	n.sharedFailures++
	n.sharedFailureAt = max(n.sharedFailureAt, at)
	if n.sharedFailures < sharedEjectionFailures {
		return
	}
	duration := ejector.Duration(n.sharedFailures)
	duration += time.Duration(p.rand.Int64N(int64(duration)))
	if now >= n.sharedEjectedUntil {
		p.ejectionChanges = append(p.ejectionChanges, EjectionChange{Endpoint: n.ID, Failures: n.sharedFailures, Duration: duration})
	}
	n.sharedEjectedUntil = max(n.sharedEjectedUntil, at+duration)
}

// recordSharedSuccess takes in a success that any gateway has seen.
func (p *Planner) recordSharedSuccess(n *node, at time.Duration) {
	if at <= n.sharedFailureAt {
		return
	}
	if n.halfOpen() {
		p.ejectionChanges = append(p.ejectionChanges, EjectionChange{Endpoint: n.ID})
	}
	n.sharedFailures, n.sharedEjectedUntil = 0, 0
}

// mergePeerHealth takes in what another gateway tells.
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

// addToLoad adds to a load what the other gateways should know.
func (h *health) addToLoad(l *Load, now time.Duration) {
	if h.ownFailureID != 0 && now-h.ownFailureAt < healthReportTime {
		l.LastFailure = Failure{ID: h.ownFailureID, Age: now - h.ownFailureAt}
	}
	if h.ownRecoveryAt > h.sharedFailureAt && now-h.ownRecoveryAt < healthReportTime {
		l.Recovered, l.RecoveryAge = true, now-h.ownRecoveryAt
	}
}

func (n *node) available(now time.Duration) bool {
	return !n.removed && now >= n.fullUntil && now >= n.ejectedUntil
}

// halfOpen tells whether the endpoint has failed again and again and not worked since: one request at a time shows whether
// it does again.
func (h *health) halfOpen() bool {
	return h.sharedFailures >= sharedEjectionFailures
}

// sharedEjectionActive tells whether an endpoint with or without other work is left alone for what the other gateways say.
func (h *health) sharedEjectionActive(hasWork bool, now time.Duration) bool {
	return now < h.sharedEjectedUntil || (hasWork && h.halfOpen())
}

// sharedEjectionsApply tells whether suspicions about the endpoints of a service and stage are to be believed: not where most are
// suspect.
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
