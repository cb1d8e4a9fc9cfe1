package controller

import (
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
)

// StageChange names a prefill endpoint that is to be ordered to become a decode endpoint.
type StageChange struct {
	ID      string
	Address string
}

// Rebalance returns the endpoints that are to be ordered to change their stage now, and records the orders as given.
// leaderCandidate is true if this gateway is ready for callers and its address is the lowest of the reachable gateways.
// It is false for a while after a peer was found, because the gateways may know different peers then. reachable is the
// number of gateways from which a message arrived recently, and known the number of known gateways. Both include this
// gateway.
func (c *Controller) Rebalance(leaderCandidate bool, reachable, known int) []StageChange {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock()
	c.rebalancer.UpdateLeadership(leaderCandidate, reachable, known, now)
	if c.config == nil {
		return nil
	}
	tokensPerSecond := 0.0
	for _, a := range c.config.Accounts() {
		tokensPerSecond += a.TokensPerSecond
	}
	byService := make(map[string][]rebalancer.Endpoint)
	addresses := make(map[string]string)
	for _, e := range c.endpoints {
		if e.Model && !e.Leaving {
			byService[e.Service] = append(byService[e.Service], rebalancer.Endpoint{
				ID: e.ID, Domain: e.Domain, Prefill: e.Prefill,
			})
			addresses[e.ID] = e.Address
		}
	}
	var changes []StageChange
	for _, endpoints := range byService {
		for _, id := range c.rebalancer.SelectForDecode(endpoints, tokensPerSecond, now) {
			c.rebalancer.RecordOrder(id, now)
			changes = append(changes, StageChange{ID: id, Address: addresses[id]})
		}
	}
	if len(changes) > 0 {
		c.distributeEndpoints()
	}
	return changes
}
