// Package linker keeps the connections from a gateway to the agents of its endpoints.
package linker

import (
	"context"
	"encoding/json"
	"sync"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/credential"
	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// Linker holds one connection to each agent, opened on demand.
type Linker struct {
	incarnation string
	credential  *credential.Credential
	// tokens receives the answer tokens of all agents; it must not block.
	tokens func(fleet.Tokens)

	mu    sync.Mutex
	links map[string]link
}

type link struct {
	address string
	client  *fleet.Client
}

// New returns a linker without connections.
func New(incarnation string, c *credential.Credential, tokens func(fleet.Tokens)) *Linker {
	return &Linker{incarnation: incarnation, credential: c, tokens: tokens, links: make(map[string]link)}
}

// Set tells the address of an endpoint's agent; a changed address drops the old connection.
func (l *Linker) Set(id, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	old, ok := l.links[id]
	if ok && old.address == address {
		return
	}
	if ok {
		go old.client.Close()
	}
	l.links[id] = link{address: address, client: fleet.NewClient(address, l.incarnation, l.credential, l.notified, nil)}
}

// Remove drops the connection to an endpoint's agent.
func (l *Linker) Remove(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if old, ok := l.links[id]; ok {
		delete(l.links, id)
		go old.client.Close()
	}
}

// Call sends a request to the agent of an endpoint.
func (l *Linker) Call(ctx context.Context, id, method string, params, result any) error {
	c, err := l.client(id)
	if err != nil {
		return err
	}
	return c.Call(ctx, method, params, result)
}

// Notify sends a notification to the agent of an endpoint.
func (l *Linker) Notify(ctx context.Context, id, method string, params any) error {
	c, err := l.client(id)
	if err != nil {
		return err
	}
	return c.Notify(ctx, method, params)
}

// Close drops all connections.
func (l *Linker) Close() {
	l.mu.Lock()
	links := l.links
	l.links = make(map[string]link)
	l.mu.Unlock()
	for _, k := range links {
		k.client.Close()
	}
}

func (l *Linker) client(id string) (*fleet.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.links[id]
	if !ok {
		return nil, errors.Wrapf(fleet.ErrNotSent, "no agent known for %s", id)
	}
	return k.client, nil
}

func (l *Linker) notified(method string, params json.RawMessage) {
	if method != fleet.MethodTokens {
		return
	}
	var t fleet.Tokens
	if err := json.Unmarshal(params, &t); err == nil {
		l.tokens(t)
	}
}
