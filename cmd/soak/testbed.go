package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/soak/verifier"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	modelService = "llm"
	plainService = "desk"
	// bigAccount has no limit; smallAccount has a limit that its callers exceed.
	bigAccount           = "big"
	smallAccount         = "small"
	smallTokensPerSecond = 400.0
	smallBurstTokens     = 400.0
	// reconnectTime is the time after a fault in which a gateway may still lack a connection to the store or its
	// peers. Promises that need these connections are not checked in it.
	reconnectTime = 3 * time.Second
	// recoveryTime is the time after the last fault from which every request must be served again.
	recoveryTime = 12 * time.Second
	// drainGrace is the time that a gateway has to exit after SIGTERM, before it gets SIGKILL.
	drainGrace = 8 * time.Second
	// readinessInterval is the time between two readiness checks of the gateways, and the timeout of each.
	readinessInterval = 300 * time.Millisecond
	// heartbeatInterval is the time between two writes of an endpoint's entry to the store.
	heartbeatInterval = time.Second
	keysPerAccount    = 4
	stagePrefill      = "prefill"
	stageDecode       = "decode"
	// services and limits are JSON parts of every configuration.
	services = `[{"name":"llm","health_path":"/healthz","engine_kind":{"slot_count":12,"kv_capacity":100000,"kv_hold_s":0.5,"page_stride":10}},{"name":"desk","health_path":"/healthz"}]`
	limits   = `{"max_header_bytes":16384,"max_body_bytes":100000,"header_timeout_ms":3000,"idle_timeout_ms":15000}`
)

// initialStages holds the stage of each endpoint that a testbed starts with. The stage of a plain service's
// endpoint is empty.
var initialStages = []string{
	stagePrefill, stagePrefill, stageDecode, stageDecode, stageDecode, stageDecode, "", "", "", "",
}

// bounds are the bounds that the gateways are configured with and that the verifier checks.
var bounds = verifier.Bounds{
	RevokeDeadline: 5 * time.Second, DrainDeadline: 2 * time.Second, CancelDeadline: time.Second,
	LimitWindow: 8 * time.Second, OverageRatio: 0.25, SlackTokens: 2000,
	RetriesPerRequest: 0.2, ExtraRetries: 52, RetryWindow: 10 * time.Second,
}

// faultPeriod is a period in which a fault was active; to is zero until the fault ends.
type faultPeriod struct {
	// fault is the kind of the fault, such as "kill", and its target after a space.
	fault    string
	from, to time.Time
}

// testbed is a system of gateway processes that use stand-ins of the platform's store and endpoints.
type testbed struct {
	// slot is different for parallel testbeds.
	slot int
	seed uint64
	// hangs is set if endpoints hang before some crashes.
	hangs bool
	// cutsAnswers is set while endpoints break off some of their answers.
	cutsAnswers atomic.Bool
	// dir holds the settings and logs of the gateways and the log of the faults.
	dir      string
	log      *log.Logger
	rng      *rand.Rand
	store    *standin.Store
	gateways []*gateway

	// mu guards the fields below, gateway.ready and endpoint.leaving.
	mu sync.Mutex
	// endpoints holds all endpoints ever started, including those that are leaving.
	endpoints []*endpoint
	// startedEndpoints is the number of endpoints for which an ID was assigned.
	startedEndpoints int
	// version is the version of the latest configuration, and config its content.
	version int
	config  []byte
	// copies holds the latest copies of the store, the oldest first.
	copies []standin.Copy
	// keys holds the valid API keys by client account; lastKeyNumber is the number in the newest key.
	keys          map[string][]string
	lastKeyNumber int
	faultPeriods  []*faultPeriod
	requests      []verifier.Request
	withdrawnAt   map[string]time.Time
	leavingSince  map[string]time.Time
	shutdowns     []verifier.Shutdown
	faultCounts   map[string]int
}

// newTestbed starts the stand-ins and the gateways, with settings and logs in dir. slot keeps the addresses of
// parallel testbeds apart.
func newTestbed(program, dir string, seed uint64, slot, gateways int, hangs bool) (*testbed, error) {
	b := &testbed{
		slot: slot, seed: seed, hangs: hangs, dir: dir, log: &log.Logger{Writer: &log.FileWriter{Filename: filepath.Join(dir, "faults.log")}},
		rng:   rand.New(rand.NewPCG(seed, 7)), //nolint:gosec // a seeded test
		store: standin.NewStore(), keys: map[string][]string{},
		withdrawnAt: map[string]time.Time{}, leavingSince: map[string]time.Time{}, faultCounts: map[string]int{},
	}
	for _, account := range []string{bigAccount, smallAccount} {
		for range keysPerAccount {
			b.addKey(account)
		}
	}
	b.writeConfig()
	for _, stage := range initialStages {
		if err := b.addEndpoint(stage); err != nil {
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

// writeSettings writes the settings file of a gateway and returns its path.
func (b *testbed) writeSettings(name, ip, domain, store string, slot int) (string, error) {
	content, err := json.Marshal(map[string]any{
		"node": name, "ip": ip, "zone": domain,
		"listen":     map[string]string{"front": ip + ":8360", "ready": ip + ":8365", "control": ip + ":8367"},
		"port_range": []int{7500, 7515},
		"seed_addrs": []string{gatewayAddress(slot, 0) + ":8367", gatewayAddress(slot, 1) + ":8367"},
		"limits":     map[string]any{"memory_mb": 128}, "platform": map[string]any{"address": store},
		"bounds": map[string]any{
			"drain_grace_s": drainGrace.Seconds(), "revoke_deadline_ms": bounds.RevokeDeadline.Milliseconds(),
			"retry_budget_ratio": bounds.RetriesPerRequest, "budget_extra": bounds.ExtraRetries,
			"budget_window_s": bounds.RetryWindow.Seconds(), "quota_window_s": bounds.LimitWindow.Seconds(),
			"quota_overage": bounds.OverageRatio, "quota_slack": bounds.SlackTokens,
		},
	})
	if err != nil {
		return "", errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(b.dir, name+".json")
	return path, errors.Wrap(os.WriteFile(path, content, 0o600), "write settings")
}

// addKey adds a new API key to an account. The caller must hold the lock, unless the testbed is not shared yet.
func (b *testbed) addKey(account string) {
	b.lastKeyNumber++
	b.keys[account] = append(b.keys[account], fmt.Sprintf("key-%s-%d", account, b.lastKeyNumber))
}

// route is a route in the configuration, in its JSON form.
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

// newRoute returns a route with the path prefix of its name and a timeout of 3 s.
func newRoute(name, kind, service string, maxAttempts int, allowResume bool) route {
	return route{
		Name: name, Host: "h", Prefix: "/" + name + "/", Kind: kind, Service: service, TimeoutMS: 3000, TargetLatencyMS: 600,
		MaxAttempts: maxAttempts, AllowResume: allowResume,
	}
}

// account is a client account in the configuration, in its JSON form.
type account struct {
	Name                 string   `json:"name"`
	Keys                 []string `json:"api_keys"`
	DefaultRequestTokens int      `json:"plain_tokens"`
	TokensPerSecond      float64  `json:"rate_per_s"`
	BurstTokens          float64  `json:"burst"`
}

// writeConfig writes the next version of the configuration to the store. Each version has a route that no other
// version has. The caller must hold the lock, unless the testbed is not shared yet.
func (b *testbed) writeConfig() {
	b.version++
	content, err := json.Marshal(map[string]any{
		"version": b.version,
		"routes": []route{
			newRoute(routeDraft, "streaming", modelService, 3, true), newRoute(routeNote, "streaming", modelService, 1, false),
			newRoute(routeBook, "non_idempotent", plainService, 1, false), newRoute(routeRead, "idempotent", plainService, 2, false),
			newRoute(versionRoute(b.version), "idempotent", plainService, 2, false),
		},
		"services": json.RawMessage(services),
		"limits":   json.RawMessage(limits),
		"tenants": []account{
			{Name: bigAccount, Keys: b.keys[bigAccount], DefaultRequestTokens: 200},
			{
				Name: smallAccount, Keys: b.keys[smallAccount], DefaultRequestTokens: 200,
				TokensPerSecond: smallTokensPerSecond, BurstTokens: smallBurstTokens,
			},
		},
	})
	if err != nil {
		panic(err)
	}
	b.config = content
	b.store.Put("op/config", content)
}

// versionRoute returns the name of the route that only the given version of the configuration has; checkVersions uses
// it.
func versionRoute(version int) string {
	return fmt.Sprintf("version%d", version)
}

// withdrawKey withdraws the oldest API key of an account and adds a new one.
func (b *testbed) withdrawKey(account string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	oldestKey := b.keys[account][0]
	b.keys[account] = b.keys[account][1:]
	b.addKey(account)
	b.writeConfig()
	b.withdrawnAt[oldestKey] = time.Now()
}

// beginFault records that a fault is active from now on, counts it by its kind and logs it. The returned function
// records its end.
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

// faultFree returns whether no fault for which matches returns true was active at any time between from and to. The
// caller must hold the lock or know that no fault is in progress.
func (b *testbed) faultFree(from, to time.Time, matches func(fault string) bool) bool {
	for _, period := range b.faultPeriods {
		if matches(period.fault) && period.from.Before(to) && (period.to.IsZero() || period.to.After(from)) {
			return false
		}
	}
	return true
}

// pickKey returns a random valid API key of an account.
func (b *testbed) pickKey(account string, rng *rand.Rand) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.keys[account][rng.IntN(len(b.keys[account]))]
}

// recordRequest adds the record of a request.
func (b *testbed) recordRequest(r verifier.Request) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.requests = append(b.requests, r)
}

// history returns the records of callers and endpoints and the operators' actions. Only the decode of a
// generation counts as a run.
func (b *testbed) history(recoveredAt time.Time) verifier.History {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := verifier.History{
		Bounds: bounds, Requests: b.requests, WithdrawnAt: b.withdrawnAt, LeavingSince: b.leavingSince,
		RecoveredAt: recoveredAt, MemoryLostAt: b.memoryLosses(),
		Limits: map[string]verifier.AccountLimit{
			smallAccount: {TokensPerSecond: smallTokensPerSecond, BurstTokens: smallBurstTokens},
		},
		Undisturbed: b.undisturbed,
		FaultFree: func(from, to time.Time) bool {
			return b.faultFree(from.Add(-reconnectTime), to, func(string) bool { return true })
		},
	}
	for _, s := range b.shutdowns {
		if b.faultFree(s.StartedAt.Add(-reconnectTime), s.EndedAt, func(fault string) bool {
			return excusesUncleanShutdown(fault, s.Gateway)
		}) {
			h.Shutdowns = append(h.Shutdowns, s)
		}
	}
	for _, e := range b.endpoints {
		addSignals(&h, e)
		crashedAt := e.CrashedAt()
		for _, r := range e.Runs() {
			endedAt := r.EndedAt
			if endedAt.IsZero() {
				endedAt = time.Now()
			}
			crashed := !crashedAt.IsZero() && !endedAt.Before(crashedAt)
			run := verifier.Run{
				ID: r.RequestID, Account: r.Account, Endpoint: e.ID, StartedAt: r.StartedAt, EndedAt: r.EndedAt,
				Crashed: crashed && isCrashing(r),
				Disrupted: crashed || (!r.Complete && !r.CallerDisconnected) ||
					!b.faultFree(r.StartedAt, endedAt, func(fault string) bool { return fault == "path "+e.ID }),
				Unmarked:      r.Answer.Unframed,
				EndedUnmarked: endedUnmarked(r),
				ReceivedKey:   r.Header.Get(credentialHeader) != "",
			}
			if r.IsPrefill {
				h.Prefills = append(h.Prefills, run)
				continue
			}
			h.Runs = append(h.Runs, run)
		}
	}
	return h
}

// excusesUncleanShutdown returns whether a fault permits a gateway to cut off requests when it shuts down: a kill,
// a pause or a fault on its path to the store.
func excusesUncleanShutdown(fault, gateway string) bool {
	kind, target, _ := strings.Cut(fault, " ")
	switch kind {
	case "kill", "pause", "cut":
		return target == "all" || strings.HasPrefix(target, gateway)
	}
	return false
}

// close kills all gateways and closes the proxies and the stand-ins.
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
