package planner

import "time"

// Load is what one gateway has on an endpoint.
type Load struct {
	// Runs are the requests granted to a decode endpoint and not ended.
	Runs []Run
	// BacklogTokens is the prompt tokens that a prefill endpoint has not read yet.
	BacklogTokens int
	// LastPrefill is the latest prompt that the gateway had read there.
	LastPrefill PrefillSample
	// LastFailure is the gateway's latest failure there. Worked is set where it has had a success there lately, and a failure
	// is known; WorkedAge is the time since.
	LastFailure Failure
	Recovered   bool
	RecoveryAge time.Duration
}

func (l Load) empty() bool {
	return len(l.Runs) == 0 && l.BacklogTokens == 0 && l.LastPrefill.ID == 0 && l.LastFailure.ID == 0 && !l.Recovered
}

type peerLoad struct {
	Load
	receivedAt time.Duration
}

// UpdatePeerLoads takes in what another gateway has on each endpoint.
func (p *Planner) UpdatePeerLoads(peer string, loads map[string]Load, now time.Duration) {
	for _, n := range p.sortedNodes {
		l := loads[n.ID]
		if l.empty() {
			delete(n.peerLoads, peer)
			continue
		}
		p.mergePeerLoad(n, peer, l, now)
	}
}

func (p *Planner) mergePeerLoad(n *node, peer string, l Load, now time.Duration) {
	n.peerLoads[peer] = peerLoad{Load: l, receivedAt: now}
	if l.LastPrefill.ID != 0 && l.LastPrefill.ID != n.peerPrefillIDs[peer] {
		n.peerPrefillIDs[peer] = l.LastPrefill.ID
		p.updatePrefillRate(n, l.LastPrefill)
	}
	p.mergePeerHealth(n, peer, l, now)
}

// UpdatePeerLoad takes in what another gateway has on one endpoint.
func (p *Planner) UpdatePeerLoad(peer, endpoint string, l Load, now time.Duration) {
	if n, ok := p.nodes[endpoint]; ok {
		p.mergePeerLoad(n, peer, l, now)
	}
}

// RemovePeer forgets a gateway.
func (p *Planner) RemovePeer(peer string) {
	for _, n := range p.sortedNodes {
		delete(n.peerLoads, peer)
		delete(n.peerPrefillIDs, peer)
		delete(n.peerFailureIDs, peer)
	}
}

// LoadOn returns what this gateway has on one endpoint.
func (p *Planner) LoadOn(endpoint string, now time.Duration) Load {
	n, ok := p.nodes[endpoint]
	if !ok {
		return Load{}
	}
	return p.ownLoad(n, now)
}

func (p *Planner) ownLoad(n *node, now time.Duration) Load {
	l := Load{BacklogTokens: max(0, min(n.ownBacklogTokens, int((n.prefillDoneAt-now).Seconds()*n.prefillRate)))}
	for _, r := range n.ownRuns {
		l.Runs = append(l.Runs, r.withAge(now))
	}
	if now-n.lastPrefillAt < prefillReportTime {
		l.LastPrefill = n.lastPrefill
	}
	n.addToLoad(&l, now)
	return l
}

// Loads returns what this gateway has on each endpoint, for the others.
func (p *Planner) Loads(now time.Duration) map[string]Load {
	loads := make(map[string]Load)
	for _, n := range p.sortedNodes {
		if l := p.ownLoad(n, now); !l.empty() {
			loads[n.ID] = l
		}
	}
	return loads
}
