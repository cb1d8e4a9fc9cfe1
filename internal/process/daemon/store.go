package daemon

import (
	"iter"
	"maps"
	"slices"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// applyConfig activates the configuration of a store update, or records that the active configuration is still the
// newest. It logs a configuration that can't be decoded and keeps the active one.
func (d *Daemon) applyConfig(u follower.Update) {
	item, ok := u.Items[d.dependencies.ConfigKey]
	era := u.Revision.Era
	if !ok {
		d.tracker.ConfirmMissing(u.CurrentAt, era)
		return
	}
	current, _ := d.tracker.Active()
	if current != nil && !slices.Contains(u.ChangedKeys, d.dependencies.ConfigKey) {
		d.tracker.Confirm(u.CurrentAt, era)
		return
	}
	config, err := d.dependencies.DecodeConfig(item.Value)
	if err != nil {
		d.log.Error().Err(err).Str("revision", item.Revision.String()).Msg("config: not understood")
		return
	}
	m := matcher.New(config)
	if era == 0 {
		d.tracker.StopListening()
	}
	if !d.tracker.Accept(m, u.CurrentAt, era) {
		return
	}
	d.controller.Configure(m)
	d.mu.Lock()
	d.revoker.Activate(m, clock.SinceBoot())
	d.mu.Unlock()
	d.log.Info().Uint64("version", m.Version()).Str("revision", item.Revision.String()).Int("routes", len(config.Routes)).
		Int("accounts", len(config.Accounts)).Msg("config: in force")
}

// isWithdrawn reports whether a newer version of the configuration than the active one is known to have withdrawn a key.
func (d *Daemon) isWithdrawn(key string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.revoker.IsWithdrawn(key)
}

// applyEndpointList applies a store update to the endpoint list. The first update is the complete list; it is not sent
// to peers.
func (d *Daemon) applyEndpointList(u follower.Update) {
	now := clock.SinceBoot()
	d.mu.Lock()
	defer d.mu.Unlock()
	var changed []lister.Entry
	if u.FullRead {
		changed = d.lister.Replace(d.decodeEntries(maps.Keys(u.Items), u), u.Revision, now)
		d.logHeldEntries()
	} else {
		changed = d.lister.ApplyAll(d.decodeEntries(slices.Values(u.ChangedKeys), u), now)
	}
	d.activateListChanges(changed, "store")
	if d.listReadAt == 0 {
		d.listReadAt = now
	} else {
		d.sendChanges(changed, true)
	}
	d.listConfirmedAt = u.CurrentAt
	d.listConfirmer.Confirm(u.CurrentAt)
}

// logHeldEntries logs the entries of a restored store that are held. The caller must hold mu.
func (d *Daemon) logHeldEntries() {
	if keys := d.lister.HeldKeys(); len(keys) > 0 {
		d.log.Info().Int("entries", len(keys)).Strs("keys", keys[:min(maxLoggedKeys, len(keys))]).Msg("list: restored entries held")
	}
}

// decodeEntries returns the entries of keys in a store update.
func (d *Daemon) decodeEntries(keys iter.Seq[string], u follower.Update) []lister.Entry {
	var out []lister.Entry
	for key := range keys {
		out = append(out, d.decodeEntry(key, u))
	}
	return out
}

// decodeEntry returns the entry of a key in a store update. A missing entry counts as removed, and so does one that
// can't be decoded.
func (d *Daemon) decodeEntry(key string, u follower.Update) lister.Entry {
	item, ok := u.Items[key]
	if !ok {
		return lister.Entry{Key: key, Revision: u.Revision, Removed: true}
	}
	endpoint, err := d.dependencies.DecodeEndpoint(key, item.Value)
	if err != nil {
		d.log.Warn().Str("key", key).Err(err).Msg("list: entry not understood")
		return lister.Entry{Key: key, Revision: item.Revision, Removed: true}
	}
	return lister.Entry{Key: key, Revision: item.Revision, Endpoint: endpoint}
}

// activateListChanges logs the changed entries and passes the endpoint list to the controller. source is "store" or the
// peer that sent the changes. The caller must hold mu.
func (d *Daemon) activateListChanges(changed []lister.Entry, source string) {
	if len(changed) == 0 {
		return
	}
	for _, c := range changed {
		d.log.Info().Str("key", c.Key).Str("from", source).Str("revision", c.Revision.String()).Bool("gone", c.Removed).
			Str("address", c.Endpoint.Address).Str("service", c.Endpoint.Service).Bool("prefill", c.Endpoint.Prefill).
			Bool("leaving", c.Endpoint.Leaving).Msg("list: endpoint")
	}
	d.controller.SetEndpoints(d.lister.Endpoints())
}
