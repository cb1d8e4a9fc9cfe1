package runner

import (
	"time"

	"github.com/pistachiovane/pistachiovane/load/workload"
	"github.com/pistachiovane/pistachiovane/standin/model"
)

// Fleet describes the gateways, endpoints and client accounts of a run.
type Fleet struct {
	Name string
	// Domains is the number of failure domains; gateways and endpoints are spread over them in turn.
	Domains          int
	Gateways         int
	PrefillEndpoints int
	DecodeEndpoints  int
	Accounts         []workload.Account
	// Engine holds the speeds and sizes of every engine.
	Engine model.Settings
	// LocalDelay and RemoteDelay are the one-way network delays inside a failure domain and between two of them.
	LocalDelay  time.Duration
	RemoteDelay time.Duration
}

// FleetByName returns the fleet of the given name: "clay" with three failure domains and gateways, or "kalvo" with
// four of each and a longer delay between domains. ok is false for any other name.
func FleetByName(name string) (f Fleet, ok bool) {
	f = Fleet{
		Name: name, PrefillEndpoints: 2, DecodeEndpoints: 7, Engine: model.DefaultSettings(), Accounts: []workload.Account{
			{Name: "first", CapacityFraction: 0.38, LoadFactor: 1},
			{Name: "second", CapacityFraction: 0.27, LoadFactor: 1},
			{Name: "third", CapacityFraction: 0.2, LoadFactor: 1},
			{Name: "fourth", CapacityFraction: 0.1, LoadFactor: 1},
			{Name: "fifth", CapacityFraction: 0.05, LoadFactor: 1},
		},
	}
	switch name {
	case "clay":
		f.Domains, f.Gateways = 3, 3
		f.LocalDelay, f.RemoteDelay = 100*time.Microsecond, 500*time.Microsecond
	case "kalvo":
		f.Domains, f.Gateways = 4, 4
		f.LocalDelay, f.RemoteDelay = 100*time.Microsecond, time.Millisecond
	default:
		return Fleet{}, false
	}
	return f, true
}

// CapacityPerSecond returns the most requests per second that the fleet can answer. This is the smaller of its
// prefill and its decode throughput for requests of the workload's mean size.
func (f Fleet) CapacityPerSecond() float64 {
	promptTokens, outputTokens := workload.MeanTokens(1)
	stepTime := f.Engine.BaseStepTime + time.Duration(f.Engine.DecodeSlots)*f.Engine.StepTimePerStream
	decodeCapacity := float64(f.DecodeEndpoints*f.Engine.DecodeSlots) / (outputTokens * stepTime.Seconds())
	prefillCapacity := float64(f.PrefillEndpoints) * f.Engine.PrefillTokensPerSecond / promptTokens
	return min(decodeCapacity, prefillCapacity)
}
