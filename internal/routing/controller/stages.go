package controller

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
	"github.com/pistachiovane/pistachiovane/internal/routing/rebalancer"
)

// StageChange names a model endpoint that is to be ordered to change its stage. ToPrefill is set if it is to become a
// prefill endpoint, otherwise it is to become a decode endpoint.
type StageChange struct {
	ID        string
	Address   string
	ToPrefill bool
}

// RecordDecode records how many output tokens the decode endpoint of a running generation generated within a duration,
// and adds the generation to the measured use of endpoint time.
func (c *Controller) RecordDecode(plannerID uint64, tokens int, duration time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cost, ok := c.planner.RecordDecode(plannerID, tokens, duration); ok {
		c.profiler.Record(cost.Service, cost.PrefillTime, cost.DecodeSeconds, c.clock())
	}
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
	byService := make(map[string][]rebalancer.Endpoint)
	addresses := make(map[string]string)
	for _, e := range c.endpoints {
		if e.Model && !c.isLeaving(&e) && !c.suspender.IsPaused(e.ID, now) {
			byService[e.Service] = append(byService[e.Service], rebalancer.Endpoint{
				ID: e.ID, Domain: e.Domain, Prefill: e.Prefill,
			})
			addresses[e.ID] = e.Address
		}
	}
	var changes []StageChange
	for service, endpoints := range byService {
		usage := c.usage(service, now)
		orders := c.rebalancer.SelectOrders(endpoints, usage, c.planner.QueueLength() > 0, now)
		for _, o := range orders {
			c.rebalancer.RecordOrder(o.ID, rebalancer.RecentOrder{At: now, ToPrefill: o.ToPrefill})
			changes = append(changes, StageChange{ID: o.ID, Address: addresses[o.ID], ToPrefill: o.ToPrefill})
		}
		if len(orders) > 0 {
			c.log.Info().Str("service", service).Int("orders", len(orders)).Bool("to_prefill", orders[0].ToPrefill).
				Float64("generations", usage.Generations).Float64("prefill_s", usage.PrefillSeconds).
				Float64("decode_s", usage.DecodeSeconds).Msg("stages: split changed")
		}
	}
	if len(changes) > 0 {
		c.distributeEndpoints()
	}
	return changes
}

// usage returns the endpoint time that recent generations of a service used, or the assumed one before the first
// generation. It is zero while the measured one is not representative. The lock must be held.
func (c *Controller) usage(service string, now time.Duration) profiler.Usage {
	u := c.profiler.Total(service, now)
	if u.Generations > 0 {
		c.initialUsage = profiler.Usage{}
		if !c.profiler.Settled(service, now) {
			return profiler.Usage{}
		}
		return u
	}
	return c.initialUsage
}

// NextFencingToken returns a fencing token that is higher than all that this gateway has used or learned of from its
// peers. The tokens of two gateways differ.
func (c *Controller) NextFencingToken(gateway string, wallTime time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fencer.Next(gateway, wallTime)
}

// composeStages adds the recent orders, the fencing token and the use of endpoint time to a message. The lock must be
// held.
func (c *Controller) composeStages(m *broadcaster.Message, now time.Duration) {
	for id, order := range c.rebalancer.RecentOrders(maxStageChangeTime, now) {
		if m.OrderAgesMs == nil {
			m.OrderAgesMs = make(map[string]int64)
		}
		m.OrderAgesMs[id] = (now - order.At).Milliseconds()
		if order.ToPrefill {
			m.PrefillOrders = append(m.PrefillOrders, id)
		}
	}
	m.FencingToken = c.fencer.Highest()
	for service, u := range c.profiler.Own(now) {
		if m.Usages == nil {
			m.Usages = make(map[string]broadcaster.Usage)
		}
		m.Usages[service] = broadcaster.Usage{
			Generations: round3(u.Generations), PrefillMillis: round3(1000 * u.PrefillSeconds),
			DecodeMillis: round3(1000 * u.DecodeSeconds),
		}
	}
}

// round3 rounds a number to three decimals, so that it is short in a message.
func round3(x float64) float64 {
	const scale = 1000
	return float64(int64(x*scale+0.5)) / scale
}

// receiveStages records the orders, the fencing token and the use of endpoint time of a peer. The lock must be held.
func (c *Controller) receiveStages(m broadcaster.Message, now time.Duration) {
	c.fencer.Observe(m.FencingToken, time.Now())
	usages := make(map[string]profiler.Usage, len(m.Usages))
	for service, u := range m.Usages {
		usages[service] = profiler.Usage{
			Generations: u.Generations, PrefillSeconds: u.PrefillMillis / 1000, DecodeSeconds: u.DecodeMillis / 1000,
		}
	}
	c.profiler.MergePeer(m.From, usages, now)
	toPrefill := make(map[string]bool, len(m.PrefillOrders))
	for _, id := range m.PrefillOrders {
		toPrefill[id] = true
	}
	recent := c.rebalancer.RecentOrders(maxStageChangeTime, now)
	changed := false
	for id, age := range m.OrderAgesMs {
		order := rebalancer.RecentOrder{At: now - m.Age - time.Duration(age)*time.Millisecond, ToPrefill: toPrefill[id]}
		known, ok := recent[id]
		changed = changed || !ok || known.ToPrefill != order.ToPrefill
		c.rebalancer.RecordOrder(id, order)
	}
	if changed {
		c.distributeEndpoints()
	}
}
