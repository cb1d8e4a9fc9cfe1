// Package broadcaster sends this gateway's state to the other gateways, its peers, over UDP several times a second, and
// receives theirs. A message holds the whole state with cumulative totals, so the next message makes up for a lost one
// and no acknowledgements are needed. How old a message is when it is read follows from the peer's clock, for which the
// gateway asks now and then.
package broadcaster

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sort"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

const (
	// busySendInterval is the time between two messages to the same peer in a small fleet while this gateway has
	// requests in progress.
	busySendInterval = 100 * time.Millisecond
	// idleSendInterval is the same while this gateway has no requests in progress.
	idleSendInterval = 250 * time.Millisecond
	// sendIntervalPerGateway times the number of gateways is the shortest interval, so that the messages that a gateway
	// sends in a second stay bounded in a large fleet.
	sendIntervalPerGateway = 4 * time.Millisecond
	// seedSendInterval is the time between two messages to a seed address that is not known as a peer.
	seedSendInterval = 500 * time.Millisecond
	// peerTimeout is the time without a message after which a peer is removed.
	peerTimeout = 20 * time.Second
	// maxPeerAddresses bounds the peer addresses in a message.
	maxPeerAddresses = 32
	// messagesPerAddressList is the number of messages of which one lists peer addresses. For discoveryPeriod after a
	// peer was found, all messages list them.
	messagesPerAddressList = 16
	discoveryPeriod        = 3 * time.Second
	// maxUnanswered is the number of questions for its time that a peer leaves unanswered if its build does not know them.
	maxUnanswered = 4
	// maxAnnounceGateways is the largest number of gateways with which single changes of load are sent at once. The
	// number of such messages grows with the requests of the fleet times its gateways.
	maxAnnounceGateways = 64
)

// State provides the state that this gateway sends and applies the state received from peers. Its methods are called
// from the goroutines of the Broadcaster and must be safe for concurrent use.
type State interface {
	// Compose returns the message to send. If includeAvailableTokens is set, the message contains the available tokens
	// of the accounts. busy is true if this gateway has requests in progress.
	Compose(includeAvailableTokens bool) (m Message, busy bool)
	// Receive applies a message from a peer.
	Receive(m Message)
	// RemovePeer removes the peer with that address, from which no message has been received for peerTimeout.
	RemovePeer(address string)
}

// neverAlive is the time at which a peer ran of which no message could be dated yet.
const neverAlive = math.MinInt64 / 2

// Broadcaster sends the state of one gateway to its peers and receives theirs. It is safe for concurrent use; mu
// protects the fields below it.
type Broadcaster struct {
	conn *net.UDPConn
	// self is the address under which the peers reach this gateway, as host:port.
	self string
	// domain is the failure domain of this gateway.
	domain      string
	incarnation uint64
	seeds       []netip.AddrPort
	clock       clock.Clock
	state       State
	log         *log.Logger

	mu sync.Mutex
	// peers holds the known peers by address, as host:port.
	peers map[string]*peer
	// sequence is the sequence number of the latest message sent.
	sequence       uint64
	lastSeedSendAt time.Duration
	// lastPeerFoundAt is the time at which a new peer address was last learned.
	lastPeerFoundAt time.Duration
	// bytesSent counts the bytes of all datagrams sent.
	bytesSent uint64
}

// New returns a Broadcaster on an open socket. self is the address of that socket as the peers see it, domain the failure domain
// of this gateway, and seeds are the addresses of the gateways to contact first.
func New(
	conn *net.UDPConn, self, domain string, seeds []netip.AddrPort, c clock.Clock, s State, l *log.Logger,
) *Broadcaster {
	return &Broadcaster{
		conn: conn, self: self, domain: domain, incarnation: rand.Uint64() | 1, seeds: seeds, clock: c, state: s, log: l,
		peers: map[string]*peer{}, lastSeedSendAt: -seedSendInterval, lastPeerFoundAt: c(),
	}
}

// GatewayCount returns the number of known gateways, this one included.
func (b *Broadcaster) GatewayCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.peers) + 1
}

// LeaderStatus returns whether this gateway has the lowest address of all gateways that certainly ran within maxAge, the number
// of those gateways, and the number of known gateways. Both numbers include this gateway.
// There is no leader for discoveryPeriod after a peer was found, because until then the gateways may know different
// peers.
func (b *Broadcaster) LeaderStatus(maxAge time.Duration) (leader bool, recent, known int) {
	rank, recent := b.Rank(maxAge)
	b.mu.Lock()
	defer b.mu.Unlock()
	settled := b.clock()-b.lastPeerFoundAt > discoveryPeriod
	return settled && rank == 0, recent, len(b.peers) + 1
}

// Rank returns the position of this gateway, from 0, in the order of addresses of the gateways that certainly ran within maxAge,
// and the number of those gateways, this one included.
func (b *Broadcaster) Rank(maxAge time.Duration) (rank, recent int) {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	recent = 1
	for name, p := range b.peers {
		if now-p.aliveAt > maxAge {
			continue
		}
		recent++
		if name < b.self {
			rank++
		}
	}
	return rank, recent
}

// HasPeerNearby reports whether another gateway of this failure domain certainly ran within maxAge that is not about to end.
func (b *Broadcaster) HasPeerNearby(maxAge time.Duration) bool {
	now := b.clock()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		if p.domain == b.domain && !p.stopping && now-p.aliveAt <= maxAge {
			return true
		}
	}
	return false
}

// BytesSent returns the number of bytes sent since the start.
func (b *Broadcaster) BytesSent() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bytesSent
}

// Serve sends and receives messages until the context ends. It returns the error of the context.
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

// sendLoop sends the state at the interval that fits the load and the size of the fleet.
func (b *Broadcaster) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		busy := b.sendState()
		interval := max(busySendInterval, time.Duration(b.GatewayCount())*sendIntervalPerGateway)
		if !busy {
			interval = b.MaxInterval()
		}
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// MaxInterval returns the longest time between two messages to the same peer.
func (b *Broadcaster) MaxInterval() time.Duration {
	return max(idleSendInterval, time.Duration(b.GatewayCount())*sendIntervalPerGateway)
}

// sendState sends the state to every known peer and, at most every seedSendInterval, to the seeds that are not known as
// peers. It returns whether this gateway has requests in progress.
func (b *Broadcaster) sendState() (busy bool) {
	now := b.clock()
	regular, needTokens, seeds := b.targets(now)
	m, busy := b.state.Compose(false)
	b.send(m, now, append(regular, seeds...))
	if len(needTokens) > 0 {
		m, _ := b.state.Compose(true)
		b.send(m, now, needTokens)
	}
	return busy
}

// Announce sends the loads of some endpoints to all peers at once, ahead of the next regular message. In a fleet of
// more than maxAnnounceGateways it does nothing.
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
	b.send(Message{LoadsOnly: true, Loads: loads}, b.clock(), to)
}

// targets removes the peers that have timed out and returns the addresses to send to: peers that need no available
// tokens, peers that need them, and the seeds that are due.
func (b *Broadcaster) targets(now time.Duration) (regular, needTokens, seeds []netip.AddrPort) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, p := range b.peers {
		switch {
		case now-p.lastReceivedAt > peerTimeout:
			delete(b.peers, name)
			b.log.Info().Str("gateway", name).Int64("silent_ms", (now - p.lastReceivedAt).Milliseconds()).
				Msg("gossip: gateway dropped")
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

// send completes a message with the sender, the time at which it was composed and the next sequence number, and sends it to
// the given addresses. A message that cannot be encoded is logged and dropped.
func (b *Broadcaster) send(m Message, composedAt time.Duration, to []netip.AddrPort) {
	if len(to) == 0 {
		return
	}
	b.mu.Lock()
	b.sequence++
	m.From, m.Incarnation, m.Sequence, m.SentAtMs = b.self, b.incarnation, b.sequence, composedAt.Milliseconds()
	if b.sequence%messagesPerAddressList == 1 && !m.LoadsOnly || b.clock()-b.lastPeerFoundAt < discoveryPeriod {
		m.PeerAddresses, m.Domain = b.somePeerAddresses(), b.domain
	}
	b.mu.Unlock()
	datagram, err := m.encode()
	if err != nil {
		b.log.Error().Err(err).Msg("gossip: state not sent")
		return
	}
	for _, a := range to {
		b.write(datagram, a)
	}
}

// sendNotification sends a notification to the gateway with an address, as host:port. One to an invalid address is dropped.
func (b *Broadcaster) sendNotification(method string, params any, to string) {
	address, err := netip.ParseAddrPort(to)
	if err != nil || to == b.self {
		return
	}
	datagram, err := encodeNotification(method, params)
	if err != nil {
		b.log.Error().Err(err).Msg("gossip: notification not sent")
		return
	}
	b.write(datagram, address)
}

// write sends a datagram. One that cannot be sent is treated like a lost one: the next message makes up for it.
func (b *Broadcaster) write(datagram []byte, to netip.AddrPort) {
	n, err := b.conn.WriteToUDPAddrPort(datagram, to)
	if err != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytesSent += uint64(n)
}

// somePeerAddresses returns up to maxPeerAddresses addresses of known peers. In a larger fleet the choice changes with
// the sequence number, so that all gateways are named in turn and find each other. The caller must hold mu.
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
