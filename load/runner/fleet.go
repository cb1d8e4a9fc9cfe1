package runner

import (
	"time"

	"github.com/pistachiovane/pistachiovane/load/workload"
	"github.com/pistachiovane/pistachiovane/standin/model"
)

// Fleet is the size of a fleet.
type Fleet struct {
	Name             string
	Domains          int
	Gateways         int
	PrefillEndpoints int
	DecodeEndpoints  int
	Accounts         []workload.Account
	Engine           model.Settings
	// LocalDelay and Remote are the one-way delays inside and between failure domains.
	LocalDelay  time.Duration
	RemoteDelay time.Duration
}

// FleetByName returns one of the brief's fleets, clay or kalvo; ok is false for any other name.
func FleetByName(name string) (f Fleet, ok bool) {
	f = Fleet{Name: name, PrefillEndpoints: 2, DecodeEndpoints: 7, Engine: model.DefaultSettings(), Accounts: []workload.Account{
		{Name: "first", CapacityFraction: 0.38, LoadFactor: 1},
		{Name: "second", CapacityFraction: 0.27, LoadFactor: 1},
		{Name: "third", CapacityFraction: 0.2, LoadFactor: 1},
		{Name: "fourth", CapacityFraction: 0.1, LoadFactor: 1},
		{Name: "fifth", CapacityFraction: 0.05, LoadFactor: 1},
	}}
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

// CapacityPerSecond returns how many requests a second the fleet can answer at most: the lesser of its prefill and its
// decode throughput for the workload's mean request.
func (f Fleet) CapacityPerSecond() float64 {
	prompt, length := workload.MeanTokens(1)
	step := f.Engine.StepBase + time.Duration(f.Engine.Slots)*f.Engine.StepEach
	decode := float64(f.DecodeEndpoints*f.Engine.Slots) / (length * step.Seconds())
	prefill := float64(f.PrefillEndpoints) * f.Engine.PrefillRate / prompt
	return min(decode, prefill)
}
