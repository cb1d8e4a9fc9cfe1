// Package requester sends the calls of plain services to their agents: a keyed one to the agents that
// remember the key, a read to any.
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
	// agentsPerKey is how many agents remember a key.
	agentsPerKey = 3
	// readTimeout bounds one attempt of a read.
	readTimeout = 5 * time.Second
	// callTimeout bounds the wait for a call that may have run.
	callTimeout = 30 * time.Second
)

// Requester knows the endpoints of plain services.
type Requester struct {
	agents *connector.Connector

	mu sync.Mutex
	// services maps a service to its endpoints, those leaving included: they still remember keys.
	services map[string][]endpoint.Endpoint
}

// New returns a requester that knows no endpoint.
func New(c *connector.Connector) *Requester {
	return &Requester{agents: c, services: make(map[string][]endpoint.Endpoint)}
}

// UpdateEndpoints sets the endpoints.
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

// HasEndpoint tells whether any endpoint offers the service.
func (r *Requester) HasEndpoint(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.services[service]) > 0
}

// Call runs a call. A non-idempotent one goes to another endpoint only where it is certain that nothing reached
// the one before.
func (r *Requester) Call(ctx context.Context, c fleet.Call) fleet.CallAnswer {
	for _, t := range r.targets(c) {
		answer, retry := r.attempt(ctx, c, t)
		if !retry {
			return answer
		}
	}
	return fleet.CallAnswer{Outcome: fleet.CallNotRun}
}

func (r *Requester) attempt(ctx context.Context, c fleet.Call, t target) (answer fleet.CallAnswer, retry bool) {
	timeout := callTimeout
	if c.Read {
		timeout = readTimeout
	} else {
		ctx = context.WithoutCancel(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	c.Mirrors = t.mirrors
	err := r.agents.Call(ctx, t.id, fleet.MethodCall, c, &answer)
	switch {
	case err == nil:
		return answer, answer.Outcome == fleet.CallNotRun || (c.Read && answer.Outcome != fleet.CallDone)
	case errors.Is(err, fleet.ErrNotSent) || c.Read:
		return answer, true
	default:
		return fleet.CallAnswer{Outcome: fleet.CallUnknown}, false
	}
}

// target is an agent with the addresses of the others that remember the key.
type target struct {
	id      string
	mirrors []string
}

// targets lists the agents to try. A keyed call only tries its three memories; leaving ones remember but
// run nothing.
func (r *Requester) targets(c fleet.Call) []target {
	r.mu.Lock()
	endpoints := r.services[c.Service]
	r.mu.Unlock()
	if c.Key != "" && !c.Read {
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

func keyedTargets(c fleet.Call, endpoints []endpoint.Endpoint) []target {
	byID := make(map[string]endpoint.Endpoint, len(endpoints))
	nodes := make([]hasher.Node, 0, len(endpoints))
	for _, e := range endpoints {
		byID[e.ID] = e
		nodes = append(nodes, hasher.Node{ID: e.ID, Domain: e.Domain})
	}
	ranked := hasher.Rank(c.Account+"\x00"+c.Key, nodes)
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
