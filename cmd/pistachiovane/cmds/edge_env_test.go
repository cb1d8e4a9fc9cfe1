package cmds

import (
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/process/daemon"
	"github.com/pistachiovane/pistachiovane/platform"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// testEnv is a deployment on loopback: a simulated store, simulated endpoints and one gateway.
type testEnv struct {
	t      *testing.T
	store  *standin.Store
	daemon *daemon.Daemon
	// server is the gateway's port for callers.
	server *httptest.Server
	log    *lockedBuffer
	// modelEndpoints holds the endpoints of the model service "llm" by ID.
	modelEndpoints map[string]*standin.Endpoint
	// serviceEndpoints holds the endpoints of the plain service "desk".
	serviceEndpoints []*standin.Endpoint
	// cancel stops the gateway, and stopped is closed when it has stopped.
	cancel  context.CancelFunc
	stopped chan struct{}
	// lastRequestID is the number in the ID of the latest request.
	lastRequestID int
}

// newTestEnv starts the prefill endpoint p1, the decode endpoints d1 and d2, the endpoints s1 and s2 of a plain
// service, and a gateway. It waits until the gateway is ready and the account has tokens to spend.
func newTestEnv(t *testing.T) *testEnv {
	t.Helper()
	return newTestEnvWithRetries(t, 0.2, 500, 10*time.Second)
}

// newTestEnvWithRetries is newTestEnv with a retry budget of its own.
func newTestEnvWithRetries(t *testing.T, perRequest, extra float64, window time.Duration) *testEnv {
	t.Helper()
	env := &testEnv{
		t: t, store: standin.NewStore(), log: &lockedBuffer{},
		modelEndpoints: map[string]*standin.Endpoint{}, stopped: make(chan struct{}),
	}
	env.putConfig(3, `"key"`)
	env.addModelEndpoint("p1", "prefill")
	env.addModelEndpoint("d1", "decode")
	env.addModelEndpoint("d2", "decode")
	for _, id := range []string{"s1", "s2"} {
		e := env.addEndpoint(id, "desk", "")
		env.serviceEndpoints = append(env.serviceEndpoints, e)
	}
	gossip, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	self := gossip.LocalAddr().(*net.UDPAddr).AddrPort() //nolint:forcetypeassert // a UDP socket has a UDP address
	s := platform.Settings{
		Name: "g", Domain: "a", GossipAddr: self, SeedAddrs: []netip.AddrPort{self}, StoreAddr: env.store.Address(),
		Bounds: platform.Bounds{
			DrainGrace: 8 * time.Second, RevokeDeadline: 5 * time.Second, RetriesPerRequest: perRequest,
			ExtraRetries: extra, RetryWindow: window,
			LimitOverageRatio: 0.25, LimitSlackTokens: 1e6, LimitWindow: 8 * time.Second,
		},
	}
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: env.log}}
	env.daemon = daemon.New(edgeOptions(s), edgeDependencies(s), gossip, logger)
	env.server = httptest.NewServer(platform.NewIngress(daemon.RequestHandler{Daemon: env.daemon}, 500*time.Millisecond))
	ctx, cancel := context.WithCancel(context.Background())
	env.cancel = cancel
	go func() {
		defer close(env.stopped)
		_ = env.daemon.Serve(ctx)
	}()
	t.Cleanup(env.close)
	env.waitFor(env.daemon.Ready, "the gateway should be ready")
	env.waitFor(func() bool { return env.availableTokens() > 100000 },
		"the account's token bucket, which is empty at first, should be filled")
	return env
}

// availableTokens returns the tokens that the account may still spend.
func (env *testEnv) availableTokens() float64 {
	return env.state().AvailableTokens["acc"]
}

// putConfig stores a configuration with the version and the account's API keys, which are quoted.
func (env *testEnv) putConfig(version int, keys string) {
	env.store.Put("op/config", fmt.Appendf(nil, configTemplate, version, keys))
}

// addEndpoint starts a simulated endpoint and stores its entry. The stage is empty for a plain service.
func (env *testEnv) addEndpoint(id, service, stage string) *standin.Endpoint {
	e, err := standin.NewEndpoint(id, service, "a", stage)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(e.Close)
	env.store.Put(e.StoreEntry("ready"))
	return e
}

// addModelEndpoint starts a simulated model engine for the stage.
func (env *testEnv) addModelEndpoint(id, stage string) {
	env.modelEndpoints[id] = env.addEndpoint(id, "llm", stage)
}

// waitFor fails the test if the condition does not become true within 5 s. expectation describes the condition in the
// failure message.
func (env *testEnv) waitFor(condition func() bool, expectation string) {
	env.t.Helper()
	for range 500 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	env.t.Fatalf("not reached after 5 s: %s; log:\n%s", expectation, env.log.String())
}
