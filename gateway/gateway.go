// Package gateway assembles the process of a gateway that reaches endpoints through their agents. It answers callers
// with the output of model engines and plain services.
package gateway

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"

	"github.com/pistachiovane/pistachiovane/gateway/admitter"
	"github.com/pistachiovane/pistachiovane/gateway/configurer"
	"github.com/pistachiovane/pistachiovane/gateway/connector"
	"github.com/pistachiovane/pistachiovane/gateway/coordinator"
	"github.com/pistachiovane/pistachiovane/gateway/gossiper"
	"github.com/pistachiovane/pistachiovane/gateway/requester"
	"github.com/pistachiovane/pistachiovane/gateway/server"
	"github.com/pistachiovane/pistachiovane/pkg/allocator"
	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/budgeter"
	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/pkg/credential"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/hasher"
	"github.com/pistachiovane/pistachiovane/pkg/limiter"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/router"
	"github.com/pistachiovane/pistachiovane/pkg/settings"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/platform"
	"github.com/pistachiovane/pistachiovane/service/supervision"
	"github.com/pistachiovane/pistachiovane/service/transport"
)

const (
	// crashRecordLifetime is how long a gateway remembers that a request was running when an endpoint crashed, unless the
	// request completes.
	crashRecordLifetime = 24 * time.Hour
	// maxCrashRecords is the largest number of requests that are remembered in this way.
	maxCrashRecords = 10000
	// maxBrokenRuns is the largest number of runs that are remembered because their endpoint crashed.
	maxBrokenRuns = 512
	// retryRatio is how many retries are allowed for each first attempt. retryBurst is how many unused ones may be
	// saved, and thus the longest burst of retries.
	retryRatio = 0.1
	retryBurst = 100
	// initialFreePieces is the free KV memory assumed of a new endpoint, in pieces, until its agent reports its load.
	initialFreePieces = 1 << 20
	// pollersPerDomain is how many gateways of a failure domain poll the platform at the full rate. The others poll
	// less often and receive new lists from their peers.
	pollersPerDomain = 2
	// drainPollInterval is how often a draining gateway checks whether all requests have ended.
	drainPollInterval = 20 * time.Millisecond
	// shutdownTimeout is how long the HTTP server may take to end its connections before they are closed.
	shutdownTimeout = time.Second
)

// Listeners are the listening sockets of a gateway.
type Listeners struct {
	// Callers accepts the HTTP connections of callers, Fleet the connections of peers.
	Callers net.Listener
	Fleet   net.Listener
}

// Gateway holds the parts of the process and supervises them.
type Gateway struct {
	settings    settings.Settings
	log         *log.Logger
	supervisor  *suture.Supervisor
	coordinator *coordinator.Coordinator
	connector   *connector.Connector
	requester   *requester.Requester
	admitter    *admitter.Admitter
	configurer  *configurer.Configurer
	gossiper    *gossiper.Gossiper
	server      *server.Server
	http        *http.Server
	transport   *http.Transport
	listeners   Listeners
	// endpointCount is the number of endpoints in the newest VM list.
	endpointCount atomic.Int64
	// hasPollingPeers is set while pollersPerDomain peers of the failure domain poll the platform at the full rate.
	hasPollingPeers atomic.Bool
	draining        atomic.Bool
}

// New returns a gateway that serves the listeners. It fails when the credentials or the API handler can't be created,
// and on an unknown routing policy.
func New(s settings.Settings, l Listeners, logger *log.Logger) (*Gateway, error) {
	credentials, err := credential.New(s.Fleet.Secret, s.Name, time.Now())
	if err != nil {
		return nil, err
	}
	policy, ok := router.PolicyByName(s.Route.Policy)
	if !ok {
		return nil, errors.Errorf("routing policy %q is not known", s.Route.Policy)
	}
	g := &Gateway{
		settings: s, log: logger, listeners: l,
		supervisor: supervision.New("gateway", logger),
		transport:  transport.New(4),
	}
	incarnation := uuid.NewString()
	g.newCoordinator(policy)
	g.connector = connector.New(incarnation, credentials, g.coordinator.ReceiveTokens)
	g.coordinator.SetConnector(g.connector)
	g.requester = requester.New(g.connector)
	self := allocator.Member{Name: s.Name, Incarnation: rand.Uint64()}
	shareAllocator := allocator.New(self, allocator.Options{
		MaxListLag: s.Limits.MaxListLag, MaxUnnoticedPause: s.Limits.MaxUnnoticedPause,
	})
	g.admitter = admitter.New(s.Name, shareAllocator, limiter.New(shareAllocator, limiter.EqualShares))
	client := platform.New(s.Platform.URL, s.Name, &http.Client{Transport: g.transport})
	g.configurer = configurer.New(client, s.Platform.PollInterval, logger, g.activate, g.updateVMs, g.slowPolling)
	g.gossiper = gossiper.New(s.Name, incarnation, credentials, g.admitter, g.configurer, g.coordinator)
	g.admitter.SetPeerClient(g.gossiper)
	g.server, err = server.New(server.Options{
		MaxBodyBytes: s.Callers.MaxBodyBytes, BodyTimeout: s.Callers.RequestReadTimeout,
		FirstTokenTimeout: s.Route.FirstTokenTimeout,
	}, g.configurer.Active, g.admitter, g.coordinator, g.requester)
	if err != nil {
		return nil, err
	}
	g.http = &http.Server{
		Handler: g.server, ReadHeaderTimeout: s.Callers.RequestReadTimeout, MaxHeaderBytes: s.Callers.MaxHeaderBytes,
	}
	g.supervise(credentials)
	return g, nil
}

// newCoordinator creates the coordinator with its dispatcher and router.
func (g *Gateway) newCoordinator(policy router.Policy) {
	options := dispatcher.DefaultOptions()
	options.TokensPerPiece = g.settings.Route.TokensPerPiece
	options.PrefillTokensPerSecond = g.settings.Route.PrefillTokensPerSecond
	options.MaxQueuedPerClass = g.settings.Route.MaxQueuedPerClass
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	endpointRouter := router.New(policy, g.settings.Domain, rng)
	crashQuarantiner := quarantiner.New(crashRecordLifetime, maxCrashRecords)
	crashAttributor := attributor.New(crashRecordLifetime, maxBrokenRuns)
	d := dispatcher.New(
		options, endpointRouter, crashQuarantiner, crashAttributor, budgeter.New(retryRatio, retryBurst),
	)
	g.coordinator = coordinator.New(d, endpointRouter, crashQuarantiner, crashAttributor, initialFreePieces)
}

// supervise adds the parts that run in the background to the supervisor.
func (g *Gateway) supervise(c *credential.Credential) {
	g.supervisor.Add(g.coordinator)
	g.supervisor.Add(g.admitter)
	g.supervisor.Add(g.configurer)
	g.supervisor.Add(g.gossiper)
	g.supervisor.Add(fleet.NewServer(g.listeners.Fleet, c, &handler{gossiper: g.gossiper}))
	g.supervisor.Add(&callerServer{server: g.http, listener: g.listeners.Callers})
}

// Serve runs the gateway until the context ends. It returns after every call to an agent has returned.
func (g *Gateway) Serve(ctx context.Context) error {
	g.log.Info().Str("name", g.settings.Name).Str("callers", g.listeners.Callers.Addr().String()).Msg("gateway: started")
	err := g.supervisor.Serve(ctx)
	g.connector.Close()
	g.coordinator.Wait()
	g.transport.CloseIdleConnections()
	return err
}

// Drain makes the gateway refuse new requests, and returns when all requests in progress have ended or the context
// ends.
func (g *Gateway) Drain(ctx context.Context) {
	g.draining.Store(true)
	g.server.Drain()
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for g.server.ActiveRequests() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// Ready reports whether the gateway should get requests. It should when a configuration is active, the VM list has
// endpoints, the first round of gossip is complete, the gateway has its full share of the limits, and it is not
// draining.
func (g *Gateway) Ready() bool {
	select {
	case <-g.gossiper.FirstRoundDone():
	default:
		return false
	}
	return !g.draining.Load() && g.configurer.Active() != nil && g.endpointCount.Load() > 0 &&
		g.admitter.State().HasFullShare
}

// State is the dump of a gateway, for operators.
type State struct {
	Name              string                      `json:"name"`
	Ready             bool                        `json:"ready"`
	OpenRequests      int                         `json:"open"`
	QueuedInteractive int                         `json:"interactive"`
	QueuedDrafts      int                         `json:"drafts"`
	Answers           uint64                      `json:"answered"`
	Refusals          uint64                      `json:"refused"`
	OutputTokens      uint64                      `json:"tokens"`
	Config            configurer.State            `json:"config"`
	Limits            admitter.State              `json:"limits"`
	Endpoints         []coordinator.EndpointState `json:"endpoints"`
}

// State returns the state for the dump. It contains no secrets.
func (g *Gateway) State() any {
	interactive, drafts := g.coordinator.QueueLengths()
	return State{
		Name: g.settings.Name, Ready: g.Ready(), OpenRequests: g.coordinator.OpenRequests(),
		QueuedInteractive: interactive, QueuedDrafts: drafts,
		Answers: g.server.Stats.Answers.Load(), Refusals: g.server.Stats.Refusals.Load(),
		OutputTokens: g.server.Stats.OutputTokens.Load(),
		Config:       g.configurer.State(), Limits: g.admitter.State(), Endpoints: g.coordinator.EndpointStates(),
	}
}

// activate applies a new active configuration to the admitter and the coordinator.
func (g *Gateway) activate(c *catalog.Catalog) {
	g.admitter.SetLimits(c)
	g.coordinator.CancelWithdrawnKeys(c)
}

// updateVMs applies a VM list to every part that uses it. readStartedAt is when its read from the platform began; it
// is only used where fromPlatform is set.
func (g *Gateway) updateVMs(v platform.VMList, readStartedAt time.Time, fromPlatform bool) {
	domains := make(map[string]string)
	view := allocator.View{Version: v.Version}
	var endpoints []endpoint.Endpoint
	for _, vm := range v.VMs {
		if e, ok := vm.Endpoint(); ok {
			endpoints = append(endpoints, e)
		}
		if vm.Kind == platform.KindGateway {
			view.Members = append(view.Members, vm.ID)
			domains[vm.ID] = vm.Domain
		}
	}
	if !fromPlatform {
		readStartedAt = time.Time{}
	}
	view.Members = sortedUnique(view.Members)
	for _, name := range view.Members {
		view.Domains = append(view.Domains, domains[name])
	}
	g.assignPollers(v.VMs)
	g.gossiper.UpdatePeers(v.VMs)
	g.coordinator.UpdateEndpoints(endpoints)
	g.requester.UpdateEndpoints(endpoints)
	g.admitter.UpdateView(view, readStartedAt)
	g.endpointCount.Store(int64(len(endpoints)))
}

// slowPolling reports whether this gateway polls the platform less often because peers of its failure domain do it.
// Only the first pollersPerDomain gateways in rendezvous order poll at the full rate, so that the number of calls to
// the platform does not grow with the fleet. A gateway that does not have its full share yet polls at the full rate
// too.
func (g *Gateway) slowPolling() bool {
	return g.hasPollingPeers.Load() && g.admitter.State().HasFullShare
}

// assignPollers determines whether this gateway is one of the pollers of its failure domain.
func (g *Gateway) assignPollers(vms []platform.VM) {
	var nodes []hasher.Node
	for _, v := range vms {
		if v.Kind == platform.KindGateway && v.Domain == g.settings.Domain {
			nodes = append(nodes, hasher.Node{ID: v.ID})
		}
	}
	for i, n := range hasher.Rank("readers", nodes) {
		if n.ID == g.settings.Name {
			g.hasPollingPeers.Store(i >= pollersPerDomain)
			return
		}
	}
	g.hasPollingPeers.Store(false)
}

// handler answers the messages of peers.
type handler struct {
	gossiper *gossiper.Gossiper
}

// Serve answers one message of a peer.
func (h *handler) Serve(_ context.Context, p *fleet.Peer, method string, params json.RawMessage) (any, error) {
	return h.gossiper.Handle(p, method, params)
}

// PeerDisconnected does nothing, because a peer holds no resources of this gateway that end with its connection.
func (h *handler) PeerDisconnected(*fleet.Peer) {}

// callerServer runs the HTTP server for callers.
type callerServer struct {
	server   *http.Server
	listener net.Listener
}

// Serve answers callers until the context ends, and then shuts the HTTP server down. It fails when the listener does.
func (c *callerServer) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if c.server.Shutdown(ctx) != nil {
			_ = c.server.Close()
		}
	})
	defer stop()
	err := c.server.Serve(c.listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-ctx.Done()
		return ctx.Err()
	}
	return errors.Wrap(err, "serve callers")
}
