package controller_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/config/matcher"
	"github.com/pistachiovane/pistachiovane/internal/fleet/broadcaster"
	"github.com/pistachiovane/pistachiovane/internal/routing/profiler"
)

// A process that was suspended first sends its state and then reads a message that waited meanwhile. The configuration
// must not seem confirmed at the time of reading: its keys may have been withdrawn since.
func TestMessageThatWaitedConfirmsConfig(t *testing.T) {
	g := newGateway(t, profiler.Usage{})
	g.tracker.Accept(matcher.New(matcher.Config{Version: 1}), 0)
	g.now = 5 * time.Second
	g.Compose(false)
	g.Receive(broadcaster.Message{
		From: "peer", Incarnation: 1, ConfigVersion: 1, ConfigAgeMs: 300, TransitTime: 4 * time.Second,
	})
	if _, age := g.tracker.Active(); age < 4300*time.Millisecond {
		t.Errorf("got age %v of the configuration, want at least the 4.3s of the message", age)
	}
}
