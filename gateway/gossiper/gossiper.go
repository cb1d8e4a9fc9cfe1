// Package gossiper exchanges lists, messages about shares and crash records with the peers of a gateway, and sends
// debits and settlements to them.
package gossiper

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/gateway/admitter"
	"github.com/pistachiovane/pistachiovane/gateway/configurer"
	"github.com/pistachiovane/pistachiovane/gateway/coordinator"
	"github.com/pistachiovane/pistachiovane/internal/limits/crashencoder"
	"github.com/pistachiovane/pistachiovane/pkg/credential"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/platform"
)

const (
	// roundInterval is the average time between two rounds. A gateway with its full share calls one peer in each
	// round, whatever their number: a new list reaches all gateways in about log2 of that number of rounds, and the
	// traffic of a gateway does not grow with the fleet.
	roundInterval = 500 * time.Millisecond
	// roundJitter is the largest random change of the time between two rounds, so that the gateways do not all call at
	// the same time.
	roundJitter = 100 * time.Millisecond
	// exchangeTimeout is the longest wait for the answer to a gossip message.
	exchangeTimeout = time.Second
	// debitTimeout is the longest wait for the answer to a debit.
	debitTimeout = 100 * time.Millisecond
)

// Gossiper holds the connections to the peers of a gateway. It is safe for concurrent use.
type Gossiper struct {
	// self is the name of this gateway.
	self        string
	incarnation string
	credential  *credential.Credential
	admitter    *admitter.Admitter
	configurer  *configurer.Configurer
	coordinator *coordinator.Coordinator

	// mu guards peers and rounds.
	mu sync.Mutex
	// peers holds the listed peers by name.
	peers map[string]peer
	// firstRoundDone is closed when the first round after the first VM list is complete.
	firstRoundDone chan struct{}
	// rounds counts the completed rounds since the first VM list.
	rounds int
	// pulling is set while an exchange outside the rounds is in progress.
	pulling atomic.Bool
	// wg counts the exchanges in progress.
	wg sync.WaitGroup
}

// peer is the connection to another gateway.
type peer struct {
	address string
	client  *fleet.Client
}

// New returns a gossiper without peers. self is the name of this gateway, incarnation is the ID of this run of its
// process.
func New(self, incarnation string, c *credential.Credential, a *admitter.Admitter, conf *configurer.Configurer,
	coord *coordinator.Coordinator,
) *Gossiper {
	return &Gossiper{
		self: self, incarnation: incarnation, credential: c, admitter: a, configurer: conf, coordinator: coord,
		peers: make(map[string]peer), firstRoundDone: make(chan struct{}),
	}
}

// UpdatePeers sets the peers to the gateways in a VM list, except this one. It closes the connections to gateways that
// are no longer listed or have a new address.
func (g *Gossiper) UpdatePeers(vms []platform.VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := make(map[string]bool)
	for _, v := range vms {
		if v.Kind != platform.KindGateway || v.ID == g.self {
			continue
		}
		listed[v.ID] = true
		if old, ok := g.peers[v.ID]; ok {
			if old.address == v.Address {
				continue
			}
			go old.client.Close()
		}
		g.peers[v.ID] = peer{address: v.Address, client: fleet.NewClient(v.Address, g.incarnation, g.credential, nil, nil)}
	}
	for id, p := range g.peers {
		if !listed[id] {
			delete(g.peers, id)
			go p.client.Close()
		}
	}
}

// FirstRoundDone returns a channel that is closed once every listed peer was called for its lists, whether it answered
// or not.
func (g *Gossiper) FirstRoundDone() <-chan struct{} {
	return g.firstRoundDone
}

// Serve runs rounds until the context ends. It then waits for the exchanges in progress, closes the connections and
// returns the context's error.
func (g *Gossiper) Serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			g.wg.Wait()
			g.closeClients()
			return ctx.Err()
		case <-timer.C:
			g.runRound(ctx)
			timer.Reset(roundInterval - roundJitter + rand.N(2*roundJitter))
		}
	}
}

// Handle answers a message of a peer. It fails on parameters that can't be decoded and on unknown methods.
func (g *Gossiper) Handle(p *fleet.Peer, method string, params json.RawMessage) (any, error) {
	switch method {
	case fleet.MethodGossip:
		return fleet.DecodeAndServe(params, func(m fleet.GossipMessage) any { return g.handleGossip(p, m) })
	case fleet.MethodDebit:
		return fleet.DecodeAndServe(params, func(d fleet.DebitRequest) any { return g.admitter.HandleDebit(d) })
	case fleet.MethodSettle:
		return fleet.DecodeAndServe(params, func(s fleet.SettleRequest) any { g.admitter.HandleSettle(s); return nil })
	default:
		return nil, errors.Errorf("unknown method %q", method)
	}
}

// Debit asks a peer to charge tokens to its share. It fails where no answer arrives within debitTimeout, and with
// fleet.ErrNotSent where the peer is not listed or can't be reached.
func (g *Gossiper) Debit(ctx context.Context, name string, d fleet.DebitRequest) (fleet.DebitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, debitTimeout)
	defer cancel()
	var a fleet.DebitResponse
	p, ok := g.peer(name)
	if !ok {
		return a, errors.Wrapf(fleet.ErrNotSent, "gateway %s is not listed", name)
	}
	err := p.client.Call(ctx, fleet.MethodDebit, d, &a)
	return a, err
}

// Settle returns the unused tokens of a debit to a peer. It sends the message once: where that is lost, the account
// loses the tokens, but they can never be refunded twice.
func (g *Gossiper) Settle(name string, s fleet.SettleRequest) {
	if p, ok := g.peer(name); ok {
		_ = p.client.Notify(context.Background(), fleet.MethodSettle, s)
	}
}

// peer returns the connection to a listed peer.
func (g *Gossiper) peer(name string) (peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[name]
	return p, ok
}

// choosePeers returns the peers to call in a round: all that must reply before the share may grow, or else one at
// random.
func (g *Gossiper) choosePeers() map[string]peer {
	unanswered := g.admitter.UnansweredPeers()
	g.mu.Lock()
	defer g.mu.Unlock()
	out := make(map[string]peer)
	for _, name := range unanswered {
		if p, ok := g.peers[name]; ok {
			out[name] = p
		}
	}
	if len(out) > 0 || len(g.peers) == 0 {
		return out
	}
	skip := rand.IntN(len(g.peers))
	for name, p := range g.peers {
		if skip == 0 {
			out[name] = p
			break
		}
		skip--
	}
	return out
}

// runRound starts the exchanges of a round with all chosen peers at once and does not wait for them.
func (g *Gossiper) runRound(ctx context.Context) {
	peers := g.choosePeers()
	viewKnown := len(g.admitter.State().Members) > 0
	var exchanges sync.WaitGroup
	for name, p := range peers {
		exchanges.Go(func() { g.exchange(ctx, name, p) })
	}
	g.wg.Go(func() {
		exchanges.Wait()
		if viewKnown {
			g.finishRound()
		}
	})
}

// finishRound counts a completed round and closes firstRoundDone after the first one.
func (g *Gossiper) finishRound() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds++
	if g.rounds == 1 {
		close(g.firstRoundDone)
	}
}

// exchange sends a gossip message with a share query to a peer and applies the answer. A call that fails is repeated
// by a later round.
func (g *Gossiper) exchange(ctx context.Context, name string, p peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := g.newMessage()
	request.Share = fleet.EncodeShareMessage(g.admitter.ShareQuery())
	var answer fleet.GossipMessage
	if err := p.client.Call(ctx, fleet.MethodGossip, request, &answer); err != nil {
		return
	}
	g.applyGossip(answer)
	g.admitter.HandleShareMessage(answer.Share.Decode(name))
}

// handleGossip applies a peer's gossip message and returns the answer: the lists that are newer here, and the reply to
// its share query. Where the peer has newer lists, it starts an exchange with it.
func (g *Gossiper) handleGossip(p *fleet.Peer, m fleet.GossipMessage) fleet.GossipMessage {
	g.applyGossip(m)
	reply := g.newMessage()
	if m.PlansVersion > reply.PlansVersion || m.UsesVersion > reply.UsesVersion || m.VMsVersion > reply.VMsVersion {
		g.pullLists(p.Name)
	}
	reply.Lists = g.configurer.ListsNewerThan(m.PlansVersion, m.UsesVersion, m.VMsVersion)
	if share, ok := g.admitter.HandleShareMessage(m.Share.Decode(p.Name)); ok {
		reply.Share = fleet.EncodeShareMessage(share)
	}
	return reply
}

// pullLists starts an exchange with a peer that has newer lists, without waiting for the next round. It does nothing
// while such an exchange is in progress.
func (g *Gossiper) pullLists(name string) {
	p, ok := g.peer(name)
	if !ok || !g.pulling.CompareAndSwap(false, true) {
		return
	}
	g.wg.Go(func() {
		defer g.pulling.Store(false)
		g.exchange(context.Background(), name, p)
	})
}

// applyGossip applies the lists and what the peer knows of crashes.
func (g *Gossiper) applyGossip(m fleet.GossipMessage) {
	g.configurer.ReceiveLists(m.Lists)
	g.coordinator.MergeCrashRecords(fleet.DecodeCrashRecords(m.CrashRecords))
	g.coordinator.MergePartReports(m.Parts.Decode(0))
}

// newMessage returns a gossip message with the versions of the lists and some of what this gateway knows of crashes.
func (g *Gossiper) newMessage() fleet.GossipMessage {
	m := fleet.GossipMessage{
		CrashRecords: fleet.EncodeCrashRecords(g.coordinator.NextCrashRecords()),
		Parts:        crashencoder.Encode(g.coordinator.NextPartReports()),
	}
	m.PlansVersion, m.UsesVersion, m.VMsVersion = g.configurer.Versions()
	return m
}

// closeClients closes the connections to all peers.
func (g *Gossiper) closeClients() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		p.client.Close()
	}
}
