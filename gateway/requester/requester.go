// Package requester sends the calls of plain services to the agents of their endpoints. A call with an idempotency key
// goes to the agents that store the key; other calls go to any agent.
package requester

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/gateway/connector"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/hasher"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

const (
	// agentsPerKey is how many agents store the record of an idempotency key.
	agentsPerKey = 3
	// readTimeout is the longest time of one attempt of a read.
	readTimeout = 5 * time.Second
	// callTimeout is the longest wait for the answer to a call that may run. The caller's context does not end it
	// earlier.
	callTimeout = 30 * time.Second
)

// Requester knows the endpoints of plain services and sends calls to them. It is safe for concurrent use.
type Requester struct {
	agents *connector.Connector

	// mu guards services.
	mu sync.Mutex
	// services holds the endpoints of each service by its name. It includes leaving endpoints, because their agents
	// still store keys.
	services map[string][]endpoint.Endpoint
}

// New returns a requester without endpoints.
func New(c *connector.Connector) *Requester {
	return &Requester{agents: c, services: make(map[string][]endpoint.Endpoint)}
}

// UpdateEndpoints replaces the endpoints; those of models are ignored.
func (r *Requester) UpdateEndpoints(endpoints []endpoint.Endpoint) {
	services := make(map[string][]endpoint.Endpoint)
	for _, e := range endpoints {
		if e.Role == endpoint.Plain {
			services[e.Model] = append(services[e.Model], e)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.services = services
}

// HasEndpoint reports whether any endpoint offers the service, leaving ones included.
func (r *Requester) HasEndpoint(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.services[service]) > 0
}

// Call runs a call at one of the service's endpoints and returns its outcome. A read that fails is tried at the next
// endpoint. Any other call is tried again only where it is certain that it did not run before.
func (r *Requester) Call(ctx context.Context, c fleet.CallRequest) fleet.CallResponse {
	for _, t := range r.targets(c) {
		answer, retry := r.attempt(ctx, c, t)
		if !retry {
			return answer
		}
	}
	return fleet.CallResponse{Outcome: fleet.CallNotExecuted}
}

// attempt sends a call to one endpoint. retry is set where the call may be sent to another one.
func (r *Requester) attempt(
	ctx context.Context, c fleet.CallRequest, t target,
) (answer fleet.CallResponse, retry bool) {
	timeout := callTimeout
	if c.ReadOnly {
		timeout = readTimeout
	} else {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.MirrorAgents = t.mirrors
	err := r.agents.Call(ctx, t.id, fleet.MethodCall, c, &answer)
	switch {
	case err == nil:
		return answer, answer.Outcome == fleet.CallNotExecuted || (c.ReadOnly && answer.Outcome != fleet.CallDone)
	case errors.Is(err, fleet.ErrNotSent) || c.ReadOnly:
		return answer, true
	default:
		return fleet.CallResponse{Outcome: fleet.CallUnknown}, false
	}
}

// target is an endpoint to send a call to.
type target struct {
	id string
	// mirrors are the addresses of the other agents that store the key of the call.
	mirrors []string
}

// targets returns the endpoints to try, in order. A call with a key is only tried at the agents that store the key,
// any other call at all endpoints in random order. Leaving endpoints run no calls.
func (r *Requester) targets(c fleet.CallRequest) []target {
	r.mu.Lock()
	endpoints := r.services[c.Service]
	r.mu.Unlock()
	if c.IdempotencyKey != "" && !c.ReadOnly {
		return keyedTargets(c, endpoints)
	}
	var out []target
	for _, i := range rand.Perm(len(endpoints)) {
		if !endpoints[i].Leaving {
			out = append(out, target{id: endpoints[i].ID})
		}
	}
	return out
}

// keyedTargets returns the endpoints to try for a call with a key. The agents that store the key are the first
// agentsPerKey in the rendezvous order of the account and the key, in different failure domains where possible. A
// leaving one is a mirror of the others but not a target.
func keyedTargets(c fleet.CallRequest, endpoints []endpoint.Endpoint) []target {
	byID := make(map[string]endpoint.Endpoint, len(endpoints))
	nodes := make([]hasher.Node, 0, len(endpoints))
	for _, e := range endpoints {
		byID[e.ID] = e
		nodes = append(nodes, hasher.Node{ID: e.ID, Domain: e.Domain})
	}
	ranked := hasher.Rank(c.Account+"\x00"+c.IdempotencyKey, nodes)
	ranked = ranked[:min(agentsPerKey, len(ranked))]
	var out []target
	for i, n := range ranked {
		if byID[n.ID].Leaving {
			continue
		}
		t := target{id: n.ID}
		for j, other := range ranked {
			if j != i {
				t.mirrors = append(t.mirrors, byID[other.ID].Address)
			}
		}
		out = append(out, t)
	}
	return out
}
