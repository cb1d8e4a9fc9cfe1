// Package gossiper exchanges lists, shares and crash records with the other gateways.
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
	"github.com/pistachiovane/pistachiovane/pkg/credential"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/platform"
)

const (
	// roundInterval is the time between two rounds. Each round asks one gateway, whatever their number: news reaches
	// all in about log2 of it rounds, and the traffic of a gateway does not grow with the fleet.
	roundInterval = 500 * time.Millisecond
	// roundJitter bounds how far a round is moved at random, so that the gateways do not ask in step.
	roundJitter = 100 * time.Millisecond
	// exchangeTimeout bounds one exchange.
	exchangeTimeout = time.Second
	// debitTimeout bounds one debit.
	debitTimeout = 100 * time.Millisecond
)

// Gossiper talks to the other gateways.
type Gossiper struct {
	self        string
	incarnation string
	credential  *credential.Credential
	admitter    *admitter.Admitter
	configurer  *configurer.Configurer
	coordinator *coordinator.Coordinator

	mu    sync.Mutex
	peers map[string]peer
	// firstRoundDone is closed once every listed gateway was asked after the first VM list.
	firstRoundDone chan struct{}
	rounds         int
	// pulling is set while newer lists are being asked for.
	pulling atomic.Bool
	wg      sync.WaitGroup
}

type peer struct {
	address string
	client  *fleet.Client
}

// New returns a gossiper that knows no other gateway.
func New(self, incarnation string, c *credential.Credential, a *admitter.Admitter, conf *configurer.Configurer,
	coord *coordinator.Coordinator,
) *Gossiper {
	return &Gossiper{
		self: self, incarnation: incarnation, credential: c, admitter: a, configurer: conf, coordinator: coord,
		peers: make(map[string]peer), firstRoundDone: make(chan struct{}),
	}
}

// UpdatePeers sets the gateways to talk to.
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

// FirstRoundDone is closed once every listed gateway was asked for its lists.
func (g *Gossiper) FirstRoundDone() <-chan struct{} {
	return g.firstRoundDone
}

// Serve exchanges state with other gateways until the context ends.
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

// Handle serves the messages of other gateways. It fails on params that do not decode and on unknown methods.
func (g *Gossiper) Handle(p *fleet.Peer, method string, params json.RawMessage) (any, error) {
	switch method {
	case fleet.MethodGossip:
		return fleet.Handle(params, func(m fleet.Gossip) any { return g.handleGossip(p, m) })
	case fleet.MethodDebit:
		return fleet.Handle(params, func(d fleet.Debit) any { return g.admitter.HandleDebit(d) })
	case fleet.MethodSettle:
		return fleet.Handle(params, func(s fleet.Settle) any { g.admitter.HandleSettle(s); return nil })
	default:
		return nil, errors.Errorf("unknown method %q", method)
	}
}

// Debit asks another gateway to charge its share. It fails when that can't be reached in time.
func (g *Gossiper) Debit(ctx context.Context, name string, d fleet.Debit) (fleet.DebitAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, debitTimeout)
	defer cancel()
	var a fleet.DebitAnswer
	p, ok := g.peer(name)
	if !ok {
		return a, errors.Wrapf(fleet.ErrNotSent, "gateway %s is not listed", name)
	}
	err := p.client.Call(ctx, fleet.MethodDebit, d, &a)
	return a, err
}

// Settle returns the unused part of a debit; what can't be delivered is lost to the account, never doubled.
func (g *Gossiper) Settle(name string, s fleet.Settle) {
	if p, ok := g.peer(name); ok {
		_ = p.client.Notify(context.Background(), fleet.MethodSettle, s)
	}
}

func (g *Gossiper) peer(name string) (peer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	p, ok := g.peers[name]
	return p, ok
}

// choosePeers chooses whom to ask: one gateway at random, and all that must answer before the share may grow.
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

// runRound asks the partners at once.
func (g *Gossiper) runRound(ctx context.Context) {
	peers := g.choosePeers()
	viewKnown := len(g.admitter.State().Members) > 0
	var round sync.WaitGroup
	for name, p := range peers {
		round.Go(func() { g.exchange(ctx, name, p) })
	}
	g.wg.Go(func() {
		round.Wait()
		if viewKnown {
			g.finishRound()
		}
	})
}

func (g *Gossiper) finishRound() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rounds++
	if g.rounds == 1 {
		close(g.firstRoundDone)
	}
}

func (g *Gossiper) exchange(ctx context.Context, name string, p peer) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	request := g.newMessage()
	request.Share = fleet.ShareFrom(g.admitter.ShareQuery())
	var answer fleet.Gossip
	if err := p.client.Call(ctx, fleet.MethodGossip, request, &answer); err != nil {
		return
	}
	g.applyGossip(answer)
	g.admitter.HandleShareMessage(answer.Share.Message(name))
}

func (g *Gossiper) handleGossip(p *fleet.Peer, m fleet.Gossip) fleet.Gossip {
	g.applyGossip(m)
	reply := g.newMessage()
	if m.Plans > reply.Plans || m.Uses > reply.Uses || m.VMs > reply.VMs {
		g.pullLists(p.Name)
	}
	reply.Lists = g.configurer.ListsNewerThan(m.Plans, m.Uses, m.VMs)
	if share, ok := g.admitter.HandleShareMessage(m.Share.Message(p.Name)); ok {
		reply.Share = fleet.ShareFrom(share)
	}
	return reply
}

// pullLists asks a gateway that holds newer lists, without waiting for the next round.
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

func (g *Gossiper) applyGossip(m fleet.Gossip) {
	g.configurer.ReceiveLists(m.Lists)
	g.coordinator.MergeCrashRecords(fleet.LocalBlames(m.Blames))
}

func (g *Gossiper) newMessage() fleet.Gossip {
	m := fleet.Gossip{Blames: fleet.BlamesFrom(g.coordinator.CrashRecords())}
	m.Plans, m.Uses, m.VMs = g.configurer.Versions()
	return m
}

func (g *Gossiper) closeClients() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, p := range g.peers {
		p.client.Close()
	}
}
