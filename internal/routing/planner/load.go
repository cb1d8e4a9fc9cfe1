package planner

import "time"

// Load is the load that one gateway has placed on an endpoint, and what it has observed there. Gateways send it to
// each other.
type Load struct {
	// Runs are the requests that the gateway has started on a decode endpoint and that have not ended.
	Runs []Run
	// BacklogTokens is the number of prompt tokens that the gateway has sent to a prefill endpoint and that are not
	// processed yet.
	BacklogTokens int
	// LastPrefill is the latest prefill of the gateway at the endpoint. Its ID is zero if there was none recently.
	LastPrefill PrefillSample
	// LastFailure is the latest failure that the gateway observed at the endpoint. Its ID is zero if there was none
	// recently.
	LastFailure Failure
	// Recovered is set if the gateway recently observed a success after a failure of any gateway. RecoveryAge is the
	// time since that success.
	Recovered   bool
	RecoveryAge time.Duration
}

// empty reports whether the load contains nothing to send.
func (l Load) empty() bool {
	return len(l.Runs) == 0 && l.BacklogTokens == 0 && l.LastPrefill.ID == 0 && l.LastFailure.ID == 0 && !l.Recovered
}

// peerLoad is a load received from a peer.
type peerLoad struct {
	Load
	receivedAt time.Duration
}

// UpdatePeerLoads replaces the load of a peer on every endpoint, by endpoint ID. Endpoints missing in loads have no
// load of that peer.
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

// mergePeerLoad replaces the load of a peer on one endpoint, and uses its prefill sample and health if they are new.
func (p *Planner) mergePeerLoad(n *node, peer string, l Load, now time.Duration) {
	n.peerLoads[peer] = peerLoad{Load: l, receivedAt: now}
	if l.LastPrefill.ID != 0 && l.LastPrefill.ID != n.peerPrefillIDs[peer] {
		n.peerPrefillIDs[peer] = l.LastPrefill.ID
		p.updatePrefillRate(n, l.LastPrefill, now)
	}
	p.mergePeerHealth(n, peer, l, now)
}

// UpdatePeerLoad replaces the load of a peer on one endpoint. Unknown endpoints are ignored.
func (p *Planner) UpdatePeerLoad(peer, endpoint string, l Load, now time.Duration) {
	if n, ok := p.nodes[endpoint]; ok {
		p.mergePeerLoad(n, peer, l, now)
	}
}

// RemovePeer removes everything received from a peer that is no longer part of the fleet.
func (p *Planner) RemovePeer(peer string) {
	for _, n := range p.sortedNodes {
		delete(n.peerLoads, peer)
		delete(n.peerPrefillIDs, peer)
		delete(n.peerFailureIDs, peer)
	}
}

// LoadOn returns the load of this gateway on one endpoint. It is empty if the endpoint is unknown.
func (p *Planner) LoadOn(endpoint string, now time.Duration) Load {
	n, ok := p.nodes[endpoint]
	if !ok {
		return Load{}
	}
	return p.ownLoad(n, now)
}

// ownLoad returns the load of this gateway on an endpoint. The backlog of a prefill endpoint is estimated from its
// prefill speed, and is at most the prompt tokens whose prefill has not been reported as done.
func (p *Planner) ownLoad(n *node, now time.Duration) Load {
	l := Load{BacklogTokens: max(0, min(n.ownBacklogTokens, int((n.prefillDoneAt-now).Seconds()*p.prefillRateOf(n, now))))}
	for _, r := range n.ownRuns {
		l.Runs = append(l.Runs, r.withAge(now))
	}
	if now-n.lastPrefillAt < prefillReportTime {
		l.LastPrefill = n.lastPrefill
	}
	n.addToLoad(&l, now)
	return l
}

// Loads returns the load of this gateway on each endpoint where it has any, by endpoint ID, to be sent to the peers.
func (p *Planner) Loads(now time.Duration) map[string]Load {
	loads := make(map[string]Load)
	for _, n := range p.sortedNodes {
		if l := p.ownLoad(n, now); !l.empty() {
			loads[n.ID] = l
		}
	}
	return loads
}
