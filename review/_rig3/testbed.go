// The rig of the third review: gateway processes between clients and stand-ins of the platform, on loopback addresses.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/launcher"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	heartbeat = 1200 * time.Millisecond
	contact   = 3 * time.Second
	apiKey    = "3d3zji9n73hh2b9wu3fe"
	tenant    = "huka270"
)

// replica is a stand-in of a replica over all its starts at one address.
type replica struct {
	service, zone, stage string
	address              string
	configure            func(e *standin.Endpoint)

	mu        sync.Mutex
	endpoint  *standin.Endpoint
	started   int
	state     string
	crashedAt time.Time
	unlisted  bool
	// past holds the endpoints of earlier starts.
	past []*standin.Endpoint
}

// edge is one gateway.
type edge struct {
	name, ip string
	process  *launcher.Launcher
}

// bed is a small deployment.
type bed struct {
	dir      string
	program  string
	start    time.Time
	store    *standin.Store
	edges    []*edge
	replicas []*replica
	record   *os.File
	recordMu sync.Mutex
	stop     chan struct{}
	client   *http.Client
	nextID   atomic.Uint64
	version  int
	// restartAfter is how long a replica that crashed is away.
	restartAfter time.Duration
	// soundSent holds the requests without the bad part, by ID.
	soundMu   sync.Mutex
	soundSent map[string]answer
}

func newBed(program, folder string) *bed {
	dir, err := os.MkdirTemp("", "rig3-")
	check(err)
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	check(err)
	return &bed{
		dir: dir, program: program, start: time.Now(), store: standin.NewStore(), record: record, stop: make(chan struct{}),
		client: &http.Client{Transport: &http.Transport{
			DisableCompression: true, MaxIdleConnsPerHost: 64, IdleConnTimeout: 5 * time.Second,
		}},
		restartAfter: 4 * time.Second, soundSent: map[string]answer{},
	}
}

func check(err error) {
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
}

// note writes a line to record.txt, with the time since the start.
func (b *bed) note(format string, a ...any) {
	b.recordMu.Lock()
	defer b.recordMu.Unlock()
	fmt.Fprintf(b.record, "%8.3f  %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, a...))
}

func (b *bed) say(format string, a ...any) {
	b.note(format, a...)
	fmt.Printf("%8.3f  %s\n", time.Since(b.start).Seconds(), fmt.Sprintf(format, a...))
}

// addReplica starts a replica. Its entry is written every heartbeat until it has crashed.
func (b *bed) addReplica(service, zone, stage string, configure func(e *standin.Endpoint)) *replica {
	r := &replica{service: service, zone: zone, stage: stage, configure: configure, state: "ready", address: "127.0.0.1:0"}
	b.replicas = append(b.replicas, r)
	b.startReplica(r)
	return r
}

func (b *bed) startReplica(r *replica) {
	r.started++
	id := fmt.Sprintf("i-%s%d-%d", r.service, len(b.replicas), r.started)
	if r.endpoint != nil {
		id = strings.TrimSuffix(r.endpoint.ID, fmt.Sprintf("-%d", r.started-1)) + fmt.Sprintf("-%d", r.started)
	}
	e, err := standin.NewEndpointAt(r.address, id, r.service, r.zone, r.stage, func(e *standin.Endpoint) {
		e.EchoRequestID = true
		e.EventsPerStream, e.EventInterval, e.ServiceTime = 7, 40*time.Millisecond, 40*time.Millisecond
		if r.configure != nil {
			r.configure(e)
		}
	})
	check(err)
	if r.endpoint != nil {
		r.past = append(r.past, r.endpoint)
	}
	r.endpoint, r.address, r.state, r.crashedAt, r.unlisted = e, e.Address(), "ready", time.Time{}, false
	b.store.Put(e.StoreEntry("ready"))
}

// ends returns the endpoints of all starts of a replica.
func (r *replica) ends() []*standin.Endpoint {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append(append([]*standin.Endpoint(nil), r.past...), r.endpoint)
}

// keepReplicas writes heartbeats, removes the entries of replicas that crashed after three heartbeats, and starts these again.
func (b *bed) keepReplicas() {
	last := map[*replica]time.Time{}
	for {
		select {
		case <-b.stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
		for _, r := range b.replicas {
			r.mu.Lock()
			e := r.endpoint
			crashed := e.CrashedAt()
			switch {
			case crashed.IsZero():
				if time.Since(last[r]) >= heartbeat && !r.unlisted {
					last[r] = time.Now()
					b.store.Put(e.StoreEntry(r.state))
				}
			default:
				if r.crashedAt.IsZero() {
					r.crashedAt = crashed
					b.note("replica %s crashed", e.ID)
				}
				if !r.unlisted && time.Since(last[r]) >= 3*heartbeat {
					r.unlisted = true
					key, _ := e.StoreEntry("ready")
					b.store.Remove(key)
					b.note("entry of %s expires", e.ID)
				}
				if time.Since(crashed) >= b.restartAfter {
					if !r.unlisted {
						key, _ := e.StoreEntry("ready")
						go func() {
							time.Sleep(time.Until(last[r].Add(3 * heartbeat)))
							b.store.Remove(key)
						}()
					}
					b.startReplica(r)
					last[r] = time.Now()
					b.note("replica %s is back as %s", e.ID, r.endpoint.ID)
				}
			}
			r.mu.Unlock()
		}
	}
}

// putConfig writes the next version of the configuration.
func (b *bed) putConfig(change func(c map[string]any)) {
	b.version += 3
	route := func(name, kind, service string, attempts int, resume bool, timeout, target int) map[string]any {
		return map[string]any{
			"name": name, "host": "h", "prefix": "/" + name + "/", "kind": kind, "service": service, "timeout_ms": timeout,
			"target_latency_ms": target, "priority": 1, "max_attempts": attempts, "allow_resume": resume, "gap_aim_ms": 300,
			"use_affinity": kind == "streaming",
		}
	}
	c := map[string]any{
		"version": b.version,
		"routes": []map[string]any{
			route("summary", "streaming", "llm", 2, true, 14000, 900), route("note", "streaming", "llm", 1, false, 14000, 900),
			route("book", "non_idempotent", "app", 1, false, 2000, 300), route("read", "idempotent", "app", 2, false, 2000, 300),
		},
		"services": json.RawMessage(`[{"name":"llm","health_path":"/healthz","engine_kind":{"slot_count":12,"kv_capacity":106421,"kv_hold_s":0.5,"page_stride":10}},{"name":"app","health_path":"/healthz"}]`),
		"limits":   json.RawMessage(`{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}`),
		"tenants":  []map[string]any{{"name": tenant, "api_keys": []string{apiKey}, "plain_tokens": 200, "rate_per_s": 1e6, "burst": 1e6}},
	}
	if change != nil {
		change(c)
	}
	text, err := json.Marshal(c)
	check(err)
	b.store.Put("op/config", text)
}

// freeAddresses returns the loopback addresses of n gateways at which their ports are free.
func freeAddresses(n int) func(i int) string {
	for try := range 200 {
		net2, net3 := 60+(os.Getpid()/250+try)%150, (os.Getpid()+try)%250
		ip := func(i int) string { return fmt.Sprintf("127.%d.%d.%d", net2, net3, i+1) }
		free := true
		for i := range n {
			for _, port := range []string{"8360", "8365", "8367", "9464"} {
				l, err := net.Listen("tcp", ip(i)+":"+port)
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			return ip
		}
	}
	check(fmt.Errorf("no free loopback addresses"))
	return nil
}

// addEdges writes the settings of n gateways and starts them.
func (b *bed) addEdges(n int, storeAddress func(i int) string, extra func(s map[string]any)) {
	ip := freeAddresses(n)
	var seeds []string
	for i := range min(3, n) {
		seeds = append(seeds, ip(i)+":8367")
	}
	for i := range n {
		name := fmt.Sprintf("edge-%d", i+1)
		address := b.store.Address()
		if storeAddress != nil {
			address = storeAddress(i)
		}
		s := map[string]any{
			"node": name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
			"ip": ip(i), "zone": fmt.Sprintf("zone-%d", i%4), "region": "r",
			"listen":     map[string]string{"front": ip(i) + ":8360", "ready": ip(i) + ":8365", "control": ip(i) + ":8367"},
			"port_range": []int{7500, 7515}, "seed_addrs": seeds, "bootstrap": true,
			"limits":       map[string]any{"cpu_share": 0.304, "cpu_cores": 1, "memory_mb": 134, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
			"heartbeat_ms": heartbeat.Milliseconds(),
			"bounds":       json.RawMessage(`{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"order_ack_ms":4000,"catch_up_s":4,"drain_ms":2000,"drain_grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,"rollback_slack_ms":250,"max_stretch_ms":5000,"strict_revoke":true,"revoke_deadline_ms":5000,"retry_budget_ratio":0.2,"budget_window_s":10,"budget_extra":52,"quota_window_s":8,"quota_overage":0.25,"quota_slack":120000,"recovery_s":12,"transit_ms":120,"again_s":3.4,"require_fencing":true,"lease_ms":3000,"thaw_slack_ms":300}`),
			"platform":     map[string]any{"address": address, "form": "read", "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576},
		}
		if extra != nil {
			extra(s)
		}
		text, err := json.Marshal(s)
		check(err)
		path := filepath.Join(b.dir, name+".json")
		check(os.WriteFile(path, text, 0o600))
		p := launcher.New(launcher.Program{
			Path: b.program, Arguments: []string{"edge"}, Environment: []string{"PISTACHIOVANE_CONFIG=" + path},
			LogPath: filepath.Join(b.dir, name+".log"),
		})
		b.edges = append(b.edges, &edge{name: name, ip: ip(i), process: p})
		check(p.Start())
	}
}

// restart starts a gateway again, with the settings of a start that is not the first one of the whole system.
func (b *bed) restart(e *edge) {
	path := filepath.Join(b.dir, e.name+".json")
	text, err := os.ReadFile(path)
	check(err)
	var s map[string]any
	check(json.Unmarshal(text, &s))
	s["bootstrap"] = false
	text, err = json.Marshal(s)
	check(err)
	check(os.WriteFile(path, text, 0o600))
	check(e.process.Start())
}

// awaitReady waits until all gateways are ready.
func (b *bed) awaitReady() {
	until := time.Now().Add(10 * time.Second)
	for _, e := range b.edges {
		for !b.isReady(e) {
			if time.Now().After(until) {
				b.say("%s doesn't get ready", e.name)
				b.close()
				os.Exit(2)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func (b *bed) isReady(e *edge) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ip+":8365/v1/readyz", nil)
	r, err := b.client.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	select {
	case <-b.stop:
	default:
		close(b.stop)
	}
	for _, e := range b.edges {
		e.process.Signal(syscall.SIGCONT)
		e.process.Close()
	}
	for _, r := range b.replicas {
		r.mu.Lock()
		r.endpoint.Crash()
		r.mu.Unlock()
	}
	b.store.Close()
	_ = b.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("kept", b.dir)
	}
}

// answer is what a client got.
type answer struct {
	id      string
	edge    string
	sentAt  time.Duration
	endedAt time.Duration
	status  int
	sealed  bool
	header  http.Header
	body    string
	err     error
}

// send sends one request and reads its answer.
func (b *bed) send(e *edge, route string, parts string, budget time.Duration, set func(q *http.Request)) answer {
	n := b.nextID.Add(1)
	a := answer{id: fmt.Sprintf("%s-%d", route, n), edge: e.name, sentAt: time.Since(b.start)}
	ctx, cancel := context.WithTimeout(context.Background(), budget+500*time.Millisecond)
	defer cancel()
	q, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.ip+":8360/"+route+"/x", strings.NewReader("body of "+a.id))
	q.Host = "h"
	q.Header.Set("X-Pistachiovane-Attempt-Id", a.id)
	q.Header.Set("X-Pistachiovane-Credential", apiKey)
	q.Header.Set("X-Pistachiovane-Time-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	if parts != "" {
		q.Header.Set("X-Pistachiovane-Model", "m")
		q.Header.Set("X-Pistachiovane-Token-Counts", "5200,70")
		q.Header.Set("X-Pistachiovane-Prompt-Prefix", parts+","+strconv.FormatUint(0xe0000+n, 16)+":5000")
	}
	if set != nil {
		set(q)
	}
	r, err := b.client.Do(q)
	if err != nil {
		a.err, a.endedAt = err, time.Since(b.start)
		return a
	}
	body, err := io.ReadAll(r.Body)
	_ = r.Body.Close()
	a.status, a.header, a.body, a.err, a.endedAt = r.StatusCode, r.Header, string(body), err, time.Since(b.start)
	a.sealed = r.Header.Get("X-Pistachiovane-Server-Seal") != ""
	return a
}

func trouble() bool { return os.Getenv("TROUBLE") != "0" }
