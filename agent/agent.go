// Package agent is the process beside each endpoint. All work for the endpoint passes through it. It reserves decode
// slots and KV memory, checks fencing tokens, runs non-idempotent calls at most once, and cancels the work of gateways
// that have disconnected.
package agent

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiovane/pistachiovane/agent/executor"
	"github.com/pistachiovane/pistachiovane/agent/invoker"
	"github.com/pistachiovane/pistachiovane/pkg/credential"
	"github.com/pistachiovane/pistachiovane/pkg/deduplicator"
	"github.com/pistachiovane/pistachiovane/pkg/settings"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/supervision"
	"github.com/pistachiovane/pistachiovane/service/transport"
)

// drainPollInterval is how often a draining agent checks whether all work has ended.
const drainPollInterval = 20 * time.Millisecond

// Agent holds the parts of the process and supervises them.
type Agent struct {
	settings    settings.Settings
	incarnation string
	credential  *credential.Credential
	log         *log.Logger
	supervisor  *suture.Supervisor
	server      *fleet.Server
	executor    *executor.Executor
	invoker     *invoker.Invoker
	transport   *http.Transport

	// mu guards peers.
	mu sync.Mutex
	// peers holds the connections to the agents that store copies of idempotency records, by address.
	peers map[string]*fleet.Client
}

// New returns an agent that accepts gateways and other agents on the listener. It fails when the credentials can't be
// created.
func New(s settings.Settings, l net.Listener, logger *log.Logger) (*Agent, error) {
	c, err := credential.New(s.Fleet.Secret, s.Name, time.Now())
	if err != nil {
		return nil, err
	}
	a := &Agent{
		settings: s, incarnation: uuid.NewString(), credential: c, log: logger,
		supervisor: supervision.New("agent", logger),
		transport:  transport.New(256),
		peers:      make(map[string]*fleet.Client),
	}
	client := &http.Client{Transport: a.transport}
	a.executor = executor.New(executor.Options{
		EngineURL: s.Engine.URL, DecodeSlots: s.Engine.DecodeSlots, MemoryPieces: s.Engine.MemoryPieces,
		ReservationTimeout: s.Engine.ReservationTimeout, CheckFencingTokens: s.Engine.CheckFencingTokens,
	}, client)
	records := deduplicator.New(s.Service.IdempotencyWindow, s.Service.MaxIdempotencyKeys)
	a.invoker = invoker.New(s.Service.URL, a.incarnation, records, s.Service.IdempotencyWindow, client, a.sendMirror)
	a.server = fleet.NewServer(l, c, &handler{agent: a})
	a.supervisor.Add(a.executor)
	a.supervisor.Add(a.server)
	return a, nil
}

// Serve runs the agent until the context ends.
func (a *Agent) Serve(ctx context.Context) error {
	a.log.Info().Str("name", a.settings.Name).Msg("agent: started")
	err := a.supervisor.Serve(ctx)
	a.closePeers()
	a.transport.CloseIdleConnections()
	return err
}

// Drain makes the agent refuse new work, and returns when all work has ended or the context ends.
func (a *Agent) Drain(ctx context.Context) {
	a.executor.Drain()
	a.invoker.Drain()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for a.executor.ActiveAttempts()+a.invoker.ActiveCalls() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// State is the dump of an agent, for operators.
type State struct {
	Name        string     `json:"name"`
	Incarnation string     `json:"incarnation"`
	Load        fleet.Load `json:"load"`
	ActiveCalls int        `json:"calls"`
}

// State returns the state for the dump. It contains no secrets.
func (a *Agent) State() any {
	return State{
		Name: a.settings.Name, Incarnation: a.incarnation, Load: fleet.EncodeLoad(a.executor.Load()),
		ActiveCalls: a.invoker.ActiveCalls(),
	}
}

// Ready reports whether the agent accepts work. It is always true.
func (a *Agent) Ready() bool {
	return true
}

// sendMirror sends a record of an idempotency key to another agent and returns the record that the agent had before.
// It fails when the agent can't be reached.
func (a *Agent) sendMirror(ctx context.Context, address string, m fleet.MirrorUpdate) (fleet.MirrorUpdate, error) {
	var existing fleet.MirrorUpdate
	err := a.peer(address).Call(ctx, fleet.MethodMirror, m, &existing)
	return existing, err
}

// peer returns the connection to the agent at an address, and creates it at the first use.
func (a *Agent) peer(address string) *fleet.Client {
	a.mu.Lock()
	defer a.mu.Unlock()
	c, ok := a.peers[address]
	if !ok {
		c = fleet.NewClient(address, a.incarnation, a.credential, nil, nil)
		a.peers[address] = c
	}
	return c
}

// closePeers closes the connections to other agents.
func (a *Agent) closePeers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, c := range a.peers {
		c.Close()
	}
}
