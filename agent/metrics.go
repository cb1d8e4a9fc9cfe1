package agent

import "github.com/pistachiovane/pistachiovane/service/meter"

// Metrics returns the metrics of an agent with the functions that read their values.
func (a *Agent) Metrics() []meter.Metric {
	return []meter.Metric{
		{
			Name: "pistachiovane.agent.held", Help: "Decode slots reserved or running.",
			Value: func() float64 { return float64(a.executor.Load().UsedSlots) },
		},
		{
			Name: "pistachiovane.agent.free", Help: "Free pieces of engine memory.",
			Value: func() float64 { return float64(a.executor.Load().FreePieces) },
		},
		{
			Name: "pistachiovane.agent.backlog", Help: "Prefill tokens that wait or run.",
			Value: func() float64 { return float64(a.executor.Load().BacklogTokens) },
		},
		{
			Name: "pistachiovane.agent.calls", Help: "Calls of the plain service that run.",
			Value: func() float64 { return float64(a.invoker.ActiveCalls()) },
		},
	}
}
