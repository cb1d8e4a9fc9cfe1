package broadcaster

import (
	"net/netip"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/fleet/dater"
)

// peer is another gateway. Its incarnation is zero until its first message is received.
type peer struct {
	address     netip.AddrPort
	incarnation uint64
	// sequence is the sequence number of its latest message.
	sequence       uint64
	lastReceivedAt time.Duration
	// aliveAt is a time at which the peer certainly ran: when it composed the latest message that could be dated.
	aliveAt time.Duration
	// dater dates the messages of the incarnation, and undated is the latest one that could not be dated, or nil.
	dater   *dater.Dater
	undated *Message
	// needsAvailableTokens is set while the peer asks for the available tokens of the accounts.
	needsAvailableTokens bool
	// domain is the failure domain of the peer. It is empty until the peer has named it. stopping is set if the peer is about
	// to end.
	domain   string
	stopping bool
}

// newPeer returns a peer at an address from which a message was received last at the given time.
func newPeer(address netip.AddrPort, lastReceivedAt time.Duration) *peer {
	return &peer{address: address, lastReceivedAt: lastReceivedAt, aliveAt: neverAlive, dater: dater.New()}
}

// date sets the age of a message of the peer, which is read now. An older build, which never says what time it is, counts as
// alive when its messages are read.
func (p *peer) date(m *Message, now time.Duration) {
	m.Age, m.AgeKnown = 0, false
	if m.SentAtMs > 0 {
		m.Age, m.AgeKnown = p.dater.Age(time.Duration(m.SentAtMs)*time.Millisecond, now)
	}
	switch {
	case m.AgeKnown:
		p.aliveAt = max(p.aliveAt, now-m.Age)
	case p.dater.Unanswered() >= maxUnanswered:
		p.aliveAt = now
	}
}
