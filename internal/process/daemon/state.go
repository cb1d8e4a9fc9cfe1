package daemon

import (
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/proxy/forwarder"
	"github.com/pistachiovane/pistachiovane/service/meter"
)

// State is the dump of a gateway.
type State struct {
	Name  string `json:"name"`
	Ready bool   `json:"ready"`
	// ConfigVersion is the configuration in force, AgeMS how long ago it was known to be the newest, in ms.
	ConfigVersion uint64 `json:"version"`
	ConfigAgeMS   int64  `json:"age_ms"`
	// KnownGateways counts the gateways known, this one included, and Heard those heard from lately.
	KnownGateways  int `json:"gateways"`
	RecentGateways int `json:"heard"`
	// OpenRequests counts the requests in progress, Waiting those that wait for room.
	OpenRequests      int                `json:"busy"`
	QueuedGenerations int                `json:"waiting"`
	Endpoints         []lister.Endpoint  `json:"endpoints"`
	AvailableTokens   map[string]float64 `json:"levels"`
}

// State returns the present state; it holds no secrets.
func (d *Daemon) State() any {
	s := State{Name: d.options.Name, Ready: d.Ready(), OpenRequests: d.controller.ActiveRequests(), QueuedGenerations: d.controller.QueueLength(), AvailableTokens: d.controller.AvailableTokens()}
	if m, age := d.tracker.Active(); m != nil {
		s.ConfigVersion, s.ConfigAgeMS = m.Version(), age.Milliseconds()
	}
	_, s.RecentGateways, s.KnownGateways = d.broadcaster.LeaderStatus(heardLately)
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Endpoints = d.lister.Endpoints()
	return s
}

// SetLatencyRecorder has the times of answered requests taken in.
func (d *Daemon) SetLatencyRecorder(t forwarder.LatencyRecorder) {
	d.forwarder.SetLatencyRecorder(t)
}

// Readings returns the metrics of a gateway.
func (d *Daemon) Readings() []meter.Reading {
	stats := &d.forwarder.Stats
	count := func(name, help string, load func() uint64) meter.Reading {
		return meter.Reading{Name: "pistachiovane." + name, Help: help, Rising: true, Value: func() float64 { return float64(load()) }}
	}
	state := func(name, help string, value func() float64) meter.Reading {
		return meter.Reading{Name: "pistachiovane." + name, Help: help, Value: value}
	}
	return []meter.Reading{
		count("requests.answered", "Requests answered whole.", stats.Answered.Load),
		count("requests.refused", "Requests that no endpoint ran.", stats.Refused.Load),
		count("requests.failed", "Requests that may have run and were not answered whole.", stats.Failed.Load),
		count("calls.repeated", "Calls of model endpoints after the first of a request.", stats.GenerationRetries.Load),
		count("prompts.read", "Prompts read by prefill endpoints.", stats.Prefills.Load),
		count("prompts.wasted", "Prompts whose KV cache was not taken.", stats.WastedPrefills.Load),
		count("reservations.refused", "Reservations that an endpoint refused.", stats.RefusedReservations.Load),
		count("connections.opened", "Connections opened to endpoints.", d.sources.ConnectionPool.OpenedConnections),
		count("gossip.bytes", "Bytes sent to other gateways.", d.broadcaster.BytesSent),
		state("requests.open", "Requests in progress.", func() float64 { return float64(d.controller.ActiveRequests()) }),
		state("requests.waiting", "Generations that wait for room.", func() float64 { return float64(d.controller.QueueLength()) }),
		state("gateways", "Gateways known.", func() float64 { return float64(d.broadcaster.GatewayCount()) }),
		state("config.version", "Version of the configuration in force.", d.version),
		state("config.age", "Seconds since the configuration was known to be the newest.", d.age),
	}
}

func (d *Daemon) version() float64 {
	v, _ := d.tracker.StoreConfirmed()
	return float64(v)
}

func (d *Daemon) age() float64 {
	_, age := d.tracker.Active()
	return age.Round(time.Millisecond).Seconds()
}
