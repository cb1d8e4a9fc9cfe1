package capper

import "time"

// hiddenToleranceRatio is the part of the overage and slack that a part of the fleet may use which hears none of the seeds
// after its start. Another part, which hears them, may use the whole limit at the same time.
const hiddenToleranceRatio = 0.15

// fleet is what a gateway knows of the number of gateways. A process that has just started knows only those that it hears.
// If all gateways start during a network partition, each part of the fleet would take itself for the whole.
type fleet struct {
	// known is set once the gateway has heard of a running one that knows the fleet, or of all seeds.
	known bool
	// size is the number of gateways that a peer has reported, and expiresAt the time until which it is used.
	size      int
	expiresAt time.Duration
}

// FleetSize returns the number of gateways that this one knows, itself included, and how long the peers may use it. The
// number is zero if the gateway has just started and does not know.
func (c *Capper) FleetSize(now time.Duration) (size int, validFor time.Duration) {
	c.updateFleet(now)
	if !c.fleet.known {
		return 0, 0
	}
	size = c.gatewayCount(now)
	if size > len(c.peers)+1 {
		return size, max(0, c.fleet.expiresAt-now)
	}
	validFor = c.options.PeerExpiry
	for _, p := range c.peers {
		validFor = min(validFor, c.options.PeerExpiry-(now-p.lastReportAt))
	}
	return size, validFor
}

// ReceiveFleetSize records the number of gateways that a peer knows. Zero is ignored.
func (c *Capper) ReceiveFleetSize(size int, validFor, now time.Duration) {
	if size == 0 {
		return
	}
	c.fleet.known = true
	switch {
	case size > c.fleet.size || now > c.fleet.expiresAt:
		c.fleet.size, c.fleet.expiresAt = size, now+validFor
	case size == c.fleet.size:
		c.fleet.expiresAt = max(c.fleet.expiresAt, now+validFor)
	}
}

// updateFleet records that the fleet is known once all seeds have been heard. A seed that stays silent for PeerExpiry
// counts as gone, like a peer.
func (c *Capper) updateFleet(now time.Duration) {
	if c.fleet.known {
		return
	}
	if c.heardSeeds() == len(c.options.SeedGateways) || now-c.startedAt > c.options.PeerExpiry {
		c.fleet.known = true
	}
}

// heardSeeds returns the number of seeds that have reported, this gateway included if it is one.
func (c *Capper) heardSeeds() int {
	heard := 0
	for _, name := range c.options.SeedGateways {
		if _, ok := c.peers[name]; ok || name == c.options.Name {
			heard++
		}
	}
	return heard
}

// gatewayCount returns the number of gateways that share the limits, this one included.
func (c *Capper) gatewayCount(now time.Duration) int {
	count := max(c.options.MinGateways, len(c.peers)+1)
	if now <= c.fleet.expiresAt {
		count = max(count, c.fleet.size)
	}
	return count
}

// unknownGateways returns the number of gateways that share the limits but have not reported yet.
func (c *Capper) unknownGateways(now time.Duration) int {
	return c.gatewayCount(now) - len(c.peers) - 1
}

// hiddenRatio returns the part of an account's refill that gateways may use of which this one knows nothing. It falls with
// the number of seeds heard: two parts of the fleet that hear different seeds together use the limit and a part of the
// tolerance.
func (c *Capper) hiddenRatio(l AccountLimit) float64 {
	if c.fleet.known || l.TokensPerSecond <= 0 {
		return 0
	}
	silentRatio := 1 - float64(c.heardSeeds())/float64(len(c.options.SeedGateways))
	usableRatio := hiddenToleranceRatio * c.toleranceTokens(l) / (l.TokensPerSecond * c.options.Window.Seconds())
	return silentRatio * (1 - min(1, usableRatio))
}
