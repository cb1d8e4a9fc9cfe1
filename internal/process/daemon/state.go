package daemon

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/internal/proxy/forwarder"
	"github.com/pistachiovane/pistachiovane/service/meter"
)

// State is the state of a gateway as operators see it.
type State struct {
	Name  string `json:"name"`
	Ready bool   `json:"ready"`
	// ConfigVersion is the version of the active configuration. It is zero while there is none.
	ConfigVersion uint64 `json:"version"`
	// ConfigAgeMS is the time since the active configuration was last confirmed to be the newest, in ms.
	ConfigAgeMS int64 `json:"age_ms"`
	// KnownGateways counts all known gateways, including this one.
	KnownGateways int `json:"gateways"`
	// RecentGateways counts the known gateways from which a message arrived within peerTimeout, including this one.
	RecentGateways int `json:"heard"`
	// OpenRequests counts the requests in progress.
	OpenRequests int `json:"busy"`
	// QueuedGenerations counts the generations that wait for capacity.
	QueuedGenerations int               `json:"waiting"`
	Endpoints         []lister.Endpoint `json:"endpoints"`
	// Quarantined holds the fingerprints of the requests that are refused because they crash endpoints.
	Quarantined []string `json:"quarantined"`
	// BlamedParts holds the digests of the parts of prompts with which requests are refused because they crash endpoints.
	BlamedParts []string `json:"blamed_parts"`
	// PausedEndpoints and LeavingEndpoints count the endpoints that have asked for a pause that lasts, and those that have
	// said themselves that they leave.
	PausedEndpoints  int `json:"paused"`
	LeavingEndpoints int `json:"leaving"`
	// Config and List are the copies of the configuration and of the endpoint list.
	Config StoreState `json:"config"`
	List   StoreState `json:"list"`
	// AvailableTokens holds the available tokens by account.
	AvailableTokens map[string]float64 `json:"levels"`
}

// StoreState is the copy of a part of the store.
type StoreState struct {
	// Era counts the restores of the store, and EraAgeMS is the time in ms since this gateway has known of the latest.
	Era      uint64 `json:"era"`
	EraAgeMS int64  `json:"era_age_ms"`
	// Revision is the number of the store's latest change that the copy holds.
	Revision uint64 `json:"revision"`
	// Reads counts the reads of the whole part, and LateAnswers the answers of an earlier era, which were not used.
	Reads       uint64 `json:"reads"`
	LateAnswers uint64 `json:"late"`
}

// storeState returns the state of a copy.
func storeState(f *follower.Follower) StoreState {
	s := f.Status()
	return StoreState{
		Era: s.Revision.Era, EraAgeMS: (clock.SinceBoot() - s.EraSince).Milliseconds(), Revision: s.Revision.Number,
		Reads: s.Reads, LateAnswers: s.LateAnswers,
	}
}

// State returns the current State. It holds no secrets.
func (d *Daemon) State() any {
	state := State{
		Name: d.options.Name, Ready: d.Ready(), OpenRequests: d.controller.Requests().Len(),
		QueuedGenerations: d.controller.QueueLength(), AvailableTokens: d.controller.AvailableTokens(),
		Config: storeState(d.configFollower), List: storeState(d.endpointFollower),
	}
	state.PausedEndpoints, state.LeavingEndpoints = d.controller.SuspendedEndpoints()
	for _, f := range d.controller.QuarantinedRequests() {
		state.Quarantined = append(state.Quarantined, f.String())
	}
	for _, f := range d.controller.BlamedParts() {
		state.BlamedParts = append(state.BlamedParts, f.String())
	}
	if m, age := d.tracker.Active(); m != nil {
		state.ConfigVersion, state.ConfigAgeMS = m.Version(), age.Milliseconds()
	}
	_, state.RecentGateways, state.KnownGateways = d.broadcaster.LeaderStatus(peerTimeout)
	d.mu.Lock()
	defer d.mu.Unlock()
	state.Endpoints = d.lister.Endpoints()
	return state
}

// SetLatencyRecorder sets the functions that receive the latencies of answered requests.
func (d *Daemon) SetLatencyRecorder(r forwarder.LatencyRecorder) {
	d.forwarder.SetLatencyRecorder(r)
}

// Metrics returns the metrics of the gateway. Each value is read when the metric is collected.
func (d *Daemon) Metrics() []meter.Metric {
	stats := &d.forwarder.Stats
	counter := func(name, help string, load func() uint64) meter.Metric {
		return meter.Metric{
			Name: "pistachiovane." + name, Help: help, Monotonic: true, Value: func() float64 { return float64(load()) },
		}
	}
	gauge := func(name, help string, value func() float64) meter.Metric {
		return meter.Metric{Name: "pistachiovane." + name, Help: help, Value: value}
	}
	return []meter.Metric{
		counter("requests.answered", "Requests answered whole.", stats.Answered.Load),
		counter("requests.refused", "Requests that no endpoint ran.", stats.Refused.Load),
		counter("requests.failed", "Requests that may have run and were not answered whole.", stats.Failed.Load),
		counter("requests.quarantined", "Requests refused or ended because they crash endpoints.", stats.Quarantined.Load),
		counter("calls.repeated", "Calls of model endpoints after the first of a request.", stats.GenerationRetries.Load),
		counter("prompts.read", "Prompts read by prefill endpoints.", stats.Prefills.Load),
		counter("prompts.wasted", "Prompts whose KV cache was not taken.", stats.WastedPrefills.Load),
		counter("reservations.refused", "Reservations that an endpoint refused.", stats.RefusedReservations.Load),
		counter("connections.opened", "Connections opened to endpoints.", d.dependencies.ConnectionPool.OpenedConnections),
		counter("gossip.bytes", "Bytes sent to other gateways.", d.broadcaster.BytesSent),
		gauge("requests.open", "Requests in progress.", func() float64 { return float64(d.controller.Requests().Len()) }),
		gauge("requests.waiting", "Generations that wait for room.", func() float64 {
			return float64(d.controller.QueueLength())
		}),
		gauge("endpoints.paused", "Endpoints that have asked for a pause.", func() float64 {
			paused, _ := d.controller.SuspendedEndpoints()
			return float64(paused)
		}),
		gauge("endpoints.leaving", "Listed endpoints that have said that they leave.", func() float64 {
			_, leaving := d.controller.SuspendedEndpoints()
			return float64(leaving)
		}),
		gauge("gateways", "Gateways known.", func() float64 { return float64(d.broadcaster.GatewayCount()) }),
		gauge("config.version", "Version of the configuration in force.", d.configVersion),
		gauge("store.era", "Restores of the store before the configuration in force was read.", func() float64 {
			return float64(d.configFollower.Status().Revision.Era)
		}),
		counter("store.eras", "Reads of the configuration or the endpoint list that found the store restored.", d.storeEras),
		counter("store.reads", "Reads of the whole configuration or endpoint list.", d.storeReads),
		counter("store.late", "Answers of the store that were of an earlier era and not used.", d.lateStoreAnswers),
		gauge("config.age", "Seconds since the configuration was known to be the newest.", d.configAge),
	}
}

// configVersion returns the version of the active configuration, or zero while there is none.
func (d *Daemon) configVersion() float64 {
	return float64(d.tracker.Report().Version)
}

// configAge returns the time since the active configuration was last confirmed to be the newest, in seconds.
func (d *Daemon) configAge() float64 {
	_, age := d.tracker.Active()
	return age.Round(time.Millisecond).Seconds()
}

// storeEras returns how often the store was found restored, storeReads how often a part of it was read as a whole, and
// lateStoreAnswers how many of its answers were of an earlier era.
func (d *Daemon) storeEras() uint64 {
	return d.configFollower.Status().Eras + d.endpointFollower.Status().Eras
}

func (d *Daemon) storeReads() uint64 {
	return d.configFollower.Status().Reads + d.endpointFollower.Status().Reads
}

func (d *Daemon) lateStoreAnswers() uint64 {
	return d.configFollower.Status().LateAnswers + d.endpointFollower.Status().LateAnswers
}
