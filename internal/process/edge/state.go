package edge

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
func (e *Edge) State() any {
	s := State{Name: e.options.Name, Ready: e.Ready(), Busy: e.director.Busy(), Waiting: e.director.Waiting(), Levels: e.director.Levels()}
	if m, age := e.tracker.Current(); m != nil {
		s.Version, s.AgeMS = m.Version(), age.Milliseconds()
	}
	_, s.Heard, s.Gateways = e.gossiper.Order(heardLately)
	e.mu.Lock()
	defer e.mu.Unlock()
	s.Endpoints = e.lister.Endpoints()
	return s
}

// Observe has the times of answered requests taken in.
func (e *Edge) Observe(t forwarder.Timings) {
	e.forwarder.Observe(t)
}

// Readings returns the metrics of a gateway.
func (e *Edge) Readings() []meter.Reading {
	stats := &e.forwarder.Stats
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
		count("connections.opened", "Connections opened to endpoints.", e.sources.Pool.Opened),
		count("gossip.bytes", "Bytes sent to other gateways.", e.gossiper.Sent),
		state("requests.open", "Requests in progress.", func() float64 { return float64(e.director.Busy()) }),
		state("requests.waiting", "Generations that wait for room.", func() float64 { return float64(e.director.Waiting()) }),
		state("gateways", "Gateways known.", func() float64 { return float64(e.gossiper.Gateways()) }),
		state("config.version", "Version of the configuration in force.", e.version),
		state("config.age", "Seconds since the configuration was known to be the newest.", e.age),
	}
}

func (e *Edge) version() float64 {
	v, _ := e.tracker.Seen()
	return float64(v)
}

func (e *Edge) age() float64 {
	_, age := e.tracker.Current()
	return age.Round(time.Millisecond).Seconds()
}
