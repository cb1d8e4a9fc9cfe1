// Package router chooses endpoints by free room, queued work, cached prefix and distance.
// The cost of a choice is bounded and does not grow with the fleet.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

const (
	// sampleSize is how many endpoints are compared for one choice.
	sampleSize = 6
	// maxScannedEndpoints is the group size up to which every endpoint is compared.
	maxScannedEndpoints = 16
	// maxPrefixes bounds the remembered prefix locations.
	maxPrefixes = 8192
	// remoteDomainCost is the score in tokens for leaving the own failure domain.
	remoteDomainCost = 64
	// A failed endpoint is left alone between backoffLeast and backoffMost, doubled with each failure.
	minBackoff          = 250 * time.Millisecond
	maxBackoff          = 4 * time.Second
	maxBackoffDoublings = 4
	// avoidedEndpointCost is above every other score, so that an avoided endpoint comes last.
	avoidedEndpointCost = 1e12
)

// EndpointState is what the router knows of one endpoint.
type EndpointState struct {
	endpoint.Endpoint
	endpoint.Load
	// RunsSuspect is set while a request that may crash endpoints runs there.
	RunsSuspect bool
	// reportedAt is when the load was reported last.
	reportedAt time.Duration
	// ejectedUntil is when a failed endpoint is tried again; failures counts its failures in a row.
	ejectedUntil        time.Duration
	consecutiveFailures int
	// backlogUpdatedAt is the time up to which the known prefill queue was worked off.
	backlogUpdatedAt time.Duration
	groupIndex       int
}

// HasRoom tells whether a request of that many pieces fits now.
func (s *EndpointState) HasRoom(pieces int) bool {
	return !s.Leaving && s.UsedSlots < s.Slots && s.FreePieces >= pieces
}

// reduceBacklog takes the work done since the last report out of the known prefill queue.
func (s *EndpointState) reduceBacklog(now time.Duration, tokensPerSecond float64) {
	if s.Role != endpoint.Prefill || now <= s.backlogUpdatedAt {
		return
	}
	s.BacklogTokens = max(0, s.BacklogTokens-int((now-s.backlogUpdatedAt).Seconds()*tokensPerSecond))
	s.backlogUpdatedAt = now
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
	Score(s *EndpointState, req Request, prefix bool) float64
	// LoadAware tells whether endpoints without room are passed over.
	LoadAware() bool
}

type group struct {
	states    []*EndpointState
	nextIndex int
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
	states map[string]*EndpointState
	// prefixes maps a prefix digest to the endpoint that prefilled it last; bounded by prefixLimit.
	prefixes     map[uint64]string
	sampleBuffer [sampleSize * 2]*EndpointState
}

// New returns a router without endpoints for a gateway in the given failure domain.
func New(policy Policy, domain string, rng *rand.Rand) *Router {
	return &Router{
		policy:   policy,
		rng:      rng,
		domain:   domain,
		groups:   make(map[groupKey]*group),
		states:   make(map[string]*EndpointState),
		prefixes: make(map[uint64]string),
	}
}

// Set adds an endpoint or updates its description; what is known of its load is kept.
func (r *Router) Set(e endpoint.Endpoint, initialFreePieces int) {
	if s, ok := r.states[e.ID]; ok && s.Role == e.Role && s.Model == e.Model {
		s.Endpoint = e
		return
	}
	r.Remove(e.ID)
	g := r.group(e.Role, e.Model)
	s := &EndpointState{Endpoint: e, Load: endpoint.Load{FreePieces: initialFreePieces}, groupIndex: len(g.states)}
	g.states = append(g.states, s)
	r.states[e.ID] = s
}

// Remove forgets an endpoint.
func (r *Router) Remove(id string) {
	s, ok := r.states[id]
	if !ok {
		return
	}
	g := r.group(s.Role, s.Model)
	last := g.states[len(g.states)-1]
	g.states[s.groupIndex] = last
	last.groupIndex = s.groupIndex
	g.states = g.states[:len(g.states)-1]
	delete(r.states, id)
}

// LoadAware tells whether the policy looks at load.
func (r *Router) LoadAware() bool {
	return r.policy.LoadAware()
}

// State returns what is known of an endpoint, or nil.
func (r *Router) State(id string) *EndpointState {
	return r.states[id]
}

// EachState calls visit for every endpoint, in no particular order.
func (r *Router) EachState(visit func(*EndpointState)) {
	for _, s := range r.states {
		visit(s)
	}
}

// UpdateLoad replaces the known load of an endpoint with a fresh report.
func (r *Router) UpdateLoad(id string, load endpoint.Load, now time.Duration) {
	if s, ok := r.states[id]; ok {
		s.Load = load
		s.reportedAt, s.backlogUpdatedAt = now, now
		s.consecutiveFailures = 0
	}
}

// ReportFailure takes an endpoint that crashed or could not be reached out of choice for a while, longer with each
// failure in a row. Without this an endpoint that fails fast would look idle and draw all work.
func (r *Router) ReportFailure(id string, now time.Duration) {
	s, ok := r.states[id]
	if !ok {
		return
	}
	s.ejectedUntil = now + min(maxBackoff, minBackoff<<min(s.consecutiveFailures, maxBackoffDoublings))
	s.consecutiveFailures++
}

// AssumeFreeSlots supposes one free slot on each endpoint that was reported full longer than age ago: what other
// gateways held there may have ended, and only a new attempt tells.
func (r *Router) AssumeFreeSlots(now, age time.Duration, pieces int) {
	for _, s := range r.states {
		if s.Role != endpoint.Decode || now-s.reportedAt < age || s.HasRoom(pieces) {
			continue
		}
		s.UsedSlots = min(s.UsedSlots, max(0, s.Slots-1))
		s.FreePieces = max(s.FreePieces, pieces)
		s.reportedAt = now
	}
}

// RecordPrefix remembers that an endpoint holds a prefix.
func (r *Router) RecordPrefix(prefix uint64, id string) {
	if prefix == 0 {
		return
	}
	if len(r.prefixes) >= maxPrefixes {
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
	return ok && len(g.states) > 0
}

// Pick returns the endpoint of the role that the policy prefers, or nil when none fits.
func (r *Router) Pick(role endpoint.Role, req Request) *EndpointState {
	g, ok := r.groups[groupKey{role, req.Model}]
	if !ok || len(g.states) == 0 {
		return nil
	}
	var best *EndpointState
	bestScore := 0.0
	for _, s := range r.candidates(g, req) {
		s.reduceBacklog(req.Now, req.PrefillTokensPerSecond)
		if !r.eligible(s, role, req) {
			continue
		}
		score := r.score(s, req)
		if best == nil || score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

func (r *Router) score(s *EndpointState, req Request) float64 {
	score := r.policy.Score(s, req, r.HasPrefix(req.PrefixDigest, s.ID))
	if s.Domain != r.domain && r.policy.LoadAware() {
		score += remoteDomainCost
	}
	if s.ID == req.AvoidedEndpoint {
		score += avoidedEndpointCost
	}
	return score
}

func (r *Router) eligible(s *EndpointState, role endpoint.Role, req Request) bool {
	if s.Leaving || (r.policy.LoadAware() && s.ejectedUntil > req.Now) {
		return false
	}
	if req.Suspect && s.RunsSuspect {
		return false
	}
	if role == endpoint.Decode && r.policy.LoadAware() {
		return s.HasRoom(req.Pieces)
	}
	return true
}

// candidates returns all endpoints of a small group in rotated order, and a bounded sample
// plus the holder of the prefix of a large one.
func (r *Router) candidates(g *group, req Request) []*EndpointState {
	g.nextIndex++
	n := len(g.states)
	out := r.sampleBuffer[:0]
	if n <= maxScannedEndpoints {
		return r.rotateGroup(g)
	}
	if holder, ok := r.states[r.prefixes[req.PrefixDigest]]; ok && req.PrefixDigest != 0 && holder.groupIndex < n && g.states[holder.groupIndex] == holder {
		out = append(out, holder)
	}
	for range sampleSize {
		out = append(out, g.states[r.rng.IntN(n)])
	}
	return out
}

// rotateGroup lists a small group from a random start, or in turn for a policy that is not informed
// and keeps its place, so that ties spread over the group.
func (r *Router) rotateGroup(g *group) []*EndpointState {
	n := len(g.states)
	start := r.rng.IntN(n)
	if r.policy.Name() == roundRobinName {
		start = g.nextIndex % n
	}
	out := make([]*EndpointState, 0, maxScannedEndpoints)
	for i := range n {
		out = append(out, g.states[(start+i)%n])
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
