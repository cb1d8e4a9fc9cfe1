package gateway

import (
	"github.com/pistachiovane/pistachiovane/service/meter"
)

// Metrics returns the metrics of a gateway with the functions that read their values.
func (g *Gateway) Metrics() []meter.Metric {
	fromState := func(value func(State) uint64) func() float64 {
		return func() float64 {
			s, _ := g.State().(State)
			return float64(value(s))
		}
	}
	return []meter.Metric{
		{
			Name: "pistachiovane.requests.answered", Help: "Requests answered whole.", Monotonic: true,
			Value: func() float64 { return float64(g.server.Stats.Answers.Load()) },
		},
		{
			Name: "pistachiovane.requests.refused", Help: "Requests refused or failed.", Monotonic: true,
			Value: func() float64 { return float64(g.server.Stats.Refusals.Load()) },
		},
		{
			Name: "pistachiovane.tokens", Help: "Tokens passed to callers.", Monotonic: true,
			Value: func() float64 { return float64(g.server.Stats.OutputTokens.Load()) },
		},
		{
			Name: "pistachiovane.requests.open", Help: "Requests to engines in progress.",
			Value: func() float64 { return float64(g.coordinator.OpenRequests()) },
		},
		{
			Name: "pistachiovane.queue.interactive", Help: "Interactive requests that wait.",
			Value: func() float64 { n, _ := g.coordinator.QueueLengths(); return float64(n) },
		},
		{
			Name: "pistachiovane.queue.drafts", Help: "Drafts that wait.",
			Value: func() float64 { _, n := g.coordinator.QueueLengths(); return float64(n) },
		},
		{
			Name: "pistachiovane.config.plans", Help: "Version of the plans in force.",
			Value: fromState(func(s State) uint64 { return s.Config.PlansVersion }),
		},
		{
			Name: "pistachiovane.config.uses", Help: "Version of the uses in force.",
			Value: fromState(func(s State) uint64 { return s.Config.UsesVersion }),
		},
		{
			Name: "pistachiovane.config.findings", Help: "Findings in the newest lists; above zero means that they are refused.",
			Value: fromState(func(s State) uint64 { return uint64(len(s.Config.Findings)) }),
		},
		{
			Name: "pistachiovane.limits.own", Help: "Admissions from the own share.", Monotonic: true,
			Value: fromState(func(s State) uint64 { return s.Limits.OwnAdmissions }),
		},
		{
			Name: "pistachiovane.limits.borrowed", Help: "Admissions that other shares were charged for.", Monotonic: true,
			Value: fromState(func(s State) uint64 { return s.Limits.BorrowedAdmissions }),
		},
		{
			Name: "pistachiovane.limits.refused", Help: "Admissions refused.", Monotonic: true,
			Value: fromState(func(s State) uint64 { return s.Limits.Refusals }),
		},
		{
			Name: "pistachiovane.ready", Help: "One when the process takes requests.",
			Value: func() float64 { return boolValue(g.Ready()) },
		},
	}
}

// boolValue returns 1 for true and 0 for false.
func boolValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
