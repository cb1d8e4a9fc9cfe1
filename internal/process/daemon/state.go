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
	// Version is the configuration in force, AgeMS how long ago it was known to be the newest, in ms.
	Version uint64 `json:"version"`
	AgeMS   int64  `json:"age_ms"`
	// Gateways counts the gateways known, this one included, and Heard those heard from lately.
	Gateways int `json:"gateways"`
	Heard    int `json:"heard"`
	// Busy counts the requests in progress, Waiting those that wait for room.
	Busy      int                `json:"busy"`
	Waiting   int                `json:"waiting"`
	Endpoints []lister.Endpoint  `json:"endpoints"`
	Levels    map[string]float64 `json:"levels"`
}

// State returns the present state; it holds no secrets.
func (d *Daemon) State() any {
	s := State{Name: d.options.Name, Ready: d.Ready(), Busy: d.controller.ActiveRequests(), Waiting: d.controller.QueueLength(), Levels: d.controller.AvailableTokens()}
	if m, age := d.tracker.Active(); m != nil {
		s.Version, s.AgeMS = m.Version(), age.Milliseconds()
	}
	_, s.Heard, s.Gateways = d.broadcaster.LeaderStatus(heardLately)
	d.mu.Lock()
	defer d.mu.Unlock()
	s.Endpoints = d.lister.Endpoints()
	return s
}

// Observe has the times of answered requests taken in.
func (d *Daemon) Observe(t forwarder.Timings) {
	d.forwarder.Observe(t)
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
		count("calls.repeated", "Calls of model endpoints after the first of a request.", stats.Repeated.Load),
		count("prompts.read", "Prompts read by prefill endpoints.", stats.Read.Load),
		count("prompts.wasted", "Prompts whose KV cache was not taken.", stats.Wasted.Load),
		count("reservations.refused", "Reservations that an endpoint refused.", stats.Full.Load),
		count("connections.opened", "Connections opened to endpoints.", d.sources.Pool.Opened),
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
