// Package connector keeps the connections from a gateway to the agents of its endpoints.
package connector

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/credential"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// Connector holds one connection to the agent of each endpoint; a connection is opened at the first message. It is
// safe for concurrent use.
type Connector struct {
	incarnation string
	credential  *credential.Credential
	// onTokens is called with the output tokens that agents send. It must not block.
	onTokens func(fleet.TokenBatch)

	// mu guards agents.
	mu sync.Mutex
	// agents holds the connections by endpoint ID.
	agents map[string]agentClient
}

// agentClient is the connection to one agent.
type agentClient struct {
	address string
	client  *fleet.Client
}

// New returns a connector without endpoints. incarnation is the ID of this run of the gateway's process. onTokens is
// called with the output tokens that agents send; it must not block.
func New(incarnation string, c *credential.Credential, onTokens func(fleet.TokenBatch)) *Connector {
	return &Connector{incarnation: incarnation, credential: c, onTokens: onTokens, agents: make(map[string]agentClient)}
}

// SetAddress sets the address of an endpoint's agent as ip:port. A changed address closes the old connection.
func (c *Connector) SetAddress(id, address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.agents[id]
	if ok && old.address == address {
		return
	}
	if ok {
		go old.client.Close()
	}
	c.agents[id] = agentClient{
		address: address, client: fleet.NewClient(address, c.incarnation, c.credential, c.handleNotification, nil),
	}
}

// Remove removes an endpoint and closes the connection to its agent.
func (c *Connector) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.agents[id]; ok {
		delete(c.agents, id)
		go old.client.Close()
	}
}

// Call sends a request to the agent of an endpoint and decodes the answer into result. It fails with fleet.ErrNotSent
// where the endpoint is unknown.
func (c *Connector) Call(ctx context.Context, id, method string, params, result any) error {
	client, err := c.client(id)
	if err != nil {
		return err
	}
	return client.Call(ctx, method, params, result)
}

// Notify sends a message without an answer to the agent of an endpoint. It fails with fleet.ErrNotSent where the
// endpoint is unknown.
func (c *Connector) Notify(ctx context.Context, id, method string, params any) error {
	client, err := c.client(id)
	if err != nil {
		return err
	}
	return client.Notify(ctx, method, params)
}

// Close removes all endpoints and closes the connections to their agents.
func (c *Connector) Close() {
	c.mu.Lock()
	agents := c.agents
	c.agents = make(map[string]agentClient)
	c.mu.Unlock()
	for _, agent := range agents {
		agent.client.Close()
	}
}

// client returns the connection to the agent of an endpoint. It fails with fleet.ErrNotSent where the endpoint is
// unknown.
func (c *Connector) client(id string) (*fleet.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	agent, ok := c.agents[id]
	if !ok {
		return nil, errors.Wrapf(fleet.ErrNotSent, "no agent address is known for endpoint %s", id)
	}
	return agent.client, nil
}

// handleNotification passes the tokens of an agent to onTokens. Other messages, and ones that can't be decoded, are
// ignored.
func (c *Connector) handleNotification(method string, params json.RawMessage) {
	if method != fleet.MethodTokens {
		return
	}
	var t fleet.TokenBatch
	if err := json.Unmarshal(params, &t); err == nil {
		c.onTokens(t)
	}
}
