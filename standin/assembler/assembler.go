// Package assembler starts a whole fleet in one process for the demo and the tests: real gateways and agents on
// loopback ports, over stand-ins of the platform, the model engines and the plain services.
package assembler

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/agent"
	"github.com/pistachiovane/pistachiovane/gateway"
	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/pkg/settings"
	wire "github.com/pistachiovane/pistachiovane/service/platform"
	"github.com/pistachiovane/pistachiovane/standin/engine"
	"github.com/pistachiovane/pistachiovane/standin/model"
	"github.com/pistachiovane/pistachiovane/standin/plain"
	"github.com/pistachiovane/pistachiovane/standin/platform"
)

// readyPollInterval is the time between checks whether a gateway is ready.
const readyPollInterval = 10 * time.Millisecond

// Options are the sizes and settings of a fleet.
type Options struct {
	Gateways         int
	PrefillEndpoints int
	DecodeEndpoints  int
	PlainEndpoints   int
	// Domains are the failure domains, over which the gateways and the endpoints of each role are distributed in turn.
	Domains []string
	// Model and Service are the names of the model and of the plain service that the endpoints serve.
	Model    string
	Service  string
	Accounts []Account
	// SpeedFactor makes the engines faster than real time; 1 is real time.
	SpeedFactor float64
	Engine      model.Settings
	// MaxListLag is the longest time from the publication of a VM list without a gateway until that gateway's VM has
	// stopped, and MaxUnnoticedPause the longest suspension that a gateway may fail to detect. The gateways rely on both
	// when they divide the limits of the accounts into shares.
	MaxListLag        time.Duration
	MaxUnnoticedPause time.Duration
	// PollInterval is the time between two reads of the VM list by a gateway.
	PollInterval time.Duration
	// RequestReadTimeout is the longest time that a caller may take to send a request.
	RequestReadTimeout time.Duration
	// Log is the logger of the gateways and agents.
	Log *log.Logger
}

// DefaultOptions returns the options of the demo. They discard all log lines.
func DefaultOptions() Options {
	return Options{
		Gateways: 2, PrefillEndpoints: 3, DecodeEndpoints: 3, PlainEndpoints: 3,
		Domains: []string{"a", "b", "c"}, Model: "drafting", Service: "bookings",
		Accounts: []Account{
			{Name: "studio", Key: "studio-key", TokensPerSecond: 60000, BurstTokens: 120000, Weight: 2},
			{Name: "tutor", Key: "tutor-key", TokensPerSecond: 30000, BurstTokens: 60000, Weight: 1},
			{Name: "potter", Key: "potter-key", TokensPerSecond: 15000, BurstTokens: 30000, Weight: 1},
		},
		SpeedFactor: 1, Engine: model.DefaultSettings(),
		MaxListLag: 200 * time.Millisecond, MaxUnnoticedPause: time.Second,
		RequestReadTimeout: 10 * time.Second, PollInterval: 100 * time.Millisecond,
		Log: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	}
}

// Node is a gateway, or an agent with the stand-in of its endpoint. In a real fleet each is a process on a VM.
type Node struct {
	Name string
	// An agent has either Engine or PlainService, the stand-in behind it, and the other is nil. Both are nil for a
	// gateway.
	Engine       *engine.Engine
	PlainService *plain.Service
	// ServiceURL is the base URL of the plain service, for calls that bypass gateway and agent.
	ServiceURL string
	Agent      *agent.Agent
	// Gateway and CallerURL, the base URL for callers, are set for a gateway only.
	Gateway   *gateway.Gateway
	CallerURL string

	// vm is the node's entry in the VM list.
	vm     wire.VM
	cancel context.CancelFunc
	// done is closed when the node has stopped.
	done chan struct{}
}

// PlansVersion returns the version of the plans list in the gateway's active configuration, 0 when it has none.
func (n *Node) PlansVersion() uint64 {
	if s, ok := n.Gateway.State().(gateway.State); ok {
		return s.Config.PlansVersion
	}
	return 0
}

// Fleet is a running fleet. AddGateway changes Gateways without a lock.
type Fleet struct {
	options Options
	// secret is the shared secret from which the nodes derive their credentials.
	secret      []byte
	Platform    *platform.Platform
	platformURL string
	// ctx ends when the fleet closes.
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	// client is used by the engines to import KV caches.
	client    *http.Client
	startedAt time.Time
	Gateways  []*Node
	Agents    []*Node
}

// New starts a fleet and returns when all its gateways are ready. It fails when a port can't be opened, when a gateway
// or agent can't be created, or when the context ends first. After the start the context has no effect: the fleet runs
// until Close.
func New(ctx context.Context, o Options) (*Fleet, error) {
	fleetCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{
		options: o, secret: []byte("stand-in fleet secret"), Platform: platform.New(),
		startedAt: time.Now(), ctx: fleetCtx, cancel: cancel,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
	}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	if err := f.WaitReady(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

// Close stops all nodes and stand-ins and returns when their goroutines have ended.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
	f.client.CloseIdleConnections()
}

// WaitReady returns when every gateway is ready. It fails when the context ends first.
func (f *Fleet) WaitReady(ctx context.Context) error {
	for _, g := range f.Gateways {
		for !g.Gateway.Ready() {
			select {
			case <-ctx.Done():
				return errors.Wrapf(ctx.Err(), "gateway %s is not ready", g.Name)
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// Kill stops a node without draining it, and returns when it has stopped: its connections break and its in-memory state
// is lost. The node stays in the VM list.
func (f *Fleet) Kill(n *Node) {
	n.cancel()
	<-n.done
}

// RemoveFromVMList removes a node from the VM list. The node itself keeps running.
func (f *Fleet) RemoveFromVMList(n *Node) {
	f.updateVMList(func(vms []wire.VM) []wire.VM {
		var out []wire.VM
		for _, v := range vms {
			if v.ID != n.Name {
				out = append(out, v)
			}
		}
		return out
	})
}

// MarkLeaving marks a node as leaving in the VM list.
func (f *Fleet) MarkLeaving(n *Node) {
	f.updateVMList(func(vms []wire.VM) []wire.VM {
		for i := range vms {
			if vms[i].ID == n.Name {
				vms[i].Leaving = true
			}
		}
		return vms
	})
}

// AddGateway starts another gateway and publishes it in the VM list, where it replaces an entry of the same name. It
// does not wait until the gateway is ready.
func (f *Fleet) AddGateway(name string) (*Node, error) {
	n, err := f.startGateway(name, len(f.Gateways))
	if err != nil {
		return nil, err
	}
	f.Gateways = append(f.Gateways, n)
	f.updateVMList(func(vms []wire.VM) []wire.VM {
		for i := range vms {
			if vms[i].ID == name {
				vms[i] = n.vm
				return vms
			}
		}
		return append(vms, n.vm)
	})
	return n, nil
}

// updateVMList calls update with a copy of the published VM list, and publishes the list that it returns.
func (f *Fleet) updateVMList(update func([]wire.VM) []wire.VM) {
	f.Platform.SetVMs(update(append([]wire.VM(nil), f.Platform.VMs().VMs...)))
}

// start starts the platform, the endpoints and the gateways, and then publishes the VM list.
func (f *Fleet) start() error {
	platformURL, err := f.serveHTTP(f.Platform.Handler())
	if err != nil {
		return err
	}
	f.platformURL = platformURL
	f.PublishPlans(1, f.options.Accounts)
	f.Platform.Publish("uses", 1, UsesText(1, f.options.Model, f.options.Service))
	roles := []struct {
		role  endpoint.Role
		count int
	}{
		{endpoint.Prefill, f.options.PrefillEndpoints},
		{endpoint.Decode, f.options.DecodeEndpoints},
		{endpoint.Plain, f.options.PlainEndpoints},
	}
	for _, r := range roles {
		for i := range r.count {
			if err := f.startEndpoint(r.role, i); err != nil {
				return err
			}
		}
	}
	for i := range f.options.Gateways {
		n, err := f.startGateway(fmt.Sprintf("gw-%d", i+1), i)
		if err != nil {
			return err
		}
		f.Gateways = append(f.Gateways, n)
	}
	vms := make([]wire.VM, 0, len(f.Agents)+len(f.Gateways))
	for _, n := range append(append([]*Node(nil), f.Agents...), f.Gateways...) {
		vms = append(vms, n.vm)
	}
	f.Platform.SetVMs(vms)
	return nil
}

// domain returns the failure domain of the node with index i among the nodes of its role.
func (f *Fleet) domain(i int) string {
	return f.options.Domains[i%len(f.options.Domains)]
}

// startEndpoint starts the stand-in of an endpoint and its agent. Every second engine checks fencing tokens itself, so
// that a fleet contains engines of both kinds.
func (f *Fleet) startEndpoint(role endpoint.Role, i int) error {
	s := settings.Default()
	s.Name = fmt.Sprintf("%s-%d", role, i+1)
	s.Domain = f.domain(i)
	s.Fleet.Secret = f.secret
	n := &Node{Name: s.Name}
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	servedName := f.options.Model
	var handler http.Handler
	if role == endpoint.Plain {
		n.PlainService = plain.New(time.Millisecond)
		handler = n.PlainService.Handler()
		servedName = f.options.Service
	} else {
		n.Engine = engine.New(f.options.Engine, f.options.SpeedFactor, i%2 == 0, f.client)
		handler = n.Engine.Handler()
		f.wg.Go(func() { _ = n.Engine.Serve(ctx) })
	}
	url, err := f.serveHTTP(handler)
	if err != nil {
		return err
	}
	if role == endpoint.Plain {
		s.Service.URL = url
		n.ServiceURL = url
	} else {
		s.Engine.URL = url
		s.Engine.DecodeSlots, s.Engine.MemoryPieces = f.options.Engine.DecodeSlots, f.options.Engine.MemoryPieces
	}
	return f.startAgent(ctx, n, s, wire.VM{Role: role.String(), Model: servedName, Slots: f.options.Engine.DecodeSlots})
}

// startAgent starts the agent of an endpoint and completes its entry for the VM list.
func (f *Fleet) startAgent(ctx context.Context, n *Node, s settings.Settings, vm wire.VM) error {
	l, err := listen()
	if err != nil {
		return err
	}
	n.Agent, err = agent.New(s, l, f.options.Log)
	if err != nil {
		return err
	}
	n.vm = vm
	n.vm.ID, n.vm.Kind, n.vm.Address, n.vm.Domain = n.Name, wire.KindEndpoint, l.Addr().String(), s.Domain
	f.runNode(ctx, n, n.Agent.Serve)
	f.Agents = append(f.Agents, n)
	return nil
}

// startGateway starts a gateway with one port for callers and one for the fleet. The caller publishes its VM.
func (f *Fleet) startGateway(name string, i int) (*Node, error) {
	s := settings.Default()
	s.Name, s.Domain = name, f.domain(i)
	s.Fleet.Secret = f.secret
	s.Platform.URL = f.platformURL
	s.Platform.PollInterval = f.options.PollInterval
	s.Callers.RequestReadTimeout = f.options.RequestReadTimeout
	s.Limits = settings.Limits{MaxListLag: f.options.MaxListLag, MaxUnnoticedPause: f.options.MaxUnnoticedPause}
	s.Route.PrefillTokensPerSecond = f.options.Engine.PrefillTokensPerSecond * f.options.SpeedFactor
	callers, err := listen()
	if err != nil {
		return nil, err
	}
	peers, err := listen()
	if err != nil {
		return nil, err
	}
	g, err := gateway.New(s, gateway.Listeners{Callers: callers, Fleet: peers}, f.options.Log)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(f.ctx)
	n := &Node{Name: name, Gateway: g, CallerURL: "http://" + callers.Addr().String(), cancel: cancel}
	n.vm = wire.VM{ID: name, Kind: wire.KindGateway, Address: peers.Addr().String(), Domain: s.Domain}
	f.runNode(ctx, n, g.Serve)
	return n, nil
}

// runNode runs serve in the background until ctx ends, and closes n.done when it has returned.
func (f *Fleet) runNode(ctx context.Context, n *Node, serve func(context.Context) error) {
	n.done = make(chan struct{})
	f.wg.Go(func() {
		defer close(n.done)
		_ = serve(ctx)
	})
}

// serveHTTP serves a stand-in on a loopback port until the fleet closes, and returns its base URL.
func (f *Fleet) serveHTTP(h http.Handler) (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	context.AfterFunc(f.ctx, func() { _ = server.Close() })
	f.wg.Go(func() { _ = server.Serve(l) })
	return "http://" + l.Addr().String(), nil
}

// listen opens a free loopback port.
func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "open loopback port")
}
