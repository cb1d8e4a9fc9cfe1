package director

import (
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
)

// Target is an endpoint that is to change its stage.
type Target struct {
	ID      string
	Address string
}

// Rebalance returns the endpoints that are to be ordered now, and counts them as ordered.
func (d *Director) Rebalance(first bool, heard, known int) []Target {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock()
	d.balance.Lead(first, heard, known, now)
	if d.config == nil {
		return nil
	}
	tokens := 0.0
	for _, a := range d.config.Accounts() {
		tokens += a.Rate
	}
	byService := make(map[string][]rebalancer.Endpoint)
	addresses := make(map[string]string)
	for _, e := range d.listed {
		if e.Model && !e.Leaving {
			byService[e.Service] = append(byService[e.Service], rebalancer.Endpoint{ID: e.ID, Domain: e.Domain, Prefill: e.Prefill})
			addresses[e.ID] = e.Address
		}
	}
	var out []Target
	for _, endpoints := range byService {
		for _, id := range d.balance.Decide(endpoints, tokens, now) {
			d.balance.Ordered(id, now)
			out = append(out, Target{ID: id, Address: addresses[id]})
		}
	}
	if len(out) > 0 {
		d.place()
	}
	return out
}
