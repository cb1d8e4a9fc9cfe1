package runner

import (
	"time"

	"github.com/pistachiovane/pistachiovane/load/workload"
	"github.com/pistachiovane/pistachiovane/standin/model"
)

// Fleet is the size of a fleet.
type Fleet struct {
	Name     string
	Domains  int
	Gateways int
	Prefills int
	Decodes  int
	Accounts []workload.Account
	Engine   model.Settings
	// Local and Remote are the one-way delays inside and between failure domains.
	Local  time.Duration
	Remote time.Duration
}

// FleetByName returns one of the brief's fleets, clay or kalvo; ok is false for any other name.
func FleetByName(name string) (f Fleet, ok bool) {
	f = Fleet{Name: name, Prefills: 2, Decodes: 7, Engine: model.DefaultSettings(), Accounts: []workload.Account{
		{Name: "first", Share: 0.38, Factor: 1},
		{Name: "second", Share: 0.27, Factor: 1},
		{Name: "third", Share: 0.2, Factor: 1},
		{Name: "fourth", Share: 0.1, Factor: 1},
		{Name: "fifth", Share: 0.05, Factor: 1},
	}}
	switch name {
	case "clay":
		f.Domains, f.Gateways = 3, 3
		f.Local, f.Remote = 100*time.Microsecond, 500*time.Microsecond
	case "kalvo":
		f.Domains, f.Gateways = 4, 4
		f.Local, f.Remote = 100*time.Microsecond, time.Millisecond
	default:
		return Fleet{}, false
	}
	return f, true
}

// Capacity returns how many requests a second the fleet can answer at most: the lesser of its prefill and its
// decode throughput for the workload's mean request.
func (f Fleet) Capacity() float64 {
	prompt, length := workload.Mean(1)
	step := f.Engine.StepBase + time.Duration(f.Engine.Slots)*f.Engine.StepEach
	decode := float64(f.Decodes*f.Engine.Slots) / (length * step.Seconds())
	prefill := float64(f.Prefills) * f.Engine.PrefillRate / prompt
	return min(decode, prefill)
}
