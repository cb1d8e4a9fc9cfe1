package coordinator

import (
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/router"
)

// EndpointState is the part of a gateway's dump that describes one endpoint, with its load as known at the gateway.
type EndpointState struct {
	ID     string `json:"id"`
	Role   string `json:"role"`
	Domain string `json:"domain"`
	// OccupiedSlots counts the decode slots that are reserved or running.
	OccupiedSlots int `json:"held"`
	// FreePieces counts the unreserved pieces of KV memory.
	FreePieces int `json:"free"`
	// BacklogTokens is the length of the prefill queue in tokens.
	BacklogTokens int  `json:"backlog"`
	Leaving       bool `json:"leaving"`
}

// EndpointStates returns the state of every listed endpoint.
func (c *Coordinator) EndpointStates() []EndpointState {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []EndpointState
	c.router.EachState(func(v *router.EndpointState) {
		out = append(out, EndpointState{
			ID: v.ID, Role: v.Role.String(), Domain: v.Domain, OccupiedSlots: v.UsedSlots, FreePieces: v.FreePieces,
			BacklogTokens: v.BacklogTokens, Leaving: v.Leaving,
		})
	})
	return out
}

// UpdateEndpoints replaces the endpoints that requests are routed to. Endpoints that are no longer listed are removed
// and their connections closed.
func (c *Coordinator) UpdateEndpoints(endpoints []endpoint.Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	listed := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		listed[e.ID] = true
		c.router.Set(e, c.initialFreePieces)
		c.agents.SetAddress(e.ID, e.Address)
	}
	var removed []string
	c.router.EachState(func(v *router.EndpointState) {
		if !listed[v.ID] {
			removed = append(removed, v.ID)
		}
	})
	for _, id := range removed {
		c.router.Remove(id)
		c.agents.Remove(id)
	}
	c.execute(c.dispatcher.Tick(c.now()))
}
