package broadcaster

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/fleet/dater"
)

// receiveLoop passes the messages of the peers to the state. It skips errors of the socket other than its closing, and
// logs and drops messages that cannot be decoded.
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
		d, err := decode(buffer[:n])
		if err != nil {
			b.log.Warn().Err(err).Msg("gossip: message not understood")
			continue
		}
		b.handle(d)
	}
}

// handle applies what a peer has sent.
func (b *Broadcaster) handle(d packet) {
	switch {
	case d.question != nil:
		b.answerQuestion(*d.question)
	case d.answer != nil:
		b.recordAnswer(*d.answer)
	case b.recordSender(d.message):
		b.state.Receive(*d.message)
		b.askDue(d.message.From)
	}
}

// recordSender records the sender of a message as a peer, sets the age of the message, and adds the peers that it names. It returns
// false if the message must be ignored: it is not newer than the latest one of that sender, its sender address is invalid, or it
// comes from this gateway.
func (b *Broadcaster) recordSender(m *Message) bool {
	address, err := netip.ParseAddrPort(m.From)
	if err != nil || m.From == b.self {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[m.From]
	if !ok {
		p = newPeer(address, 0)
		b.peers[m.From] = p
		b.lastPeerFoundAt = b.clock()
		b.log.Info().Str("gateway", m.From).Uint64("incarnation", m.Incarnation).Msg("gossip: gateway found")
	}
	if p.incarnation == m.Incarnation && m.Sequence <= p.sequence {
		return false
	}
	now := b.clock()
	if p.incarnation != m.Incarnation {
		p.dater, p.undated = dater.New(), nil
	}
	p.incarnation, p.sequence, p.lastReceivedAt = m.Incarnation, m.Sequence, now
	p.date(m, now)
	if m.LoadsOnly {
		return true
	}
	p.undated = nil
	if !m.AgeKnown {
		undated := *m
		p.undated = &undated
	}
	p.needsAvailableTokens, p.stopping = m.NeedsAvailableTokens, m.Stopping
	if m.Domain != "" {
		p.domain = m.Domain
	}
	for _, peerAddress := range m.PeerAddresses {
		if _, ok := b.peers[peerAddress]; ok || peerAddress == b.self {
			continue
		}
		// A named peer that never answers is removed after half the timeout.
		if a, err := netip.ParseAddrPort(peerAddress); err == nil {
			b.peers[peerAddress] = newPeer(a, now-peerTimeout/2)
			b.lastPeerFoundAt = b.clock()
		}
	}
	return true
}
