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
		return blind{name: randomName}, true
	case roundRobinName:
		return blind{name: roundRobinName}, true
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

// Informed returns true.
func (probe) Informed() bool { return true }

// Score returns queued tokens for prefill, and the used share of slots for decode.
func (probe) Score(v *View, w Work, prefix bool) float64 {
	if v.Role == endpoint.Prefill {
		cost := float64(v.Backlog + w.Tokens)
		if prefix {
			cost -= float64(w.Tokens) / 2
		}
		return cost
	}
	return 1000 * float64(v.Held) / float64(max(1, v.Slots))
}

// leastLoaded compares load alone.
type leastLoaded struct{}

// Name returns "leastloaded".
func (leastLoaded) Name() string { return leastLoadedName }

// Informed returns true.
func (leastLoaded) Informed() bool { return true }

// Score returns queued tokens for prefill, and held slots for decode.
func (leastLoaded) Score(v *View, _ Work, _ bool) float64 {
	if v.Role == endpoint.Prefill {
		return float64(v.Backlog)
	}
	return float64(v.Held)
}

// blind chooses without looking at load: at random or in turn.
type blind struct{ name string }

// Name returns the name that it was made with.
func (b blind) Name() string { return b.name }

// Informed returns false.
func (blind) Informed() bool { return false }

// Score returns the same for all, so that the first candidate is chosen.
func (blind) Score(*View, Work, bool) float64 { return 0 }
