package planner

import "time"

// Load is what one gateway has on an endpoint.
type Load struct {
	// Runs are the requests granted to a decode endpoint and not ended.
	Runs []Run
	// BacklogTokens is the prompt tokens that a prefill endpoint has not read yet.
	BacklogTokens int
	// PrefillSample is the latest prompt that the gateway had read there.
	PrefillSample PrefillSample
	// Failure is the gateway's latest failure there. Worked is set where it has had a success there lately, and a failure
	// is known; WorkedAge is the time since.
	Failure     Failure
	Recovered   bool
	RecoveryAge time.Duration
}

func (l Load) empty() bool {
	return len(l.Runs) == 0 && l.BacklogTokens == 0 && l.PrefillSample.Sequence == 0 && l.Failure.Sequence == 0 && !l.Recovered
}

type peerLoad struct {
	Load
	at time.Duration
}

// UpdatePeerLoads takes in what another gateway has on each endpoint.
func (p *Planner) UpdatePeerLoads(gateway string, loads map[string]Load, now time.Duration) {
	for _, n := range p.order {
		l := loads[n.ID]
		if l.empty() {
			delete(n.peers, gateway)
			continue
		}
		p.hear(n, gateway, l, now)
	}
}

func (p *Planner) hear(n *node, gateway string, l Load, now time.Duration) {
	n.peers[gateway] = peerLoad{Load: l, at: now}
	if l.PrefillSample.Sequence != 0 && l.PrefillSample.Sequence != n.heard[gateway] {
		n.heard[gateway] = l.PrefillSample.Sequence
		p.learn(n, l.PrefillSample)
	}
	p.hearHealth(n, gateway, l, now)
}

// UpdatePeerLoad takes in what another gateway has on one endpoint.
func (p *Planner) UpdatePeerLoad(gateway, endpoint string, l Load, now time.Duration) {
	if n, ok := p.nodes[endpoint]; ok {
		p.hear(n, gateway, l, now)
	}
}

// RemovePeer forgets a gateway.
func (p *Planner) RemovePeer(gateway string) {
	for _, n := range p.order {
		delete(n.peers, gateway)
		delete(n.heard, gateway)
		delete(n.told, gateway)
	}
}

// LoadOn returns what this gateway has on one endpoint.
func (p *Planner) LoadOn(endpoint string, now time.Duration) Load {
	n, ok := p.nodes[endpoint]
	if !ok {
		return Load{}
	}
	return p.load(n, now)
}

func (p *Planner) load(n *node, now time.Duration) Load {
	l := Load{BacklogTokens: max(0, min(n.backlog, int((n.readAt-now).Seconds()*n.readRate)))}
	for _, r := range n.own {
		l.Runs = append(l.Runs, r.at(now))
	}
	if now-n.readSeen < tellReadFor {
		l.PrefillSample = n.read
	}
	n.tell(&l, now)
	return l
}

// Loads returns what this gateway has on each endpoint, for the others.
func (p *Planner) Loads(now time.Duration) map[string]Load {
	out := make(map[string]Load)
	for _, n := range p.order {
		if l := p.load(n, now); !l.empty() {
			out[n.ID] = l
		}
	}
	return out
}
