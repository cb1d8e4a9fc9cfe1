package gateway

import (
	"github.com/pistachiovane/pistachiovane/service/meter"
)

// Readings returns the metrics of a gateway.
func (g *Gateway) Readings() []meter.Reading {
	limits := func(pick func(State) uint64) func() float64 {
		return func() float64 {
			s, _ := g.State().(State)
			return float64(pick(s))
		}
	}
	return []meter.Reading{
		{Name: "pistachiovane.requests.answered", Help: "Requests answered whole.", Rising: true, Value: func() float64 { return float64(g.server.Stats.Answered.Load()) }},
		{Name: "pistachiovane.requests.refused", Help: "Requests refused or failed.", Rising: true, Value: func() float64 { return float64(g.server.Stats.Refused.Load()) }},
		{Name: "pistachiovane.tokens", Help: "Tokens passed to callers.", Rising: true, Value: func() float64 { return float64(g.server.Stats.Tokens.Load()) }},
		{Name: "pistachiovane.requests.open", Help: "Requests to engines in progress.", Value: func() float64 { return float64(g.coordinator.Open()) }},
		{Name: "pistachiovane.queue.interactive", Help: "Interactive requests that wait.", Value: func() float64 { n, _ := g.coordinator.Waiting(); return float64(n) }},
		{Name: "pistachiovane.queue.drafts", Help: "Drafts that wait.", Value: func() float64 { _, n := g.coordinator.Waiting(); return float64(n) }},
		{Name: "pistachiovane.config.plans", Help: "Version of the plans in force.", Value: limits(func(s State) uint64 { return s.Config.Plans })},
		{Name: "pistachiovane.config.uses", Help: "Version of the uses in force.", Value: limits(func(s State) uint64 { return s.Config.Uses })},
		{Name: "pistachiovane.config.findings", Help: "Findings in the newest lists; above zero means that they are refused.", Value: limits(func(s State) uint64 { return uint64(len(s.Config.Findings)) })},
		{Name: "pistachiovane.limits.own", Help: "Admissions from the own share.", Rising: true, Value: limits(func(s State) uint64 { return s.Limits.Own })},
		{Name: "pistachiovane.limits.borrowed", Help: "Admissions that other shares were charged for.", Rising: true, Value: limits(func(s State) uint64 { return s.Limits.Borrowed })},
		{Name: "pistachiovane.limits.refused", Help: "Admissions refused.", Rising: true, Value: limits(func(s State) uint64 { return s.Limits.Refused })},
		{Name: "pistachiovane.ready", Help: "One when the process takes requests.", Value: func() float64 { return truth(g.Ready()) }},
	}
}

func truth(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
