package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/fleet/deferrer"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// configPace returns the longest wait of a watch of the configuration, and zero for the pause between two reads. The
// wait is random and grows with the number of active gateways.
func (d *Daemon) configPace() (wait, pause time.Duration) {
	_, recentGateways := d.broadcaster.Rank(peerTimeout)
	maxWait := min(maxConfigWait, max(minConfigWait, time.Duration(recentGateways)*configWaitPerGateway))
	// A change ends the watches of all gateways at once. With equal waits they would end together from then on, and so
	// would the calls to the store.
	return maxWait/3 + rand.N(maxWait*2/3), 0
}

// endpointPace returns the longest wait of a watch of the endpoint list, and the pause between two reads. Both are short
// only for the active gateways of the lowest ranks. The others wait a random time, so that their calls to the store are
// spread.
func (d *Daemon) endpointPace() (wait, pause time.Duration) {
	if rank, _ := d.broadcaster.Rank(d.readerTimeout()); rank >= listReaders {
		return listNonReaderWait/2 + rand.N(listNonReaderWait/2), listNonReaderPause
	}
	longestWait := d.removalOptions().MinOutage() - listReaderPause - readerWaitMargin
	return max(minReaderWait, min(listReaderWait, longestWait)), listReaderPause
}

// configRestoreDelay and listRestoreDelay return the longest time for which the configuration and the endpoint list are not read
// after a restore of the store. The gateways that read first confirm the configuration to the others, and the readers of the list
// tell them its changes.
func (d *Daemon) configRestoreDelay() time.Duration {
	_, recentGateways := d.broadcaster.Rank(peerTimeout)
	return min(maxConfigRestoreDelay, time.Duration(recentGateways)*rereadPerGateway)
}

func (d *Daemon) listRestoreDelay() time.Duration {
	rank, recentGateways := d.broadcaster.Rank(d.readerTimeout())
	if rank < listReaders {
		return 0
	}
	return min(listNonReaderPause, time.Duration(recentGateways)*rereadPerGateway)
}

// readerTimeout returns the age of the last message above which a reader of the endpoint list counts as absent: others must take
// its place within a part of the time in which leaving endpoints must get no more requests.
func (d *Daemon) readerTimeout() time.Duration {
	return readerMessages * d.broadcaster.MaxInterval()
}

// maxListDifference returns the time after which the list must be read because peers who know later changes have another one. It
// is random above the time in which a change reaches all of them, so that not all gateways read at once: those that read first
// tell the others.
func (d *Daemon) maxListDifference() time.Duration {
	return differenceMessages*d.broadcaster.MaxInterval() + rand.N(listDifferenceJitter)
}

// removalOptions says how long removals of endpoints are deferred after an outage of the store.
func (d *Daemon) removalOptions() deferrer.Options {
	return deferrer.Options{Grace: expiredEntryGrace, HeartbeatInterval: d.options.HeartbeatInterval}
}

// Compose returns the state to send to a peer: that of the controller and the latest changes of the endpoint list. The
// available tokens of the accounts are included if availableTokens is set. busy reports whether requests are in
// progress. Compose is called regularly, so it also starts a read of the configuration or of the endpoint list if that was
// not confirmed for a while.
func (d *Daemon) Compose(availableTokens bool) (m broadcaster.Message, busy bool) {
	m, busy = d.controller.Compose(availableTokens)
	m.Stopping = d.draining.Load()
	now := clock.SinceBoot()
	d.mu.Lock()
	defer d.mu.Unlock()
	m.Withdrawn = d.revoker.Announcements(now)
	d.endListening(now)
	d.rereadUnconfirmedConfig(now)
	d.rereadUnconfirmedList(now)
	d.composeList(&m, now)
	return m, busy
}

// composeList adds the next changes of the endpoint list to a message, and the digest and age of the list. The caller must
// hold mu.
func (d *Daemon) composeList(m *broadcaster.Message, now time.Duration) {
	d.lister.DropRemoved(removalRetention, now)
	released := d.lister.ReleaseHeld(now)
	d.activateListChanges(released, "store")
	d.sendChanges(released, true)
	for _, c := range d.lister.NextChanges(maxChangesPerMessage) {
		entry := broadcaster.EndpointChange{Key: c.Key, Era: &c.Revision.Era, Revision: c.Revision.Number, Removed: c.Removed}
		if !c.Removed {
			endpoint := c.Endpoint
			entry.Endpoint = &endpoint
		}
		m.EndpointChanges = append(m.EndpointChanges, entry)
	}
	if d.listReadAt == 0 {
		return
	}
	age := (now - d.listConfirmedAt).Milliseconds()
	m.ListDigest, m.ListDigestAgeMs = d.lister.Digest(), &age
}

// sendChanges makes messages to the peers contain changes of the endpoint list. Changes that were read from the store are
// sent several times. Those that a peer sent are passed on by a few gateways, for gateways that the peer does not reach.
// The caller must hold mu.
func (d *Daemon) sendChanges(changed []lister.Entry, fromStore bool) {
	times := changeSends
	if !fromStore {
		times = 1
	}
	for _, c := range changed {
		if fromStore || rand.N(d.broadcaster.GatewayCount()) < changeRelays {
			d.lister.Send(c.Key, times)
		}
	}
}

// receiveList applies the changes of the endpoint list in a message of a peer. The caller must hold mu.
func (d *Daemon) receiveList(m broadcaster.Message, now time.Duration) {
	var changed []lister.Entry
	for _, c := range m.EndpointChanges {
		entry := d.entryOf(c, m.From)
		if !entry.Removed && listAge(m) > maxChangeAge && !d.lister.Knows(c.Key) {
			d.log.Info().Str("key", c.Key).Str("from", m.From).Int64("age_ms", listAge(m).Milliseconds()).Msg("list: change too old")
			continue
		}
		if d.lister.Apply(entry, now) {
			changed = append(changed, entry)
		}
	}
	d.activateListChanges(changed, m.From)
	d.sendChanges(changed, false)
	if !m.AgeKnown {
		return
	}
	sentAt := now - m.Age
	if m.ListDigestAgeMs != nil {
		completeAt := sentAt - time.Duration(*m.ListDigestAgeMs)*time.Millisecond
		if m.ListDigest == d.lister.Digest() {
			d.listConfirmer.Confirm(completeAt)
		} else {
			d.listConfirmer.RecordDifference(completeAt, now)
		}
	}
	if m.ListAgeMs != nil {
		d.listConfirmer.ConfirmFromPeer(sentAt, sentAt-time.Duration(*m.ListAgeMs)*time.Millisecond)
	}
}

// listAge returns the time for which the sender of a message has not known whether it knows all changes of the endpoint list.
func listAge(m broadcaster.Message) time.Duration {
	switch {
	case m.ListDigestAgeMs != nil:
		return m.Age + time.Duration(*m.ListDigestAgeMs)*time.Millisecond
	case m.ListAgeMs != nil:
		return m.Age + time.Duration(*m.ListAgeMs)*time.Millisecond
	default:
		return 0
	}
}

// entryOf returns the entry of a change that a peer sent. An endpoint to which requests can't be sent counts as removed,
// as it does when it is read from the store. A change without an era, from an older build, counts as of the era of the list.
func (d *Daemon) entryOf(c broadcaster.EndpointChange, from string) lister.Entry {
	at := revision.New(d.lister.Era(), c.Revision)
	if c.Era != nil {
		at.Era = *c.Era
	}
	removed := lister.Entry{Key: c.Key, Revision: at, Removed: true}
	if c.Removed || c.Endpoint == nil {
		return removed
	}
	if err := c.Endpoint.Check(); err != nil {
		d.log.Warn().Str("key", c.Key).Str("from", from).Err(err).Msg("list: entry not understood")
		return removed
	}
	return lister.Entry{Key: c.Key, Revision: at, Endpoint: *c.Endpoint}
}

// Receive applies a message of a peer: its state to the controller and its changes to the endpoint list. It also checks
// whether the peer has a newer configuration.
func (d *Daemon) Receive(m broadcaster.Message) {
	d.recordPeerConfig(m)
	d.controller.Receive(m)
	now := clock.SinceBoot()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revoker.Receive(m.Withdrawn)
	d.rereadOutdatedConfig(m.From, m.ConfigVersion, now)
	d.receiveList(m, now)
}

// recordPeerConfig records the version of a peer's configuration. A newer one than the active one may be one that the store has
// lost; nothing is served by the active one then until the newer one is written again.
func (d *Daemon) recordPeerConfig(m broadcaster.Message) {
	own, report := d.tracker.Report(), m.ConfigReport()
	if !d.tracker.RecordPeer(report) {
		return
	}
	d.log.Warn().Str("from", m.From).Uint64("version", report.Version).Uint64("own", own.Version).
		Uint64("read_era", report.ReadEra).Uint64("own_era", own.ConfirmedEra).Msg("config: newer version lost by the store")
}

// endListening makes the configuration count although no peer has told its version yet, startupListenTime after it was first read.
// The caller must hold mu.
func (d *Daemon) endListening(now time.Duration) {
	m, _ := d.tracker.Active()
	switch {
	case m == nil:
	case d.configReadAt == 0:
		d.configReadAt = now
	case now-d.configReadAt > startupListenTime && d.tracker.StopListening():
		d.log.Info().Uint64("version", m.Version()).Msg("config: no peer heard")
	}
}

// rereadUnconfirmedConfig starts a new read of the configuration if neither the watch nor a peer has confirmed for a
// while that it is the newest. The caller must hold mu.
func (d *Daemon) rereadUnconfirmedConfig(now time.Duration) {
	if _, age := d.tracker.Active(); age < minRereadAge+rand.N(rereadAgeJitter) {
		return
	}
	_, recentGateways := d.broadcaster.Rank(peerTimeout)
	if now-d.lastRereadAt < max(minRereadInterval, time.Duration(recentGateways)*rereadPerGateway) {
		return
	}
	d.lastRereadAt = now
	d.configFollower.Refresh()
}

// rereadUnconfirmedList asks the store for changes of the endpoint list if neither a watch nor peers have confirmed for a
// while that all of them are known. The caller must hold mu.
func (d *Daemon) rereadUnconfirmedList(now time.Duration) {
	if d.listReadAt == 0 || !d.listConfirmer.ReadDue(d.maxListDifference(), now) {
		return
	}
	d.log.Info().Int64("age_ms", d.listConfirmer.Age(now).Milliseconds()).Msg("list: not confirmed, asking the store")
	d.endpointFollower.Refresh()
}

// rereadOutdatedConfig starts a new read of the configuration if a peer has had a newer version for longer than
// minOutdatedTime. version is the version that the peer from reports. The caller must hold mu.
func (d *Daemon) rereadOutdatedConfig(from string, version uint64, now time.Duration) {
	ownVersion := d.tracker.Report().Version
	if version <= ownVersion {
		if version == ownVersion {
			d.outdatedSince = 0
		}
		return
	}
	switch {
	case d.outdatedSince == 0:
		d.outdatedSince = now
		d.log.Info().Str("from", from).Uint64("version", version).Uint64("own", ownVersion).Msg("config: newer version known")
	case now-d.outdatedSince > minOutdatedTime:
		d.outdatedSince = now
		d.configFollower.Refresh()
	}
}

// RemovePeer removes the state of a peer that has been silent for too long.
func (d *Daemon) RemovePeer(gateway string) {
	d.controller.RemovePeer(gateway)
}
