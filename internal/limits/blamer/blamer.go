// Package blamer finds the requests that crash endpoints. A request whose connection broke while it ran is suspected; it
// is blamed only when its endpoint then turns out to be down, for endpoints also lose answers while they live. A request
// blamed for two endpoints is not sent again.
package blamer

import (
	"time"

	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
)

const (
	// suspectFor is how long after a break an endpoint that is found down counts as crashed by what ran there.
	suspectFor = 2 * time.Second
	// suspectsMost bounds the suspects of one endpoint.
	suspectsMost = 64
)

type suspect struct {
	fingerprint quarantiner.Fingerprint
	at          time.Duration
}

// Blamer is not safe for concurrent use.
type Blamer struct {
	quarantine *quarantiner.Quarantiner
	suspects   map[string][]suspect
}

// New returns a blamer that keeps blames for a window, at most limit of them.
func New(window time.Duration, limit int) *Blamer {
	return &Blamer{quarantine: quarantiner.New(window, limit), suspects: map[string][]suspect{}}
}

// Broke records that a request's connection to an endpoint broke while it ran.
func (b *Blamer) Broke(endpoint string, f quarantiner.Fingerprint, now time.Duration) {
	list := b.suspects[endpoint]
	if len(list) < suspectsMost {
		b.suspects[endpoint] = append(list, suspect{f, now})
	}
}

// Down records that an endpoint can't be reached.
func (b *Blamer) Down(endpoint string, now time.Duration) {
	for _, s := range b.suspects[endpoint] {
		if now-s.at <= suspectFor {
			b.quarantine.Crashed(s.fingerprint, endpoint, now)
		}
	}
	delete(b.suspects, endpoint)
}

// Up records that an endpoint answered: what broke there before did not crash it.
func (b *Blamer) Up(endpoint string) {
	delete(b.suspects, endpoint)
}

// Refused tells whether a request is not to be sent again.
func (b *Blamer) Refused(f quarantiner.Fingerprint, now time.Duration) bool {
	return b.quarantine.Refused(f, now)
}

// Blames returns the blames, for the other gateways, and Merge takes in theirs.
func (b *Blamer) Blames(now time.Duration) []quarantiner.Blame {
	return b.quarantine.Blames(now)
}

// Merge takes in the blames of another gateway.
func (b *Blamer) Merge(blames []quarantiner.Blame, now time.Duration) {
	b.quarantine.Merge(blames, now)
}
