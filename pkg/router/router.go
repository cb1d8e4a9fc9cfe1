// Package router chooses an endpoint for a request by free capacity, backlog, cached prefix and failure domain. The
// time of a choice is bounded and does not grow with the number of endpoints, because only a sample of a large group is
// compared.
package router

import (
	"math/rand/v2"
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

const (
	// sampleSize is the number of endpoints of a large group that are compared for one choice.
	sampleSize = 6
	// maxScannedEndpoints is the largest size of a group of which every endpoint is compared.
	maxScannedEndpoints = 16
	// maxPrefixes limits the number of prefixes whose endpoint is known.
	maxPrefixes = 8192
	// remoteDomainCost is added to the score of an endpoint in another failure domain than the gateway. Scores of the
	// policy probe are in tokens for prefill endpoints and in thousandths of the slots for decode endpoints.
	remoteDomainCost = 64
	// A failed endpoint is ejected for minBackoff, doubled with each consecutive failure up to maxBackoff.
	minBackoff          = 250 * time.Millisecond
	maxBackoff          = 4 * time.Second
	maxBackoffDoublings = 4
	// avoidedEndpointCost is higher than any other score, so that an avoided endpoint is chosen last.
	avoidedEndpointCost = 1e12
)

// EndpointState is what a router knows of one endpoint. The Load is the last report, corrected by the caller for the
// work that it started or ended since.
type EndpointState struct {
	endpoint.Endpoint
	endpoint.Load
	// RunsSuspect is set while the endpoint runs a request that is suspected of crashing endpoints.
	RunsSuspect bool
	// reportedAt is the time of the last load report, or of the last assumption by AssumeFreeSlots.
	reportedAt time.Duration
	// ejectedUntil is when a failed endpoint may be chosen again.
	ejectedUntil time.Duration
	// consecutiveFailures is the number of failures since the last load report.
	consecutiveFailures int
	// backlogUpdatedAt is the time up to which completed prefill work has been subtracted from BacklogTokens.
	backlogUpdatedAt time.Duration
	// groupIndex is the position in group.states.
	groupIndex int
}

// HasCapacity returns whether the endpoint accepts new work and has a free slot and at least the given number of free
// pieces of KV cache memory.
func (s *EndpointState) HasCapacity(pieces int) bool {
	return !s.Leaving && s.UsedSlots < s.Slots && s.FreePieces >= pieces
}

// reduceBacklog subtracts the prefill work that the endpoint should have completed since the last call or load report.
func (s *EndpointState) reduceBacklog(now time.Duration, tokensPerSecond float64) {
	if s.Role != endpoint.Prefill || now <= s.backlogUpdatedAt {
		return
	}
	s.BacklogTokens = max(0, s.BacklogTokens-int((now-s.backlogUpdatedAt).Seconds()*tokensPerSecond))
	s.backlogUpdatedAt = now
}

// Request describes a request for which an endpoint is chosen.
type Request struct {
	// Model is the name of the model.
	Model string
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Pieces is the KV cache memory that the request needs at a decode endpoint, in pieces.
	Pieces int
	// PrefixDigest is the digest of the first block of the prompt; zero means none.
	PrefixDigest uint64
	// Suspect is set for a request that was running when an endpoint crashed. An endpoint runs at most one of them at a
	// time, so that a further crash can be attributed to one request.
	Suspect bool
	// Now is the time of the choice.
	Now time.Duration
	// PrefillTokensPerSecond is the speed at which prefill endpoints are assumed to complete their reported backlog.
	PrefillTokensPerSecond float64
	// AvoidedEndpoint is the ID of the endpoint at which the request failed last. It is chosen only if no other
	// candidate is eligible.
	AvoidedEndpoint string
}

// Policy scores endpoints for a request; the endpoint with the lowest score is chosen. Among equal scores the first
// candidate is chosen, and the candidates come in random order. A policy whose score is constant therefore chooses at
// random.
type Policy interface {
	// Name returns the name that is used in settings and reports.
	Name() string
	// Score returns the cost of placing req on the endpoint. prefixCached says whether the endpoint has the request's
	// prefix cached.
	Score(s *EndpointState, req Request, prefixCached bool) float64
	// LoadAware returns whether the router skips ejected endpoints and decode endpoints without capacity, and prefers
	// endpoints in its own failure domain.
	LoadAware() bool
}

// group holds the endpoints of one role and model, in arbitrary order.
type group struct {
	states []*EndpointState
	// choiceCount is the number of choices made so far. The round-robin policy derives the first candidate from it.
	choiceCount int
}

// groupKey identifies a group.
type groupKey struct {
	role  endpoint.Role
	model string
}

// Router holds the endpoints that a gateway knows, with their load. It is not safe for concurrent use.
type Router struct {
	policy Policy
	rng    *rand.Rand
	// domain is the failure domain of the gateway.
	domain string
	groups map[groupKey]*group
	// states holds all endpoints by ID.
	states map[string]*EndpointState
	// prefixes maps a prefix digest to the ID of the endpoint that prefilled it last. It has at most maxPrefixes
	// entries.
	prefixes map[uint64]string
	// sampleBuffer is reused to hold the candidates of each choice from a large group.
	sampleBuffer [sampleSize * 2]*EndpointState
}

// New returns a router without endpoints for a gateway in the given failure domain. The policy and rng must not be nil.
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

// Set adds an endpoint or updates its description. The known load is kept unless the role or model changes. A new
// endpoint is assumed to have initialFreePieces pieces of KV cache memory free until its first load report.
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

// Remove removes an endpoint. An unknown id is ignored.
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

// LoadAware returns whether the router's policy considers load; see Policy.LoadAware.
func (r *Router) LoadAware() bool {
	return r.policy.LoadAware()
}

// State returns the state of an endpoint, or nil if the id is unknown. The caller may change its load.
func (r *Router) State(id string) *EndpointState {
	return r.states[id]
}

// EachState calls visit for every endpoint, in no particular order.
func (r *Router) EachState(visit func(*EndpointState)) {
	for _, s := range r.states {
		visit(s)
	}
}

// UpdateLoad replaces the known load of an endpoint with a new report and resets its count of failures. An unknown id
// is ignored.
func (r *Router) UpdateLoad(id string, load endpoint.Load, now time.Duration) {
	if s, ok := r.states[id]; ok {
		s.Load = load
		s.reportedAt, s.backlogUpdatedAt = now, now
		s.consecutiveFailures = 0
	}
}

// ReportFailure ejects an endpoint that crashed or could not be reached: it is not chosen for a time that doubles with
// each consecutive failure. Without this, an endpoint that fails fast would seem idle and attract all work. An unknown
// id is ignored.
func (r *Router) ReportFailure(id string, now time.Duration) {
	s, ok := r.states[id]
	if !ok {
		return
	}
	s.ejectedUntil = now + min(maxBackoff, minBackoff<<min(s.consecutiveFailures, maxBackoffDoublings))
	s.consecutiveFailures++
}

// AssumeFreeSlots assumes a free slot and the given number of free pieces on each full decode endpoint whose load was
// reported at least age ago. Work of other gateways there may have ended since, which only a new attempt can show.
func (r *Router) AssumeFreeSlots(now, age time.Duration, pieces int) {
	for _, s := range r.states {
		if s.Role != endpoint.Decode || now-s.reportedAt < age || s.HasCapacity(pieces) {
			continue
		}
		s.UsedSlots = min(s.UsedSlots, max(0, s.Slots-1))
		s.FreePieces = max(s.FreePieces, pieces)
		s.reportedAt = now
	}
}

// RecordPrefix records that an endpoint prefills a prefix and therefore has it cached. At the limit of known prefixes
// an arbitrary one is dropped. A zero prefix is ignored.
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

// HasPrefix returns whether the endpoint was the last one that prefilled the prefix.
func (r *Router) HasPrefix(prefix uint64, id string) bool {
	return prefix != 0 && r.prefixes[prefix] == id
}

// Serves returns whether any endpoint of the role serves the model.
func (r *Router) Serves(role endpoint.Role, model string) bool {
	g, ok := r.groups[groupKey{role, model}]
	return ok && len(g.states) > 0
}

// Pick returns the eligible endpoint of the role with the lowest score, or nil if no candidate is eligible. The caller
// must add the request to the endpoint's load.
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

// score returns the policy's score, plus the costs of another failure domain and of an endpoint to avoid.
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

// eligible returns whether the request may be placed on the endpoint at all.
func (r *Router) eligible(s *EndpointState, role endpoint.Role, req Request) bool {
	if s.Leaving || (r.policy.LoadAware() && s.ejectedUntil > req.Now) {
		return false
	}
	if req.Suspect && s.RunsSuspect {
		return false
	}
	if role == endpoint.Decode && r.policy.LoadAware() {
		return s.HasCapacity(req.Pieces)
	}
	return true
}

// candidates returns all endpoints of a small group, or a random sample of a large one, preceded by the endpoint that
// has the request's prefix cached. The result is valid until the next call.
func (r *Router) candidates(g *group, req Request) []*EndpointState {
	g.choiceCount++
	n := len(g.states)
	out := r.sampleBuffer[:0]
	if n <= maxScannedEndpoints {
		return r.rotateGroup(g)
	}
	if prefixEndpoint, ok := r.states[r.prefixes[req.PrefixDigest]]; ok && req.PrefixDigest != 0 &&
		prefixEndpoint.groupIndex < n && g.states[prefixEndpoint.groupIndex] == prefixEndpoint {
		out = append(out, prefixEndpoint)
	}
	for range sampleSize {
		out = append(out, g.states[r.rng.IntN(n)])
	}
	return out
}

// rotateGroup returns the endpoints of a small group, rotated so that requests are spread over endpoints with equal
// scores. The offset is random, or for the round-robin policy greater by one on each call.
func (r *Router) rotateGroup(g *group) []*EndpointState {
	n := len(g.states)
	start := r.rng.IntN(n)
	if r.policy.Name() == roundRobinPolicyName {
		start = g.choiceCount % n
	}
	out := make([]*EndpointState, 0, maxScannedEndpoints)
	for i := range n {
		out = append(out, g.states[(start+i)%n])
	}
	return out
}

// group returns the group of a role and model and creates it if there is none.
func (r *Router) group(role endpoint.Role, model string) *group {
	k := groupKey{role, model}
	g, ok := r.groups[k]
	if !ok {
		g = &group{}
		r.groups[k] = g
	}
	return g
}
