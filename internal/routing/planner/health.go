package planner

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/routing/ejector"
)

const (
	// fullFor is how long an endpoint that refused a request counts as full.
	fullFor = 120 * time.Millisecond
	// tellFailureFor is how long a failure, and a success after it, is told to the other gateways.
	tellFailureFor = 2 * time.Second
	// suspectAfter is how many failures in a row, of all gateways, make an endpoint suspect to those that it has not
	// failed: one alone may be chance.
	suspectAfter = 2
	// suspectsMost is the share of endpoints above which suspicions are not believed: who sees nearly all fail is cut off.
	suspectsMost = 0.5
)

// Failure is a failure of an endpoint.
type Failure struct {
	// Sequence is another one for each failure; zero where there was none.
	Sequence uint64
	Age      time.Duration
}

// health is what is known of how an endpoint does, from own calls and from those of the other gateways.
type health struct {
	// fullUntil, ejectedUntil and suspectUntil end the times in which it gets no new work; suspectUntil is what the other
	// gateways say.
	fullUntil    time.Duration
	ejectedUntil time.Duration
	suspectUntil time.Duration
	// failures counts own failures in a row, row those of all gateways.
	failures int
	row      int
	// number and failedAt are of the latest own failure, recoveredAt of the first own success after a failure.
	number      uint64
	failedAt    time.Duration
	recoveredAt time.Duration
	// latest is the time of the latest failure of any gateway, told the numbers of those heard of.
	latest time.Duration
	told   map[string]uint64
}

func newHealth() health {
	return health{told: map[string]uint64{}}
}

// RecordFull records that an endpoint refused a request for want of room.
func (p *Planner) RecordFull(id string, now time.Duration) {
	if n, ok := p.nodes[id]; ok {
		n.fullUntil = now + fullFor
	}
}

// RecordFailure records that an endpoint failed or could not be reached; it is left alone for a while, longer each time.
func (p *Planner) RecordFailure(id string, now time.Duration) {
	n, ok := p.nodes[id]
	if !ok {
		return
	}
	n.ejectedUntil = now + ejector.Duration(n.failures+1)
	n.failures++
	n.number++
	n.failedAt = now
	p.suspect(n, now, now)
}

// RecordSuccess records that an endpoint answered as it should.
func (p *Planner) RecordSuccess(id string, now time.Duration) {
	n, ok := p.nodes[id]
	if !ok {
		return
	}
	n.failures, n.ejectedUntil = 0, 0
	if n.row > 0 {
		n.recoveredAt = now
	}
	p.trust(n, now)
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
	out := p.suspicions
	p.suspicions = nil
	return out
}

// suspect takes in a failure that any gateway has seen. The end of the suspicion differs by gateway, so that one finds
// out for all whether the endpoint works again.
func (p *Planner) suspect(n *node, at, now time.Duration) {
	n.row++
	n.latest = max(n.latest, at)
	if n.row < suspectAfter {
		return
	}
	leave := ejector.Duration(n.row)
	leave += time.Duration(p.rand.Int64N(int64(leave)))
	if now >= n.suspectUntil {
		p.suspicions = append(p.suspicions, EjectionChange{Endpoint: n.ID, Failures: n.row, Duration: leave})
	}
	n.suspectUntil = max(n.suspectUntil, at+leave)
}

// trust takes in a success that any gateway has seen.
func (p *Planner) trust(n *node, at time.Duration) {
	if at <= n.latest {
		return
	}
	if n.halfOpen() {
		p.suspicions = append(p.suspicions, EjectionChange{Endpoint: n.ID})
	}
	n.row, n.suspectUntil = 0, 0
}

// hearHealth takes in what another gateway tells.
func (p *Planner) hearHealth(n *node, gateway string, l Load, now time.Duration) {
	if l.Recovered {
		p.trust(n, now-l.RecoveryAge)
	}
	if l.Failure.Sequence == 0 || l.Failure.Sequence == n.told[gateway] {
		return
	}
	n.told[gateway] = l.Failure.Sequence
	p.suspect(n, now-l.Failure.Age, now)
}

// tell adds to a load what the other gateways should know.
func (h *health) tell(l *Load, now time.Duration) {
	if h.number != 0 && now-h.failedAt < tellFailureFor {
		l.Failure = Failure{Sequence: h.number, Age: now - h.failedAt}
	}
	if h.recoveredAt > h.latest && now-h.recoveredAt < tellFailureFor {
		l.Recovered, l.RecoveryAge = true, now-h.recoveredAt
	}
}

func (n *node) open(now time.Duration) bool {
	return !n.gone && now >= n.fullUntil && now >= n.ejectedUntil
}

// halfOpen tells whether the endpoint has failed again and again and not worked since: one request at a time shows whether
// it does again.
func (h *health) halfOpen() bool {
	return h.row >= suspectAfter
}

// avoided tells whether an endpoint with or without other work is left alone for what the other gateways say.
func (h *health) avoided(busy bool, now time.Duration) bool {
	return now < h.suspectUntil || (busy && h.halfOpen())
}

// trusted tells whether suspicions about the endpoints of a service and stage are to be believed: not where most are
// suspect.
func (p *Planner) trusted(service string, stage Stage, now time.Duration) bool {
	suspects, all := 0, 0
	for _, n := range p.order {
		if n.gone || n.Service != service || n.Stage != stage {
			continue
		}
		all++
		if now < n.suspectUntil {
			suspects++
		}
	}
	return float64(suspects) <= suspectsMost*float64(all)
}
