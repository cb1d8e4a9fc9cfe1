// Package broadcaster tells the other gateways what this one knows, several times a second. Each message holds the
// whole state in totals, so a lost one is made good by the next, and no answer is needed.
package broadcaster

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

const (
	// fastest is the pause between two messages to the same gateway in a small fleet.
	fastest = 100 * time.Millisecond
	// idlest is the same while this gateway has no work.
	idlest = 250 * time.Millisecond
	// perGateway slows the pace down in a large fleet, so that a gateway's messages a second stay bounded.
	perGateway = 4 * time.Millisecond
	// seedEvery is the pause between two messages to a seed that is not known as a gateway.
	seedEvery = 500 * time.Millisecond
	// forget is the silence after which a gateway is dropped.
	forget = 20 * time.Second
	// knownMost bounds the addresses named in a message.
	knownMost = 32
	// knownEvery is how often addresses are named, in messages; while gateways were found lately, all messages name them.
	knownEvery  = 16
	foundLately = 3 * time.Second
	// announceMost is the largest fleet, in gateways, in which single changes are told at once: their number grows with
	// the fleet's requests times its gateways.
	announceMost = 64
)

// State is the process whose state is exchanged.
type State interface {
	// Compose returns what to tell another gateway; levels asks for the levels of the accounts. busy tells whether
	// the process has work.
	Compose(levels bool) (m Message, busy bool)
	// Receive takes in the state of another gateway.
	Receive(m Message)
	// RemovePeer tells that a gateway was not heard from for so long that it is taken for gone.
	RemovePeer(gateway string)
}

// peer is another gateway.
type peer struct {
	address     netip.AddrPort
	incarnation uint64
	sequence    uint64
	heard       time.Duration
	// young is set while the peer asks for levels.
	young bool
}

// Broadcaster exchanges the state of one process.
type Broadcaster struct {
	conn        *net.UDPConn
	self        string
	incarnation uint64
	seeds       []netip.AddrPort
	clock       clock.Clock
	state       State
	log         *log.Logger

	mu       sync.Mutex
	peers    map[string]*peer
	sequence uint64
	seededAt time.Duration
	// foundAt is when a gateway was found last.
	foundAt time.Duration
	// bytes counts what was sent.
	bytes uint64
}

// New returns a broadcaster on an open socket that the others reach at the address self.
func New(conn *net.UDPConn, self string, seeds []netip.AddrPort, c clock.Clock, s State, l *log.Logger) *Broadcaster {
	return &Broadcaster{
		conn: conn, self: self, incarnation: rand.Uint64() | 1, seeds: seeds, clock: c, state: s, log: l,
		peers: map[string]*peer{}, seededAt: -seedEvery, foundAt: c(),
	}
}

// GatewayCount returns how many gateways are known, this one included.
func (b *Broadcaster) GatewayCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.peers) + 1
}

// LeaderStatus tells whether this gateway has the first address of those heard from lately, how many those are, and how many
// gateways are known, this one included in both. While gateways were found lately, none is the first: each may know others.
func (b *Broadcaster) LeaderStatus(lately time.Duration) (first bool, heard, known int) {
	place, heard := b.Rank(lately)
	b.mu.Lock()
	defer b.mu.Unlock()
	settled := b.clock()-b.foundAt > foundLately
	return settled && place == 0, heard, len(b.peers) + 1
}

// Rank returns the place of this gateway among those heard from lately, by address, and how many those are.
func (b *Broadcaster) Rank(lately time.Duration) (place, heard int) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	heard = 1
	for name, p := range b.peers {
		if now-p.heard > lately {
			continue
		}
		heard++
		if name < b.self {
			place++
		}
	}
	return place, heard
}

// BytesSent returns the bytes sent so far.
func (b *Broadcaster) BytesSent() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytes
}

// Serve exchanges state until the context ends.
func (b *Broadcaster) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = b.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.loopReceive(ctx)
	}()
	b.loopSend(ctx)
	<-done
	return ctx.Err()
}

func (b *Broadcaster) loopSend(ctx context.Context) {
	for ctx.Err() == nil {
		busy := b.sendAll()
		pause := fastest
		if !busy {
			pause = idlest
		}
		pause = max(pause, time.Duration(b.GatewayCount())*perGateway)
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// sendAll tells every known gateway the state, and now and then the seeds that are not known.
func (b *Broadcaster) sendAll() (busy bool) {
	now := b.clock()
	plain, young, seeds := b.targets(now)
	m, busy := b.state.Compose(false)
	b.send(m, append(plain, seeds...))
	if len(young) > 0 {
		m, _ := b.state.Compose(true)
		b.send(m, young)
	}
	return busy
}

// Announce tells all gateways at once what this one now has on some endpoints.
func (b *Broadcaster) Announce(loads []Load) {
	if b.GatewayCount() > announceMost {
		return
	}
	b.mu.Lock()
	to := make([]netip.AddrPort, 0, len(b.peers))
	for _, p := range b.peers {
		to = append(to, p.address)
	}
	b.mu.Unlock()
	b.send(Message{LoadsOnly: true, Loads: loads}, to)
}

func (b *Broadcaster) targets(now time.Duration) (plain, young, seeds []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		switch {
		case now-p.heard > forget:
			delete(b.peers, name)
			b.log.Info().Str("gateway", name).Int64("silent_ms", (now - p.heard).Milliseconds()).Msg("gossip: gateway dropped")
			go b.state.RemovePeer(name)
		case p.young:
			young = append(young, p.address)
		default:
			plain = append(plain, p.address)
		}
	}
	if now-b.seededAt < seedEvery {
		return plain, young, nil
	}
	b.seededAt = now
	for _, s := range b.seeds {
		if _, ok := b.peers[s.String()]; !ok && s.String() != b.self {
			seeds = append(seeds, s)
		}
	}
	return plain, young, seeds
}

func (b *Broadcaster) send(m Message, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b.mu.Lock()
	b.sequence++
	m.From, m.Incarnation, m.Sequence = b.self, b.incarnation, b.sequence
	if b.sequence%knownEvery == 1 && !m.LoadsOnly || b.clock()-b.foundAt < foundLately {
		m.PeerAddresses = b.some()
	}
	b.mu.Unlock()
	datagram, err := m.encode()
	if err != nil {
		b.log.Error().Err(err).Msg("gossip: state not sent")
		return
	}
	for _, a := range to {
		// A datagram that can't be sent is like one that is lost: the next one makes it good.
		if n, err := b.conn.WriteToUDPAddrPort(datagram, a); err == nil {
			b.mu.Lock()
			b.bytes += uint64(n)
			b.mu.Unlock()
		}
	}
}

// some names a few gateways in turn, so that all find each other. The lock must be held.
func (b *Broadcaster) some() []string {
	names := make([]string, 0, len(b.peers))
	for name := range b.peers {
		names = append(names, name)
	}
	sort.Strings(names)
	if len(names) <= knownMost {
		return names
	}
	first := int(b.sequence) % len(names)
	out := make([]string, 0, knownMost)
	for i := range knownMost {
		out = append(out, names[(first+i)%len(names)])
	}
	return out
}

func (b *Broadcaster) loopReceive(ctx context.Context) {
	buffer := make([]byte, messageMost)
	for ctx.Err() == nil {
		n, _, err := b.conn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		m, err := decode(buffer[:n])
		if err != nil {
			b.log.Warn().Err(err).Msg("gossip: message not understood")
			continue
		}
		if b.accept(m) {
			b.state.Receive(m)
		}
	}
}

// accept notes the sender; false means that the message is older than one that came before.
func (b *Broadcaster) accept(m Message) bool {
	address, err := netip.ParseAddrPort(m.From)
	if err != nil || m.From == b.self {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[m.From]
	if !ok {
		p = &peer{address: address}
		b.peers[m.From] = p
		b.foundAt = b.clock()
		b.log.Info().Str("gateway", m.From).Uint64("incarnation", m.Incarnation).Msg("gossip: gateway found")
	}
	if p.incarnation == m.Incarnation && m.Sequence <= p.sequence {
		return false
	}
	p.incarnation, p.sequence, p.heard = m.Incarnation, m.Sequence, b.clock()
	if m.LoadsOnly {
		return true
	}
	p.young = m.NeedsAvailableTokens
	for _, k := range m.PeerAddresses {
		if _, ok := b.peers[k]; ok || k == b.self {
			continue
		}
		if a, err := netip.ParseAddrPort(k); err == nil {
			b.peers[k] = &peer{address: a, heard: b.clock() - forget/2}
			b.foundAt = b.clock()
		}
	}
	return true
}
