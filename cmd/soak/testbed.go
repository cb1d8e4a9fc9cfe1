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
	bigAccount           = "big"
	smallAccount         = "small"
	smallTokensPerSecond = 400.0
	smallBurstTokens     = 400.0
	// reconnectTime is the calm that a gateway needs before promises to gateways in touch hold again.
	reconnectTime = 3 * time.Second
	// recoveryTime is the time after the last fault in which the system must serve everything again.
	recoveryTime = 12 * time.Second
	// drainGrace is the time from SIGTERM to SIGKILL.
	drainGrace = 8 * time.Second
	// readinessInterval is the pause between two questions whether a gateway is ready.
	readinessInterval = 300 * time.Millisecond
	// heartbeatInterval is the pause between two entries of an endpoint in the store.
	heartbeatInterval = time.Second
	keysPerAccount    = 4
	stagePrefill      = "prefill"
	stageDecode       = "decode"
	// services and limits are parts of each configuration.
	services = `[{"name":"llm","engine_kind":{"slot_count":12,"kv_capacity":100000,"kv_hold_s":0.5,"page_stride":10}},{"name":"desk"}]`
	limits   = `{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}`
)

// initialStages are those of the endpoints at first; plain services have none.
var initialStages = []string{stagePrefill, stagePrefill, stageDecode, stageDecode, stageDecode, stageDecode, "", "", "", ""}

var bounds = verifier.Bounds{
	RevokeDeadline: 5 * time.Second, DrainDeadline: 2 * time.Second, CancelDeadline: time.Second, LimitWindow: 8 * time.Second, OverageRatio: 0.25, SlackTokens: 2000,
	RetriesPerRequest: 0.2, ExtraRetries: 52, RetryWindow: 10 * time.Second,
}

// gateway is one process of the system and its own path to the store.
type gateway struct {
	name       string
	address    string
	process    *launcher.Launcher
	storeProxy *proxier.Proxier
	// ready tells what the gateway answered to the latest question.
	ready bool
}

// endpoint is a stand-in and the path to it.
type endpoint struct {
	*standin.Endpoint
	proxy   *proxier.Proxier
	leaving bool
}

// faultPeriod is a time in which a fault was in force; to is zero while it goes on.
type faultPeriod struct {
	fault    string
	from, to time.Time
}

// testbed is a system of real processes between stand-ins.
type testbed struct {
	dir      string
	log      *log.Logger
	rng      *rand.Rand
	store    *standin.Store
	gateways []*gateway

	mu           sync.Mutex
	endpoints    []*endpoint
	version      int
	keys         map[string][]string
	nextKey      int
	faultPeriods []*faultPeriod
	requests     []verifier.Request
	withdrawnAt  map[string]time.Time
	leavingSince map[string]time.Time
	shutdowns    []verifier.Shutdown
	faultCounts  map[string]int
}

// newTestbed starts stand-ins and gateways; slot keeps the addresses of worlds of one time apart.
func newTestbed(program, dir string, seed uint64, slot, gateways int) (*testbed, error) {
	b := &testbed{
		dir: dir, log: &log.Logger{Writer: &log.FileWriter{Filename: filepath.Join(dir, "faults.log")}}, rng: rand.New(rand.NewPCG(seed, 7)), store: standin.NewStore(), keys: map[string][]string{}, //nolint:gosec // a seeded test
		withdrawnAt: map[string]time.Time{}, leavingSince: map[string]time.Time{}, faultCounts: map[string]int{},
	}
	for _, account := range []string{bigAccount, smallAccount} {
		for range keysPerAccount {
			b.addKey(account)
		}
	}
	b.writeConfig()
	for i, stage := range initialStages {
		if err := b.addEndpoint(fmt.Sprintf("e%d", i), stage); err != nil {
			return nil, err
		}
	}
	for i := range gateways {
		if err := b.addGateway(program, slot, i); err != nil {
			return nil, err
		}
	}
	return b, nil
}

// gatewayAddress returns the loopback address of a gateway, another one for each slot and, nearly always, for each soak on a machine.
func gatewayAddress(slot, gateway int) string {
	return fmt.Sprintf("127.%d.%d.%d", 20+slot, os.Getpid()%250, gateway+1)
}

func (b *testbed) addGateway(program string, slot, i int) error {
	ip := gatewayAddress(slot, i)
	name := fmt.Sprintf("g%d", i)
	storeProxy, err := proxier.New(b.store.Address())
	if err != nil {
		return err
	}
	settings, err := b.writeSettings(name, ip, string(rune('a'+i%3)), storeProxy.Address(), slot)
	if err != nil {
		return err
	}
	process := launcher.New(launcher.Program{
		Path: program, Arguments: []string{"edge"}, Environment: []string{platform.SettingsEnvVar + "=" + settings},
		LogPath: filepath.Join(b.dir, name+".log"),
	})
	b.gateways = append(b.gateways, &gateway{name: name, address: ip, process: process, storeProxy: storeProxy})
	return process.Start()
}

// writeSettings writes the settings file of a gateway and returns its path.
func (b *testbed) writeSettings(name, ip, domain, store string, slot int) (string, error) {
	content, err := json.Marshal(map[string]any{
		"node": name, "ip": ip, "zone": domain,
		"listen":     map[string]string{"front": ip + ":8360", "ready": ip + ":8365", "control": ip + ":8367"},
		"port_range": []int{7500, 7515}, "seed_addrs": []string{gatewayAddress(slot, 0) + ":8367", gatewayAddress(slot, 1) + ":8367"},
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
	path := filepath.Join(b.dir, name+".json")
	return path, errors.Wrap(os.WriteFile(path, content, 0o600), "write settings")
}

func (b *testbed) addEndpoint(id, stage string) error {
	service := modelService
	if stage == "" {
		service = plainService
	}
	e, err := standin.NewEndpoint(id, service, string(rune('a'+b.rng.IntN(3))), stage)
	if err != nil {
		return errors.Wrap(err, "start endpoint")
	}
	proxy, err := proxier.New(e.Address())
	if err != nil {
		return err
	}
	e.NameRequest, e.AdvertisedAddress, e.EventsPerStream, e.EventInterval, e.ServiceTime = true, proxy.Address(), eventsPerStream, 20*time.Millisecond, 20*time.Millisecond
	b.mu.Lock()
	b.endpoints = append(b.endpoints, &endpoint{Endpoint: e, proxy: proxy})
	b.mu.Unlock()
	b.store.Put(e.StoreEntry("ready"))
	return nil
}

// addKey gives an account one more key. The lock must be held, or the world be new.
func (b *testbed) addKey(account string) {
	b.nextKey++
	b.keys[account] = append(b.keys[account], fmt.Sprintf("key-%s-%d", account, b.nextKey))
}

// route and account are parts of the configuration as operators write it.
type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	Kind            string `json:"kind"`
	Service         string `json:"service"`
	TimeoutMS       int    `json:"timeout_ms"`
	TargetLatencyMS int    `json:"target_latency_ms"`
	MaxAttempts     int    `json:"max_attempts"`
	AllowResume     bool   `json:"allow_resume"`
}

func newRoute(name, kind, service string, attempts int, resume bool) route {
	return route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMS: 3000, TargetLatencyMS: 600,
		MaxAttempts: attempts, AllowResume: resume,
	}
}

type account struct {
	Name                 string   `json:"name"`
	Keys                 []string `json:"api_keys"`
	DefaultRequestTokens int      `json:"plain_tokens"`
	TokensPerSecond      float64  `json:"rate_per_s"`
	BurstTokens          float64  `json:"burst"`
}

// writeConfig writes the next configuration. Each version has a route of its own. The lock must be held, or the world be new.
func (b *testbed) writeConfig() {
	b.version++
	content, err := json.Marshal(map[string]any{
		"version": b.version,
		"routes": []route{
			newRoute("draft", "streaming", modelService, 3, true), newRoute("note", "streaming", modelService, 1, false),
			newRoute("book", "non_idempotent", plainService, 1, false), newRoute("read", "idempotent", plainService, 2, false),
			newRoute(versionRoute(b.version), "idempotent", plainService, 2, false),
		},
		"services": json.RawMessage(services),
		"limits":   json.RawMessage(limits),
		"tenants": []account{
			{Name: bigAccount, Keys: b.keys[bigAccount], DefaultRequestTokens: 200},
			{Name: smallAccount, Keys: b.keys[smallAccount], DefaultRequestTokens: 200, TokensPerSecond: smallTokensPerSecond, BurstTokens: smallBurstTokens},
		},
	})
	if err != nil {
		panic(err)
	}
	b.store.Put("op/config", content)
}

func versionRoute(version int) string {
	return fmt.Sprintf("version%d", version)
}

// withdrawKey takes a key from an account and gives it another.
func (b *testbed) withdrawKey(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old := b.keys[account][0]
	b.keys[account] = b.keys[account][1:]
	b.addKey(account)
	b.writeConfig()
	b.withdrawnAt[old] = time.Now()
}

// replaceEndpoint has an endpoint leave and another one with a new name take its place.
func (b *testbed) replaceEndpoint(i int) error {
	b.mu.Lock()
	old := b.endpoints[i%len(b.endpoints)]
	id := fmt.Sprintf("e%d", len(b.endpoints))
	alreadyLeaving := old.leaving
	old.leaving = true
	b.mu.Unlock()
	if alreadyLeaving {
		return nil
	}
	if err := b.addEndpoint(id, old.Stage); err != nil {
		return err
	}
	b.store.Put(old.StoreEntry("draining"))
	b.mu.Lock()
	b.leavingSince[old.ID] = time.Now()
	b.mu.Unlock()
	return nil
}

// beginFault notes that a fault is in force from now on; the returned function ends it.
func (b *testbed) beginFault(fault string) (end func()) {
	period := &faultPeriod{fault: fault, from: time.Now()}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faultPeriods = append(b.faultPeriods, period)
	kind, _, _ := strings.Cut(fault, " ")
	b.faultCounts[kind]++
	b.log.Info().Str("fault", fault).Msg("begins")
	return func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		period.to = time.Now()
		b.log.Info().Str("fault", fault).Msg("ends")
	}
}

// faultFree tells whether no fault that matches was in force from one time to another.
func (b *testbed) faultFree(from, to time.Time, matches func(what string) bool) bool {
	for _, period := range b.faultPeriods {
		if matches(period.fault) && period.from.Before(to) && (period.to.IsZero() || period.to.After(from)) {
			return false
		}
	}
	return true
}

// runProbe asks the gateways whether they are ready, as the platform's balancer does.
func (b *testbed) runProbe(stop <-chan struct{}) {
	client := &http.Client{Timeout: readinessInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		for _, g := range b.gateways {
			r, err := client.Get("http://" + g.address + ":8365/v1/readyz") //nolint:noctx // the client has a time-out
			ready := err == nil && r.StatusCode == http.StatusOK
			if err == nil {
				_ = r.Body.Close()
			}
			b.mu.Lock()
			g.ready = ready
			b.mu.Unlock()
		}
		select {
		case <-stop:
			return
		case <-time.After(readinessInterval):
		}
	}
}

// runHeartbeat writes the endpoints' entries again and again.
func (b *testbed) runHeartbeat(stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(heartbeatInterval):
		}
		b.mu.Lock()
		endpoints := append([]*endpoint(nil), b.endpoints...)
		b.mu.Unlock()
		for _, e := range endpoints {
			state := "ready"
			if e.leaving {
				state = "draining"
			}
			b.store.Put(e.StoreEntry(state))
		}
	}
}

// pickGateway returns a gateway that is ready, or any where none is.
func (b *testbed) pickGateway(rng *rand.Rand) *gateway {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ready []*gateway
	for _, g := range b.gateways {
		if g.ready {
			ready = append(ready, g)
		}
	}
	if len(ready) == 0 {
		ready = b.gateways
	}
	return ready[rng.IntN(len(ready))]
}

func (b *testbed) pickKey(account string, rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keys[account][rng.IntN(len(b.keys[account]))]
}

func (b *testbed) recordRequest(r verifier.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}

// history returns all that callers and endpoints have seen.
func (b *testbed) history(recoveredAt time.Time) verifier.History {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := verifier.History{
		Bounds: bounds, Requests: b.requests, WithdrawnAt: b.withdrawnAt, LeavingSince: b.leavingSince, RecoveredAt: recoveredAt,
		Limits: map[string]verifier.AccountLimit{smallAccount: {TokensPerSecond: smallTokensPerSecond, BurstTokens: smallBurstTokens}},
		FaultFree: func(from, to time.Time) bool {
			return b.faultFree(from.Add(-reconnectTime), to, func(string) bool { return true })
		},
	}
	for _, s := range b.shutdowns {
		if b.faultFree(s.StartedAt.Add(-reconnectTime), s.EndedAt, func(what string) bool { return excusesUncleanShutdown(what, s.Gateway) }) {
			h.Shutdowns = append(h.Shutdowns, s)
		}
	}
	for _, e := range b.endpoints {
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
				Disrupted:   (!r.Complete && !r.CallerDisconnected) || !b.faultFree(r.StartedAt, ended, func(what string) bool { return what == "path "+e.ID }),
				ReceivedKey: r.Header.Get(credentialHeader) != "",
			})
		}
	}
	return h
}

// excusesUncleanShutdown tells whether a fault excuses a gateway from an orderly end.
func excusesUncleanShutdown(fault, gateway string) bool {
	kind, target, _ := strings.Cut(fault, " ")
	switch kind {
	case "kill", "pause", "cut":
		return target == "all" || strings.HasPrefix(target, gateway)
	}
	return false
}

// close ends all processes and stand-ins.
func (b *testbed) close() {
	for _, g := range b.gateways {
		g.process.Close()
		g.storeProxy.Close()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.endpoints {
		e.proxy.Close()
		e.Close()
	}
	b.store.Close()
}
