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
	// busySendInterval is the pause between two messages to the same gateway in a small fleet.
	busySendInterval = 100 * time.Millisecond
	// idleSendInterval is the same while this gateway has no work.
	idleSendInterval = 250 * time.Millisecond
	// sendIntervalPerGateway slows the pace down in a large fleet, so that a gateway's messages a second stay bounded.
	sendIntervalPerGateway = 4 * time.Millisecond
	// seedSendInterval is the pause between two messages to a seed that is not known as a gateway.
	seedSendInterval = 500 * time.Millisecond
	// peerTimeout is the silence after which a gateway is dropped.
	peerTimeout = 20 * time.Second
	// maxPeerAddresses bounds the addresses named in a message.
	maxPeerAddresses = 32
	// messagesPerPeerAddresses is how often addresses are named, in messages; while gateways were found lately, all messages name them.
	messagesPerPeerAddresses = 16
	discoveryPeriod          = 3 * time.Second
	// maxAnnounceGateways is the largest fleet, in gateways, in which single changes are told at once: their number grows with
	// the fleet's requests times its gateways.
	maxAnnounceGateways = 64
)

// State is the process whose state is exchanged.
type State interface {
	// Compose returns what to tell another gateway; levels asks for the levels of the accounts. busy tells whether
	// the process has work.
	Compose(withAvailableTokens bool) (m Message, busy bool)
	// Receive takes in the state of another gateway.
	Receive(m Message)
	// RemovePeer tells that a gateway was not heard from for so long that it is taken for gone.
	RemovePeer(address string)
}

// peer is another gateway.
type peer struct {
	address        netip.AddrPort
	incarnation    uint64
	sequence       uint64
	lastReceivedAt time.Duration
	// needsAvailableTokens is set while the peer asks for levels.
	needsAvailableTokens bool
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

	mu             sync.Mutex
	peers          map[string]*peer
	sequence       uint64
	lastSeedSendAt time.Duration
	// lastPeerFoundAt is when a gateway was found last.
	lastPeerFoundAt time.Duration
	// bytesSent counts what was sent.
	bytesSent uint64
}

// New returns a broadcaster on an open socket that the others reach at the address self.
func New(conn *net.UDPConn, self string, seeds []netip.AddrPort, c clock.Clock, s State, l *log.Logger) *Broadcaster {
	return &Broadcaster{
		conn: conn, self: self, incarnation: rand.Uint64() | 1, seeds: seeds, clock: c, state: s, log: l,
		peers: map[string]*peer{}, lastSeedSendAt: -seedSendInterval, lastPeerFoundAt: c(),
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
func (b *Broadcaster) LeaderStatus(maxAge time.Duration) (leader bool, recent, known int) {
	rank, recent := b.Rank(maxAge)
	b.mu.Lock()
	defer b.mu.Unlock()
	settled := b.clock()-b.lastPeerFoundAt > discoveryPeriod
	return settled && rank == 0, recent, len(b.peers) + 1
}

// Rank returns the place of this gateway among those heard from lately, by address, and how many those are.
func (b *Broadcaster) Rank(maxAge time.Duration) (rank, recent int) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	recent = 1
	for name, p := range b.peers {
		if now-p.lastReceivedAt > maxAge {
			continue
		}
		recent++
		if name < b.self {
			rank++
		}
	}
	return rank, recent
}

// BytesSent returns the bytes sent so far.
func (b *Broadcaster) BytesSent() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytesSent
}

// Serve exchanges state until the context ends.
func (b *Broadcaster) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = b.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		b.receiveLoop(ctx)
	}()
	b.sendLoop(ctx)
	<-done
	return ctx.Err()
}

func (b *Broadcaster) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		busy := b.sendState()
		interval := busySendInterval
		if !busy {
			interval = idleSendInterval
		}
		interval = max(interval, time.Duration(b.GatewayCount())*sendIntervalPerGateway)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// sendState tells every known gateway the state, and now and then the seeds that are not known.
func (b *Broadcaster) sendState() (busy bool) {
	now := b.clock()
	regular, needTokens, seeds := b.targets(now)
	m, busy := b.state.Compose(false)
	b.send(m, append(regular, seeds...))
	if len(needTokens) > 0 {
		m, _ := b.state.Compose(true)
		b.send(m, needTokens)
	}
	return busy
}

// Announce tells all gateways at once what this one now has on some endpoints.
func (b *Broadcaster) Announce(loads []Load) {
	if b.GatewayCount() > maxAnnounceGateways {
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

func (b *Broadcaster) targets(now time.Duration) (regular, needTokens, seeds []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		switch {
		case now-p.lastReceivedAt > peerTimeout:
			delete(b.peers, name)
			b.log.Info().Str("gateway", name).Int64("silent_ms", (now - p.lastReceivedAt).Milliseconds()).Msg("gossip: gateway dropped")
			go b.state.RemovePeer(name)
		case p.needsAvailableTokens:
			needTokens = append(needTokens, p.address)
		default:
			regular = append(regular, p.address)
		}
	}
	if now-b.lastSeedSendAt < seedSendInterval {
		return regular, needTokens, nil
	}
	b.lastSeedSendAt = now
	for _, s := range b.seeds {
		if _, ok := b.peers[s.String()]; !ok && s.String() != b.self {
			seeds = append(seeds, s)
		}
	}
	return regular, needTokens, seeds
}

func (b *Broadcaster) send(m Message, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b.mu.Lock()
	b.sequence++
	m.From, m.Incarnation, m.Sequence = b.self, b.incarnation, b.sequence
	if b.sequence%messagesPerPeerAddresses == 1 && !m.LoadsOnly || b.clock()-b.lastPeerFoundAt < discoveryPeriod {
		m.PeerAddresses = b.somePeerAddresses()
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
			b.bytesSent += uint64(n)
			b.mu.Unlock()
		}
	}
}

// somePeerAddresses names a few gateways in turn, so that all find each other. The lock must be held.
func (b *Broadcaster) somePeerAddresses() []string {
	addresses := make([]string, 0, len(b.peers))
	for name := range b.peers {
		addresses = append(addresses, name)
	}
	sort.Strings(addresses)
	if len(addresses) <= maxPeerAddresses {
		return addresses
	}
	first := int(b.sequence) % len(addresses)
	out := make([]string, 0, maxPeerAddresses)
	for i := range maxPeerAddresses {
		out = append(out, addresses[(first+i)%len(addresses)])
	}
	return out
}

func (b *Broadcaster) receiveLoop(ctx context.Context) {
	buffer := make([]byte, maxMessageBytes)
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
		if b.recordSender(m) {
			b.state.Receive(m)
		}
	}
}

// recordSender notes the sender; false means that the message is older than one that came before.
func (b *Broadcaster) recordSender(m Message) bool {
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
		b.lastPeerFoundAt = b.clock()
		b.log.Info().Str("gateway", m.From).Uint64("incarnation", m.Incarnation).Msg("gossip: gateway found")
	}
	if p.incarnation == m.Incarnation && m.Sequence <= p.sequence {
		return false
	}
	p.incarnation, p.sequence, p.lastReceivedAt = m.Incarnation, m.Sequence, b.clock()
	if m.LoadsOnly {
		return true
	}
	p.needsAvailableTokens = m.NeedsAvailableTokens
	for _, peerAddress := range m.PeerAddresses {
		if _, ok := b.peers[peerAddress]; ok || peerAddress == b.self {
			continue
		}
		if a, err := netip.ParseAddrPort(peerAddress); err == nil {
			b.peers[peerAddress] = &peer{address: a, lastReceivedAt: b.clock() - peerTimeout/2}
			b.lastPeerFoundAt = b.clock()
		}
	}
	return true
}
