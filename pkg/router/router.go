// Package router chooses endpoints by free room, queued work, cached prefix and distance.
// The cost of a choice is bounded and does not grow with the fleet.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

const (
	// probes is how many endpoints are compared for one choice.
	probes = 6
	// scanLimit is the group size up to which every endpoint is compared.
	scanLimit = 16
	// prefixLimit bounds the remembered prefix locations.
	prefixLimit = 8192
	// remoteCost is the score in tokens for leaving the own failure domain.
	remoteCost = 64
	// A failed endpoint is left alone between backoffLeast and backoffMost, doubled with each failure.
	backoffLeast     = 250 * time.Millisecond
	backoffMost      = 4 * time.Second
	backoffDoublings = 4
	// avoidCost is above every other score, so that an avoided endpoint comes last.
	avoidCost = 1e12
)

// EndpointState is what the router knows of one endpoint.
type EndpointState struct {
	endpoint.Endpoint
	endpoint.Load
	// RunsSuspect is set while a request that may crash endpoints runs there.
	RunsSuspect bool
	// reported is when the load was reported last.
	reported time.Duration
	// downUntil is when a failed endpoint is tried again; failures counts its failures in a row.
	downUntil time.Duration
	failures  int
	// drained is the time up to which the known prefill queue was worked off.
	drained time.Duration
	index   int
}

// HasRoom tells whether a request of that many pieces fits now.
func (v *EndpointState) HasRoom(pieces int) bool {
	return !v.Leaving && v.UsedSlots < v.Slots && v.FreePieces >= pieces
}

// drain takes the work done since the last report out of the known prefill queue.
func (v *EndpointState) drain(now time.Duration, rate float64) {
	if v.Role != endpoint.Prefill || now <= v.drained {
		return
	}
	v.BacklogTokens = max(0, v.BacklogTokens-int((now-v.drained).Seconds()*rate))
	v.drained = now
}

// Request describes the request that an endpoint is chosen for.
type Request struct {
	Model string
	// PromptTokens is the prompt length.
	PromptTokens int
	// Pieces is the KV memory needed on the decode endpoint.
	Pieces int
	// PrefixDigest is the digest of the prompt's first block; zero means none.
	PrefixDigest uint64
	// Suspect work never shares an endpoint with other suspect work.
	Suspect bool
	// Now is the time of the choice, and Drain how fast prefill endpoints work, in tokens a second: a
	// reported queue is supposed to have been worked off since.
	Now                    time.Duration
	PrefillTokensPerSecond float64
	// AvoidedEndpoint names an endpoint that failed this request before; it is chosen only where no other fits.
	AvoidedEndpoint string
}

// Policy scores an endpoint for a piece of work; the lowest score is chosen.
// A policy that ignores its arguments and returns a constant chooses at random.
type Policy interface {
	// Name returns the name used in settings and reports.
	Name() string
	// Score returns the cost of placing w on v; prefix tells whether w's prefix is cached there.
	Score(v *EndpointState, w Request, prefix bool) float64
	// LoadAware tells whether endpoints without room are passed over.
	LoadAware() bool
}

type group struct {
	views []*EndpointState
	next  int
}

type groupKey struct {
	role  endpoint.Role
	model string
}

// Router holds a gateway's view of its endpoints. It is not safe for concurrent use.
type Router struct {
	policy Policy
	rng    *rand.Rand
	domain string
	groups map[groupKey]*group
	views  map[string]*EndpointState
	// prefixes maps a prefix digest to the endpoint that prefilled it last; bounded by prefixLimit.
	prefixes map[uint64]string
	scratch  [probes * 2]*EndpointState
}

// New returns a router without endpoints for a gateway in the given failure domain.
func New(policy Policy, domain string, rng *rand.Rand) *Router {
	return &Router{
		policy:   policy,
		rng:      rng,
		domain:   domain,
		groups:   make(map[groupKey]*group),
		views:    make(map[string]*EndpointState),
		prefixes: make(map[uint64]string),
	}
}

// Set adds an endpoint or updates its description; what is known of its load is kept.
func (r *Router) Set(e endpoint.Endpoint, freshPieces int) {
	if v, ok := r.views[e.ID]; ok && v.Role == e.Role && v.Model == e.Model {
		v.Endpoint = e
		return
	}
	r.Remove(e.ID)
	g := r.group(e.Role, e.Model)
	v := &EndpointState{Endpoint: e, Load: endpoint.Load{FreePieces: freshPieces}, index: len(g.views)}
	g.views = append(g.views, v)
	r.views[e.ID] = v
}

// Remove forgets an endpoint.
func (r *Router) Remove(id string) {
	v, ok := r.views[id]
	if !ok {
		return
	}
	g := r.group(v.Role, v.Model)
	last := g.views[len(g.views)-1]
	g.views[v.index] = last
	last.index = v.index
	g.views = g.views[:len(g.views)-1]
	delete(r.views, id)
}

// LoadAware tells whether the policy looks at load.
func (r *Router) LoadAware() bool {
	return r.policy.LoadAware()
}

// State returns what is known of an endpoint, or nil.
func (r *Router) State(id string) *EndpointState {
	return r.views[id]
}

// EachState calls visit for every endpoint, in no particular order.
func (r *Router) EachState(visit func(*EndpointState)) {
	for _, v := range r.views {
		visit(v)
	}
}

// UpdateLoad replaces the known load of an endpoint with a fresh report.
func (r *Router) UpdateLoad(id string, load endpoint.Load, now time.Duration) {
	if v, ok := r.views[id]; ok {
		v.Load = load
		v.reported, v.drained = now, now
		v.failures = 0
	}
}

// ReportFailure takes an endpoint that crashed or could not be reached out of choice for a while, longer with each
// failure in a row. Without this an endpoint that fails fast would look idle and draw all work.
func (r *Router) ReportFailure(id string, now time.Duration) {
	v, ok := r.views[id]
	if !ok {
		return
	}
	v.downUntil = now + min(backoffMost, backoffLeast<<min(v.failures, backoffDoublings))
	v.failures++
}

// AssumeFreeSlots supposes one free slot on each endpoint that was reported full longer than age ago: what other
// gateways held there may have ended, and only a new attempt tells.
func (r *Router) AssumeFreeSlots(now, age time.Duration, pieces int) {
	for _, v := range r.views {
		if v.Role != endpoint.Decode || now-v.reported < age || v.HasRoom(pieces) {
			continue
		}
		v.UsedSlots = min(v.UsedSlots, max(0, v.Slots-1))
		v.FreePieces = max(v.FreePieces, pieces)
		v.reported = now
	}
}

// RecordPrefix remembers that an endpoint holds a prefix.
func (r *Router) RecordPrefix(prefix uint64, id string) {
	if prefix == 0 {
		return
	}
	if len(r.prefixes) >= prefixLimit {
		for k := range r.prefixes {
			delete(r.prefixes, k)
			break
		}
	}
	r.prefixes[prefix] = id
}

// HasPrefix tells whether the endpoint prefilled the prefix last.
func (r *Router) HasPrefix(prefix uint64, id string) bool {
	return prefix != 0 && r.prefixes[prefix] == id
}

// Serves tells whether any endpoint of the role serves the model.
func (r *Router) Serves(role endpoint.Role, model string) bool {
	g, ok := r.groups[groupKey{role, model}]
	return ok && len(g.views) > 0
}

// Pick returns the endpoint of the role that the policy prefers, or nil when none fits.
func (r *Router) Pick(role endpoint.Role, w Request) *EndpointState {
	g, ok := r.groups[groupKey{role, w.Model}]
	if !ok || len(g.views) == 0 {
		return nil
	}
	var best *EndpointState
	bestScore := 0.0
	for _, v := range r.candidates(g, w) {
		v.drain(w.Now, w.PrefillTokensPerSecond)
		if !r.fits(v, role, w) {
			continue
		}
		score := r.score(v, w)
		if best == nil || score < bestScore {
			best, bestScore = v, score
		}
	}
	return best
}

func (r *Router) score(v *EndpointState, w Request) float64 {
	score := r.policy.Score(v, w, r.HasPrefix(w.PrefixDigest, v.ID))
	if v.Domain != r.domain && r.policy.LoadAware() {
		score += remoteCost
	}
	if v.ID == w.AvoidedEndpoint {
		score += avoidCost
	}
	return score
}

func (r *Router) fits(v *EndpointState, role endpoint.Role, w Request) bool {
	if v.Leaving || (r.policy.LoadAware() && v.downUntil > w.Now) {
		return false
	}
	if w.Suspect && v.RunsSuspect {
		return false
	}
	if role == endpoint.Decode && r.policy.LoadAware() {
		return v.HasRoom(w.Pieces)
	}
	return true
}

// candidates returns all endpoints of a small group in rotated order, and a bounded sample
// plus the holder of the prefix of a large one.
func (r *Router) candidates(g *group, w Request) []*EndpointState {
	g.next++
	n := len(g.views)
	out := r.scratch[:0]
	if n <= scanLimit {
		return r.rotated(g)
	}
	if holder, ok := r.views[r.prefixes[w.PrefixDigest]]; ok && w.PrefixDigest != 0 && holder.index < n && g.views[holder.index] == holder {
		out = append(out, holder)
	}
	for range probes {
		out = append(out, g.views[r.rng.IntN(n)])
	}
	return out
}

// rotated lists a small group from a random start, or in turn for a policy that is not informed
// and keeps its place, so that ties spread over the group.
func (r *Router) rotated(g *group) []*EndpointState {
	n := len(g.views)
	start := r.rng.IntN(n)
	if r.policy.Name() == roundRobinName {
		start = g.next % n
	}
	out := make([]*EndpointState, 0, scanLimit)
	for i := range n {
		out = append(out, g.views[(start+i)%n])
	}
	return out
}

func (r *Router) group(role endpoint.Role, model string) *group {
	k := groupKey{role, model}
	g, ok := r.groups[k]
	if !ok {
		g = &group{}
		r.groups[k] = g
	}
	return g
}
