package router

import "github.com/pistachiovane/pistachiovane/pkg/endpoint"

// The names of the policies, as used in settings and reports.
const (
	probePolicyName       = "probe"
	randomPolicyName      = "random"
	roundRobinPolicyName  = "roundrobin"
	leastLoadedPolicyName = "leastloaded"
)

// PolicyByName returns the policy with the given name. ok is false if there is none.
func PolicyByName(name string) (p Policy, ok bool) {
	switch name {
	case probePolicyName:
		return probe{}, true
	case randomPolicyName:
		return loadUnaware{name: randomPolicyName}, true
	case roundRobinPolicyName:
		return loadUnaware{name: roundRobinPolicyName}, true
	case leastLoadedPolicyName:
		return leastLoaded{}, true
	default:
		return nil, false
	}
}

// probe prefers prefill endpoints with the fewest tokens to prefill until the request is done, less those saved by a
// cached prefix, and decode endpoints with the lowest fraction of used slots.
type probe struct{}

// Name implements Policy.
func (probe) Name() string { return probePolicyName }

// LoadAware implements Policy.
func (probe) LoadAware() bool { return true }

// Score returns, for a prefill endpoint, the backlog plus the request's tokens, of which a cached prefix saves half.
// For other endpoints it returns the used slots in thousandths of all slots.
func (probe) Score(s *EndpointState, req Request, prefixCached bool) float64 {
	if s.Role == endpoint.Prefill {
		cost := float64(s.BacklogTokens + req.PromptTokens)
		if prefixCached {
			cost -= float64(req.PromptTokens) / 2
		}
		return cost
	}
	return 1000 * float64(s.UsedSlots) / float64(max(1, s.Slots))
}

// leastLoaded prefers endpoints with the lowest load and ignores cached prefixes.
type leastLoaded struct{}

// Name implements Policy.
func (leastLoaded) Name() string { return leastLoadedPolicyName }

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
