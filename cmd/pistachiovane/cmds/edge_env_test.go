package cmds

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/fleet/lister"
	"github.com/pistachiovane/pistachiovane/internal/process/daemon"
	"github.com/pistachiovane/pistachiovane/internal/proxy/acceptor"
	"github.com/pistachiovane/pistachiovane/internal/proxy/responder"
	"github.com/pistachiovane/pistachiovane/platform"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// testGateway is a gateway and its port for callers. log is written to the log of the environment.
type testGateway struct {
	daemon  *daemon.Daemon
	server  *httptest.Server
	callers *acceptor.Acceptor
	log     *log.Logger
	// cancel stops the gateway, and stopped is closed when it has stopped.
	cancel  context.CancelFunc
	stopped chan struct{}
}

// testEnv is a deployment on loopback: a simulated store, simulated endpoints and one gateway or several. Requests are
// sent to the embedded gateway.
type testEnv struct {
	*testGateway
	// gateways holds all gateways; settings are those of the first one.
	gateways []*testGateway
	settings platform.Settings
	t        *testing.T
	store    *standin.Store
	log      *lockedBuffer
	// modelEndpoints holds the endpoints of the model service "llm" by ID.
	modelEndpoints map[string]*standin.Endpoint
	// serviceEndpoints holds the endpoints of the plain service "desk".
	serviceEndpoints []*standin.Endpoint
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
		modelEndpoints: map[string]*standin.Endpoint{},
	}
	env.putConfig(3, `"key"`)
	env.addModelEndpoint("p1", "prefill")
	env.addModelEndpoint("d1", "decode")
	env.addModelEndpoint("d2", "decode")
	for _, id := range []string{"s1", "s2"} {
		e := env.addEndpoint(id, "desk", "")
		env.serviceEndpoints = append(env.serviceEndpoints, e)
	}
	env.settings = platform.Settings{
		Name: "g", Domain: "a", StoreAddr: env.store.Address(),
		Bounds: platform.Bounds{
			DrainGrace: 8 * time.Second, RevokeDeadline: 5 * time.Second, RetriesPerRequest: perRequest,
			ExtraRetries: extra, RetryWindow: window,
			LimitOverageRatio: 0.25, LimitSlackTokens: 1e6, LimitWindow: 8 * time.Second,
		},
	}
	env.testGateway = env.startGateway(env.settings)
	t.Cleanup(env.close)
	env.waitFor(env.daemon.Ready, "the gateway should be ready")
	env.waitFor(func() bool { return env.availableTokens() > 100000 },
		"the account's token bucket, which is empty at first, should be filled")
	return env
}

// startGateway starts a gateway on a free port for its peers' messages. The first one is the seed of the others.
func (env *testEnv) startGateway(s platform.Settings) *testGateway {
	env.t.Helper()
	gossip, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		env.t.Fatal(err)
	}
	s.GossipAddr = gossip.LocalAddr().(*net.UDPAddr).AddrPort() //nolint:forcetypeassert // a UDP socket has a UDP address
	if len(s.SeedAddrs) == 0 {
		s.SeedAddrs = []netip.AddrPort{s.GossipAddr}
		env.settings.SeedAddrs = s.SeedAddrs
	}
	logger := &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: env.log}}
	g := &testGateway{stopped: make(chan struct{}), log: logger}
	g.daemon = daemon.New(edgeOptions(s), edgeDependencies(s), gossip, logger)
	g.server = httptest.NewUnstartedServer(platform.NewIngress(daemon.RequestHandler{Daemon: g.daemon}, 500*time.Millisecond))
	g.server.Config.ConnContext = responder.WithConn
	g.callers = acceptor.New(g.server.Config)
	g.server.Listener = g.callers.Track(g.server.Listener)
	g.server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	go func() {
		defer close(g.stopped)
		_ = g.daemon.Serve(ctx)
	}()
	env.gateways = append(env.gateways, g)
	return g
}

// addGateway starts a further gateway and waits until it is ready and its account has tokens to spend.
func (env *testEnv) addGateway() {
	env.t.Helper()
	env.addGatewayIn(env.settings.Domain)
}

// addGatewayIn is addGateway in a failure domain.
func (env *testEnv) addGatewayIn(domain string) {
	env.t.Helper()
	s := env.settings
	s.Name, s.Domain = fmt.Sprintf("g%d", len(env.gateways)), domain
	g := env.startGateway(s)
	env.waitFor(func() bool { return g.daemon.Ready() && g.availableTokens() > 100000 },
		"the further gateway should be ready, and the account's token bucket there filled")
}

// useGateway makes the gateway with the given number the one to which requests are sent.
func (env *testEnv) useGateway(n int) {
	env.testGateway = env.gateways[n%len(env.gateways)]
}

// state returns the state of the gateway as the operator port shows it.
func (g *testGateway) state() daemon.State {
	s, _ := g.daemon.State().(daemon.State)
	return s
}

// lists reports whether the gateway lists an endpoint.
func (g *testGateway) lists(id string) bool {
	return slices.ContainsFunc(g.state().Endpoints, func(e lister.Endpoint) bool { return e.ID == id })
}

// listsLeaving reports whether the gateway lists an endpoint that is leaving.
func (g *testGateway) listsLeaving(id string) bool {
	return slices.ContainsFunc(g.state().Endpoints, func(e lister.Endpoint) bool { return e.ID == id && e.Leaving })
}

// availableTokens returns the tokens that the account may still spend.
func (g *testGateway) availableTokens() float64 {
	return g.state().AvailableTokens["acc"]
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

// configTemplate is the operator's configuration. Its arguments are the version and the API keys of the account.
const configTemplate = `{"version":%d,"routes":[
 {"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","timeout_ms":12000,"target_latency_ms":900,"service":"llm","max_attempts":3,"allow_resume":true},
 {"name":"note","host":"h","prefix":"/note/","kind":"streaming","timeout_ms":4000,"target_latency_ms":900,"service":"llm","max_attempts":1},
 {"name":"book","host":"h","prefix":"/book/","kind":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"service":"desk","max_attempts":1},
 {"name":"read","host":"h","prefix":"/read/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"service":"desk","max_attempts":2},
 {"name":"open","host":"h","prefix":"/open/","kind":"idempotent","timeout_ms":1500,"target_latency_ms":300,"service":"desk","max_attempts":2,"skip_auth":true}],
 "services":[{"name":"llm","health_path":"/healthz","engine_kind":{"slot_count":4,"kv_capacity":100000,"kv_hold_s":0.5}},{"name":"desk","health_path":"/healthz"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"acc","api_keys":[%s],"plain_tokens":200,"rate_per_s":10000000,"burst":10000000}]}`

// close stops the gateways and the store.
func (env *testEnv) close() {
	for _, g := range env.gateways {
		g.cancel()
		<-g.stopped
		g.server.CloseClientConnections()
		g.server.Close()
	}
	env.store.Close()
}

// serviceRuns returns the number of requests that the two endpoints of the plain service have run.
func (env *testEnv) serviceRuns() int {
	return len(env.serviceEndpoints[0].Runs()) + len(env.serviceEndpoints[1].Runs())
}

// injectFaults makes each endpoint of the plain service handle its next requests with the given faults, one fault for
// each request.
func (env *testEnv) injectFaults(f ...standin.Fault) {
	for _, e := range env.serviceEndpoints {
		e.InjectFaults(f...)
	}
}

// lockedBuffer is a log that a test may read while the gateway writes it.
type lockedBuffer struct {
	buffer bytes.Buffer
}

// with runs do while it holds the lock.
func (b *lockedBuffer) with(do func()) {
	bufferLock <- struct{}{}
	do()
	<-bufferLock
}

// bufferLock is the lock of all buffers. The channel is full while the lock is held.
var bufferLock = make(chan struct{}, 1)

// Write appends a log line.
func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.with(func() { n, err = b.buffer.Write(p) })
	return n, err
}

// String returns all log lines.
func (b *lockedBuffer) String() (s string) {
	b.with(func() { s = b.buffer.String() })
	return s
}

// maxReportedLines limits the log lines in a report.
const maxReportedLines = 40

// linesWith returns the latest log lines with any of the texts.
func (env *testEnv) linesWith(texts ...string) string {
	lines := strings.Split(env.log.String(), "\n")
	lines = slices.DeleteFunc(lines, func(line string) bool {
		return !slices.ContainsFunc(texts, func(text string) bool { return strings.Contains(line, text) })
	})
	return strings.Join(lines[max(0, len(lines)-maxReportedLines):], "\n")
}
