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

// Connector holds one connection to each agent, opened on demand.
type Connector struct {
	incarnation string
	credential  *credential.Credential
	// onTokens receives the answer tokens of all agents; it must not block.
	onTokens func(fleet.Tokens)

	mu     sync.Mutex
	agents map[string]agentClient
}

type agentClient struct {
	address string
	client  *fleet.Client
}

// New returns a connector without connections.
func New(incarnation string, c *credential.Credential, onTokens func(fleet.Tokens)) *Connector {
	return &Connector{incarnation: incarnation, credential: c, onTokens: onTokens, agents: make(map[string]agentClient)}
}

// SetAddress tells the address of an endpoint's agent; a changed address drops the old connection.
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

// Remove drops the connection to an endpoint's agent.
func (c *Connector) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, ok := c.agents[id]; ok {
		delete(c.agents, id)
		go old.client.Close()
	}
}

// Call sends a request to the agent of an endpoint.
func (c *Connector) Call(ctx context.Context, id, method string, params, result any) error {
	client, err := c.client(id)
	if err != nil {
		return err
	}
	return client.Call(ctx, method, params, result)
}

// Notify sends a notification to the agent of an endpoint.
func (c *Connector) Notify(ctx context.Context, id, method string, params any) error {
	client, err := c.client(id)
	if err != nil {
		return err
	}
	return client.Notify(ctx, method, params)
}

// Close drops all connections.
func (c *Connector) Close() {
	c.mu.Lock()
	agents := c.agents
	c.agents = make(map[string]agentClient)
	c.mu.Unlock()
	for _, agent := range agents {
		agent.client.Close()
	}
}

func (c *Connector) client(id string) (*fleet.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	agent, ok := c.agents[id]
	if !ok {
		return nil, errors.Wrapf(fleet.ErrNotSent, "no agent known for %s", id)
	}
	return agent.client, nil
}

func (c *Connector) handleNotification(method string, params json.RawMessage) {
	if method != fleet.MethodTokens {
		return
	}
	var t fleet.Tokens
	if err := json.Unmarshal(params, &t); err == nil {
		c.onTokens(t)
	}
}
