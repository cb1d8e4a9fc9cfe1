package broadcaster

import (
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
)

// The JSON-RPC methods of the notifications with which a gateway measures how far the clock of a peer differs from its own.
// Builds that don't know them drop them.
const (
	questionMethod = "ask"
	answerMethod   = "answer"
)

// question asks a peer for its time.
type question struct {
	// From is the address on which the sender receives messages, as host:port.
	From string `json:"from"`
	// AskedAt is when the question was sent, on the sender's clock in ns. The answer repeats it.
	AskedAt int64 `json:"at"`
}

// check fails if the question can't be answered.
func (q question) check() error {
	if q.From == "" || q.AskedAt < 0 {
		return errors.Errorf("question of %q at %d ns", q.From, q.AskedAt)
	}
	return nil
}

// answer is a gateway's time when it read a question.
type answer struct {
	// From is the address of the gateway that was asked, and Incarnation that of its process.
	From        string `json:"from"`
	Incarnation uint64 `json:"inc"`
	// AskedAt is that of the question, and Time the time on the clock of the gateway that was asked, in ns.
	AskedAt int64 `json:"at"`
	Time    int64 `json:"time"`
}

// check fails if the answer lacks its sender, or if a time in it is impossible.
func (a answer) check() error {
	if a.From == "" || a.Incarnation == 0 || a.AskedAt < 0 || a.Time < 0 {
		return errors.Errorf("answer of %q, incarnation %d, at %d ns to a question at %d ns", a.From, a.Incarnation, a.Time, a.AskedAt)
	}
	return nil
}

// encodeNotification returns a JSON-RPC notification with the given parameters.
func encodeNotification(method string, params any) ([]byte, error) {
	r := jsonrpc2.Request{Method: method, Notif: true}
	if err := r.SetParams(params); err != nil {
		return nil, errors.Wrapf(err, "encode the parameters of %q", method)
	}
	b, err := r.MarshalJSON()
	return b, errors.Wrapf(err, "encode %q", method)
}

// askDue asks a peer for its time if that is due.
func (b *Broadcaster) askDue(name string) {
	now := b.clock()
	b.mu.Lock()
	p, ok := b.peers[name]
	due := ok && p.dater.AskDue(now)
	b.mu.Unlock()
	if due {
		b.sendNotification(questionMethod, question{From: b.self, AskedAt: int64(now)}, name)
	}
}

// answerQuestion tells a peer the time.
func (b *Broadcaster) answerQuestion(q question) {
	a := answer{From: b.self, Incarnation: b.incarnation, AskedAt: q.AskedAt, Time: int64(b.clock())}
	b.sendNotification(answerMethod, a, q.From)
}

// recordAnswer records the time of a peer. The latest message of the peer that could not be dated is applied again if it can be
// dated now.
func (b *Broadcaster) recordAnswer(a answer) {
	now := b.clock()
	b.mu.Lock()
	p, ok := b.peers[a.From]
	if !ok || p.incarnation != a.Incarnation || !p.dater.RecordAnswer(time.Duration(a.AskedAt), time.Duration(a.Time), now) {
		b.mu.Unlock()
		return
	}
	undated := p.undated
	p.undated = nil
	if undated != nil {
		p.date(undated, now)
	}
	b.mu.Unlock()
	if undated != nil && undated.AgeKnown {
		b.state.Receive(*undated)
	}
}
