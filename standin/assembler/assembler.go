// Package assembler starts a whole fleet in one process: stand-ins, agents and gateways on loopback
// ports. It is what the demo and the tests run on.
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

const readyPollInterval = 10 * time.Millisecond

// Options are the sizes of a fleet.
type Options struct {
	Gateways         int
	PrefillEndpoints int
	DecodeEndpoints  int
	PlainEndpoints   int
	Domains          []string
	Model            string
	Service          string
	Accounts         []Account
	// SpeedFactor makes the engines faster than real time.
	SpeedFactor float64
	Engine      model.Settings
	// MaxListLag and Pause are the bounds of the sharing of limits.
	MaxListLag        time.Duration
	MaxUnnoticedPause time.Duration
	// PollInterval is the time between reads of the VM list.
	PollInterval time.Duration
	// RequestReadTimeout is the longest time that a caller may take to send a request.
	RequestReadTimeout time.Duration
	Log                *log.Logger
}

// DefaultOptions returns the fleet of the demo.
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
		MaxListLag: 200 * time.Millisecond, MaxUnnoticedPause: time.Second, RequestReadTimeout: 10 * time.Second, PollInterval: 100 * time.Millisecond,
		Log: &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}},
	}
}

// Node is one process of the fleet.
type Node struct {
	Name string
	// Engine and Plain are what stands behind an agent; one of them is nil.
	Engine       *engine.Engine
	PlainService *plain.Service
	// ServiceURL is the base URL of the plain service.
	ServiceURL string
	Agent      *agent.Agent
	// Gateway and Callers are set for a gateway.
	Gateway   *gateway.Gateway
	CallerURL string

	vm     wire.VM
	cancel context.CancelFunc
	done   chan struct{}
}

// PlansVersion returns the version of the plans that a gateway has in force.
func (n *Node) PlansVersion() uint64 {
	if s, ok := n.Gateway.State().(gateway.State); ok {
		return s.Config.PlansVersion
	}
	return 0
}

// Fleet is a running fleet.
type Fleet struct {
	options     Options
	secret      []byte
	Platform    *platform.Platform
	platformURL string
	ctx         context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
	client      *http.Client
	startedAt   time.Time
	Gateways    []*Node
	Agents      []*Node
}

// New starts a fleet and returns once its gateways are ready. It fails when a port can't be opened or the
// context ends first.
func New(ctx context.Context, o Options) (*Fleet, error) {
	fleetCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f := &Fleet{
		options: o, secret: []byte("stand-in fleet secret"), Platform: platform.New(),
		startedAt: time.Now(), ctx: fleetCtx, cancel: cancel, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256}},
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

// Close stops everything and waits for it.
func (f *Fleet) Close() {
	f.cancel()
	f.wg.Wait()
	f.client.CloseIdleConnections()
}

// WaitReady waits until every gateway is ready; it fails when the context ends first.
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

// Kill kills a process: its connections break and what it held in memory is lost.
func (f *Fleet) Kill(n *Node) {
	n.cancel()
	<-n.done
}

// RemoveFromVMList takes a process off the VM list.
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

// MarkLeaving marks a process as leaving in the VM list.
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

// AddGateway starts one more gateway and lists it.
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

func (f *Fleet) updateVMList(update func([]wire.VM) []wire.VM) {
	f.Platform.SetVMs(update(append([]wire.VM(nil), f.Platform.VMs().VMs...)))
}

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
	}{{endpoint.Prefill, f.options.PrefillEndpoints}, {endpoint.Decode, f.options.DecodeEndpoints}, {endpoint.Plain, f.options.PlainEndpoints}}
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

func (f *Fleet) domain(i int) string {
	return f.options.Domains[i%len(f.options.Domains)]
}

// startEndpoint starts an endpoint with the agent beside it.
func (f *Fleet) startEndpoint(role endpoint.Role, i int) error {
	s := settings.Default()
	s.Name = fmt.Sprintf("%s-%d", role, i+1)
	s.Domain = f.domain(i)
	s.Fleet.Secret = f.secret
	n := &Node{Name: s.Name}
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	target := f.options.Model
	var handler http.Handler
	if role == endpoint.Plain {
		n.PlainService = plain.New(time.Millisecond)
		handler = n.PlainService.Handler()
		target = f.options.Service
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
	return f.startAgent(ctx, n, s, wire.VM{Role: role.String(), Model: target, Slots: f.options.Engine.DecodeSlots})
}

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

func (f *Fleet) runNode(ctx context.Context, n *Node, serve func(context.Context) error) {
	n.done = make(chan struct{})
	f.wg.Go(func() {
		defer close(n.done)
		_ = serve(ctx)
	})
}

// serveHTTP serves a stand-in on a loopback port until the fleet closes and returns its base URL.
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

func listen() (net.Listener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	return l, errors.Wrap(err, "listen")
}
