package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/soak/launcher"
	"github.com/pistachiovane/pistachiovane/internal/soak/proxier"
	"github.com/pistachiovane/pistachiovane/internal/soak/verifier"
	"github.com/pistachiovane/pistachiovane/platform"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	modelService = "llm"
	plainService = "desk"
	// bigAccount has no limit, smallAccount one that its callers exceed.
	bigAccount   = "big"
	smallAccount = "small"
	smallRate    = 400.0
	smallBurst   = 400.0
	// contact is the calm that a gateway needs before promises to gateways in touch hold again.
	contact = 3 * time.Second
	// recovery is the time after the last fault in which the system must serve everything again.
	recovery = 12 * time.Second
	// drainGrace is the time from SIGTERM to SIGKILL.
	drainGrace = 8 * time.Second
	// probeEvery is the pause between two questions whether a gateway is ready.
	probeEvery = 300 * time.Millisecond
	// heartbeatEvery is the pause between two entries of an endpoint in the store.
	heartbeatEvery = time.Second
	keysEach       = 4
	stagePrefill   = "prefill"
	stageDecode    = "decode"
	// services and limits are parts of each configuration.
	services = `[{"name":"llm","engine_kind":{"slot_count":12,"kv_capacity":100000,"kv_hold_s":0.5,"page_stride":10}},{"name":"desk"}]`
	limits   = `{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}`
)

// stages are those of the endpoints at first; plain services have none.
var stages = []string{stagePrefill, stagePrefill, stageDecode, stageDecode, stageDecode, stageDecode, "", "", "", ""}

var bounds = verifier.Bounds{
	RevokeDeadline: 5 * time.Second, DrainDeadline: 2 * time.Second, CancelDeadline: time.Second, LimitWindow: 8 * time.Second, OverageRatio: 0.25, SlackTokens: 2000,
	RetriesPerRequest: 0.2, ExtraRetries: 52, RetryWindow: 10 * time.Second,
}

// gateway is one process of the system and its own path to the store.
type gateway struct {
	name    string
	address string
	process *launcher.Launcher
	store   *proxier.Proxier
	// ready tells what the gateway answered to the latest question.
	ready bool
}

// endpoint is a stand-in and the path to it.
type endpoint struct {
	*standin.Endpoint
	path *proxier.Proxier
	left bool
}

// disruption is a time in which a fault was in force; to is zero while it goes on.
type disruption struct {
	what     string
	from, to time.Time
}

// world is a system of real processes between stand-ins.
type world struct {
	dir      string
	log      *log.Logger
	rng      *rand.Rand
	store    *standin.Store
	gateways []*gateway

	mu          sync.Mutex
	endpoints   []*endpoint
	version     int
	keys        map[string][]string
	nextKey     int
	disruptions []*disruption
	requests    []verifier.Request
	withdrawn   map[string]time.Time
	leaving     map[string]time.Time
	stops       []verifier.Shutdown
	injected    map[string]int
}

// newWorld starts stand-ins and gateways; slot keeps the addresses of worlds of one time apart.
func newWorld(program, dir string, seed uint64, slot, gateways int) (*world, error) {
	w := &world{
		dir: dir, log: &log.Logger{Writer: &log.FileWriter{Filename: filepath.Join(dir, "faults.log")}}, rng: rand.New(rand.NewPCG(seed, 7)), store: standin.NewStore(), keys: map[string][]string{}, //nolint:gosec // a seeded test
		withdrawn: map[string]time.Time{}, leaving: map[string]time.Time{}, injected: map[string]int{},
	}
	for _, account := range []string{bigAccount, smallAccount} {
		for range keysEach {
			w.addKey(account)
		}
	}
	w.configure()
	for i, stage := range stages {
		if err := w.addEndpoint(fmt.Sprintf("e%d", i), stage); err != nil {
			return nil, err
		}
	}
	for i := range gateways {
		if err := w.addGateway(program, slot, i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// address returns the loopback address of a gateway, another one for each slot and, nearly always, for each soak on a machine.
func address(slot, gateway int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+slot, os.Getpid()%250, gateway+1)
}

func (w *world) addGateway(program string, slot, i int) error {
	ip := address(slot, i)
	name := fmt.Sprintf("g%d", i)
	store, err := proxier.New(w.store.Address())
	if err != nil {
		return err
	}
	settings, err := w.writeSettings(name, ip, string(rune('a'+i%3)), store.Address(), slot)
	if err != nil {
		return err
	}
	process := launcher.New(launcher.Program{
		Path: program, Arguments: []string{"edge"}, Environment: []string{platform.SettingsEnvVar + "=" + settings},
		LogPath: filepath.Join(w.dir, name+".log"),
	})
	w.gateways = append(w.gateways, &gateway{name: name, address: ip, process: process, store: store})
	return process.Start()
}

// writeSettings writes the settings file of a gateway and returns its path.
func (w *world) writeSettings(name, ip, domain, store string, slot int) (string, error) {
	content, err := json.Marshal(map[string]any{
		"node": name, "ip": ip, "zone": domain,
		"listen":     map[string]string{"front": ip + ":8360", "ready": ip + ":8365", "control": ip + ":8367"},
		"port_range": []int{7500, 7515}, "seed_addrs": []string{address(slot, 0) + ":8367", address(slot, 1) + ":8367"},
		"limits": map[string]any{"memory_mb": 128}, "platform": map[string]any{"address": store},
		"bounds": map[string]any{
			"drain_grace_s": drainGrace.Seconds(), "revoke_deadline_ms": bounds.RevokeDeadline.Milliseconds(),
			"retry_budget_ratio": bounds.RetriesPerRequest, "budget_extra": bounds.ExtraRetries, "budget_window_s": bounds.RetryWindow.Seconds(),
			"quota_window_s": bounds.LimitWindow.Seconds(), "quota_overage": bounds.OverageRatio, "quota_slack": bounds.SlackTokens,
		},
	})
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(w.dir, name+".json")
	return path, errors.Wrap(os.WriteFile(path, content, 0o600), "write settings")
}

func (w *world) addEndpoint(id, stage string) error {
	service := modelService
	if stage == "" {
		service = plainService
	}
	e, err := standin.NewEndpoint(id, service, string(rune('a'+w.rng.IntN(3))), stage)
	if err != nil {
		return errors.Wrap(err, "start endpoint")
	}
	path, err := proxier.New(e.Address())
	if err != nil {
		return err
	}
	e.NameRequest, e.AdvertisedAddress, e.EventsPerStream, e.EventInterval, e.ServiceTime = true, path.Address(), eventsEach, 20*time.Millisecond, 20*time.Millisecond
	w.mu.Lock()
	w.endpoints = append(w.endpoints, &endpoint{Endpoint: e, path: path})
	w.mu.Unlock()
	w.store.Put(e.StoreEntry("ready"))
	return nil
}

// addKey gives an account one more key. The lock must be held, or the world be new.
func (w *world) addKey(account string) {
	w.nextKey++
	w.keys[account] = append(w.keys[account], fmt.Sprintf("key-%s-%d", account, w.nextKey))
}

// route and account are parts of the configuration as operators write it.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	Service     string `json:"service"`
	TimeoutMS   int    `json:"timeout_ms"`
	TargetMS    int    `json:"target_latency_ms"`
	MaxAttempts int    `json:"max_attempts"`
	Resume      bool   `json:"allow_resume"`
}

func newRoute(name, kind, service string, attempts int, resume bool) route {
	return route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMS: 3000, TargetMS: 600,
		MaxAttempts: attempts, Resume: resume,
	}
}

type account struct {
	Name   string   `json:"name"`
	Keys   []string `json:"api_keys"`
	Plain  int      `json:"plain_tokens"`
	PerSec float64  `json:"rate_per_s"`
	Burst  float64  `json:"burst"`
}

// configure writes the next configuration. Each version has a route of its own. The lock must be held, or the world be new.
func (w *world) configure() {
	w.version++
	content, err := json.Marshal(map[string]any{
		"version": w.version,
		"routes": []route{
			newRoute("draft", "streaming", modelService, 3, true), newRoute("note", "streaming", modelService, 1, false),
			newRoute("book", "non_idempotent", plainService, 1, false), newRoute("read", "idempotent", plainService, 2, false),
			newRoute(versionRoute(w.version), "idempotent", plainService, 2, false),
		},
		"services": json.RawMessage(services),
		"limits":   json.RawMessage(limits),
		"tenants": []account{
			{Name: bigAccount, Keys: w.keys[bigAccount], Plain: 200},
			{Name: smallAccount, Keys: w.keys[smallAccount], Plain: 200, PerSec: smallRate, Burst: smallBurst},
		},
	})
	if err != nil {
		panic(err)
	}
	w.store.Put("op/config", content)
}

func versionRoute(version int) string {
	return fmt.Sprintf("version%d", version)
}

// withdraw takes a key from an account and gives it another.
func (w *world) withdraw(account string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.keys[account][0]
	w.keys[account] = w.keys[account][1:]
	w.addKey(account)
	w.configure()
	w.withdrawn[old] = time.Now()
}

// replace has an endpoint leave and another one with a new name take its place.
func (w *world) replace(i int) error {
	w.mu.Lock()
	old := w.endpoints[i%len(w.endpoints)]
	id := fmt.Sprintf("e%d", len(w.endpoints))
	again := old.left
	old.left = true
	w.mu.Unlock()
	if again {
		return nil
	}
	if err := w.addEndpoint(id, old.Stage); err != nil {
		return err
	}
	w.store.Put(old.StoreEntry("draining"))
	w.mu.Lock()
	w.leaving[old.ID] = time.Now()
	w.mu.Unlock()
	return nil
}

// disrupted notes that a fault is in force from now on; the returned function ends it.
func (w *world) disrupted(what string) (end func()) {
	h := &disruption{what: what, from: time.Now()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disruptions = append(w.disruptions, h)
	verb, _, _ := strings.Cut(what, " ")
	w.injected[verb]++
	w.log.Info().Str("fault", what).Msg("begins")
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		h.to = time.Now()
		w.log.Info().Str("fault", what).Msg("ends")
	}
}

// calm tells whether no fault that matches was in force from one time to another.
func (w *world) calm(from, to time.Time, matches func(what string) bool) bool {
	for _, h := range w.disruptions {
		if matches(h.what) && h.from.Before(to) && (h.to.IsZero() || h.to.After(from)) {
			return false
		}
	}
	return true
}

// runProbe asks the gateways whether they are ready, as the platform's balancer does.
func (w *world) runProbe(stop <-chan struct{}) {
	client := &http.Client{Timeout: probeEvery, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, g := range w.gateways {
			r, err := client.Get("http://" + g.address + ":8365/v1/readyz") //nolint:noctx // the client has a time-out
			ready := err == nil && r.StatusCode == http.StatusOK
			if err == nil {
				_ = r.Body.Close()
			}
			w.mu.Lock()
			g.ready = ready
			w.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(probeEvery):
		}
	}
}

// runHeartbeat writes the endpoints' entries again and again.
func (w *world) runHeartbeat(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeatEvery):
		}
		w.mu.Lock()
		endpoints := append([]*endpoint(nil), w.endpoints...)
		w.mu.Unlock()
		for _, e := range endpoints {
			state := "ready"
			if e.left {
				state = "draining"
			}
			w.store.Put(e.StoreEntry(state))
		}
	}
}

// pick returns a gateway that is ready, or any where none is.
func (w *world) pick(rng *rand.Rand) *gateway {
	w.mu.Lock()
	defer w.mu.Unlock()
	var ready []*gateway
	for _, g := range w.gateways {
		if g.ready {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = w.gateways
	}
	return ready[rng.IntN(len(ready))]
}

func (w *world) key(account string, rng *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.keys[account][rng.IntN(len(w.keys[account]))]
}

func (w *world) record(r verifier.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests = append(w.requests, r)
}

// history returns all that callers and endpoints have seen.
func (w *world) history(settled time.Time) verifier.History {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := verifier.History{
		Bounds: bounds, Requests: w.requests, WithdrawnAt: w.withdrawn, LeavingSince: w.leaving, RecoveredAt: settled,
		Limits: map[string]verifier.AccountLimit{smallAccount: {TokensPerSecond: smallRate, BurstTokens: smallBurst}},
		FaultFree: func(from, to time.Time) bool {
			return w.calm(from.Add(-contact), to, func(string) bool { return true })
		},
	}
	for _, s := range w.stops {
		if w.calm(s.StartedAt.Add(-contact), s.EndedAt, func(what string) bool { return endsBadly(what, s.Gateway) }) {
			h.Shutdowns = append(h.Shutdowns, s)
		}
	}
	for _, e := range w.endpoints {
		for _, r := range e.Runs() {
			if r.IsPrefill {
				continue
			}
			ended := r.EndedAt
			if ended.IsZero() {
				ended = time.Now()
			}
			h.Runs = append(h.Runs, verifier.Run{
				ID: r.RequestID, Account: r.Account, Endpoint: e.ID, StartedAt: r.StartedAt, EndedAt: r.EndedAt,
				Disrupted:   (!r.Complete && !r.CallerDisconnected) || !w.calm(r.StartedAt, ended, func(what string) bool { return what == "path "+e.ID }),
				ReceivedKey: r.Header.Get(keyHeader) != "",
			})
		}
	}
	return h
}

// endsBadly tells whether a fault excuses a gateway from an orderly end.
func endsBadly(what, gateway string) bool {
	verb, rest, _ := strings.Cut(what, " ")
	switch verb {
	case "kill", "pause", "cut":
		return rest == "all" || strings.HasPrefix(rest, gateway)
	}
	return false
}

// close ends all processes and stand-ins.
func (w *world) close() {
	for _, g := range w.gateways {
		g.process.Close()
		g.store.Close()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		e.path.Close()
		e.Close()
	}
	w.store.Close()
}
