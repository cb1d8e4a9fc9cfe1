package router

import "github.com/pistachiovane/pistachiovane/pkg/endpoint"

// The names of the policies, as used in settings and reports.
const (
	probeName       = "probe"
	randomName      = "random"
	roundRobinName  = "roundrobin"
	leastLoadedName = "leastloaded"
)

// PolicyByName returns the policy with the given name. ok is false if there is none.
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

// probe prefers prefill endpoints with the least work for the request, counting its cached prefix, and decode endpoints
// with the lowest share of used slots.
type probe struct{}

// Name implements Policy.
func (probe) Name() string { return probeName }

// LoadAware implements Policy.
func (probe) LoadAware() bool { return true }

// Score returns, for a prefill endpoint, the backlog plus the request's tokens, of which a cached prefix saves half.
// For other endpoints it returns the used slots in thousandths of all slots.
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

// leastLoaded prefers endpoints with the lowest load and ignores cached prefixes.
type leastLoaded struct{}

// Name implements Policy.
func (leastLoaded) Name() string { return leastLoadedName }

// LoadAware implements Policy.
func (leastLoaded) LoadAware() bool { return true }

// Score returns the backlog in tokens for prefill endpoints and the number of used slots for others.
func (leastLoaded) Score(s *EndpointState, _ Request, _ bool) float64 {
	if s.Role == endpoint.Prefill {
		return float64(s.BacklogTokens)
	}
	return float64(s.UsedSlots)
}

// loadUnaware chooses endpoints at random or in turn, depending on its name, and ignores their load.
type loadUnaware struct{ name string }

// Name implements Policy.
func (p loadUnaware) Name() string { return p.name }

// LoadAware implements Policy.
func (loadUnaware) LoadAware() bool { return false }

// Score returns the same value for all endpoints, so that the first candidate is chosen.
func (loadUnaware) Score(*EndpointState, Request, bool) float64 { return 0 }
