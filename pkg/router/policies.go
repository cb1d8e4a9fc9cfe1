package router

import "github.com/pistachiovane/pistachiovane/pkg/endpoint"

const (
	probeName       = "probe"
	randomName      = "random"
	roundRobinName  = "roundrobin"
	leastLoadedName = "leastloaded"
)

// PolicyByName returns the policy with that name; ok is false when there is none.
func PolicyByName(name string) (p Policy, ok bool) {
	switch name {
	case probeName:
		return probe{}, true
	case randomName:
		return loadUnaware{name: randomName}, true
	case roundRobinName:
		return loadUnaware{name: roundRobinName}, true
	case leastLoadedName:
		return leastLoaded{}, true
	default:
		return nil, false
	}
}

// probe weighs queued prefill work against cached prefixes, and decode room against load.
type probe struct{}

// Name returns "probe".
func (probe) Name() string { return probeName }

// LoadAware returns true.
func (probe) LoadAware() bool { return true }

// Score returns queued tokens for prefill, and the used share of slots for decode.
func (probe) Score(s *EndpointState, req Request, prefix bool) float64 {
	if s.Role == endpoint.Prefill {
		cost := float64(s.BacklogTokens + req.PromptTokens)
		if prefix {
			cost -= float64(req.PromptTokens) / 2
		}
		return cost
	}
	return 1000 * float64(s.UsedSlots) / float64(max(1, s.Slots))
}

// leastLoaded compares load alone.
type leastLoaded struct{}

// Name returns "leastloaded".
func (leastLoaded) Name() string { return leastLoadedName }

// LoadAware returns true.
func (leastLoaded) LoadAware() bool { return true }

// Score returns queued tokens for prefill, and held slots for decode.
func (leastLoaded) Score(s *EndpointState, _ Request, _ bool) float64 {
	if s.Role == endpoint.Prefill {
		return float64(s.BacklogTokens)
	}
	return float64(s.UsedSlots)
}

// loadUnaware chooses without looking at load: at random or in turn.
type loadUnaware struct{ name string }

// Name returns the name that it was made with.
func (b loadUnaware) Name() string { return b.name }

// LoadAware returns false.
func (loadUnaware) LoadAware() bool { return false }

// Score returns the same for all, so that the first candidate is chosen.
func (loadUnaware) Score(*EndpointState, Request, bool) float64 { return 0 }
