package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// configPace returns how long a watch of the configuration waits; its changes are taken in without a pause.
func (d *Daemon) configPace() (wait, pause time.Duration) {
	_, heard := d.broadcaster.Rank(heardLately)
	longest := min(configWaitMost, max(configWaitLeast, time.Duration(heard)*configWait))
	// A change ends all watches at once; without chance they would go on ending together.
	return longest/3 + rand.N(longest*2/3), 0
}

// endpointPace returns how often the endpoint list is read.
func (d *Daemon) endpointPace() (wait, pause time.Duration) {
	if place, _ := d.broadcaster.Rank(heardLately); place >= readers {
		return endpointWait, listenerPause
	}
	return endpointWait, endpointPause
}

// Compose returns what to tell the other gateways.
func (d *Daemon) Compose(levels bool) (m broadcaster.Message, busy bool) {
	m, busy = d.controller.Compose(levels)
	now := clock.SinceBoot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stayCurrent(now)
	for _, c := range d.lister.RecentChanges(tellFor, removedFor, now, tellMost) {
		entry := broadcaster.EndpointChange{Key: c.Key, Revision: c.Revision, Removed: c.Removed}
		if !c.Removed {
			endpoint := c.Endpoint
			entry.Endpoint = &endpoint
		}
		m.EndpointChanges = append(m.EndpointChanges, entry)
	}
	return m, busy
}

// Receive takes in what another gateway tells.
func (d *Daemon) Receive(m broadcaster.Message) {
	d.controller.Receive(m)
	now := clock.SinceBoot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.catchUp(m.ConfigVersion, now)
	var changed []lister.Entry
	for _, c := range m.EndpointChanges {
		entry := lister.Entry{Key: c.Key, Revision: c.Revision, Removed: c.Removed}
		if c.Endpoint != nil {
			entry.Endpoint = *c.Endpoint
		} else {
			entry.Removed = true
		}
		if d.lister.Apply(entry, now) {
			changed = append(changed, entry)
		}
	}
	d.relist(changed, m.From)
}

// stayCurrent has the configuration read anew where neither the own watch nor another gateway has shown for a while that
// it is the newest.
func (d *Daemon) stayCurrent(now time.Duration) {
	if _, age := d.tracker.Active(); age < nudgeAge+rand.N(nudgeSpread) || now-d.nudgedAt < nudgeEvery {
		return
	}
	d.nudgedAt = now
	d.config.Refresh()
}

// catchUp has the configuration read anew where another gateway has had a newer one for a while.
func (d *Daemon) catchUp(version uint64, now time.Duration) {
	if own, _ := d.tracker.StoreConfirmed(); version <= own {
		if version == own {
			d.behindAt = 0
		}
		return
	}
	switch {
	case d.behindAt == 0:
		d.behindAt = now
	case now-d.behindAt > behindFor:
		d.behindAt = now
		d.config.Refresh()
	}
}

// RemovePeer forgets another gateway.
func (d *Daemon) RemovePeer(gateway string) {
	d.controller.RemovePeer(gateway)
}
