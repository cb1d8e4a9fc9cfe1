package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPageItems is the largest number of items in one page of the store.
const maxPageItems = 500

// item is an item of the store, or a change of one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	LeaseID  uint64 `json:"lease_id"`
	IsGone   bool   `json:"is_gone,omitempty"`
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	changed  chan struct{}
	server   *http.Server
	record   *record
}

func newStore(address string, rec *record) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{items: map[string]item{}, revision: 1, changed: make(chan struct{}), record: rec}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes an item and returns the time of the store's confirmation.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.change(item{Key: key, Value: b})
}

// remove removes an item and returns the time of the store's confirmation.
func (s *store) remove(key string) time.Time {
	return s.change(item{Key: key, IsGone: true})
}

func (s *store) change(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision, i.Created = s.revision, s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.IsGone {
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// ServeHTTP answers reads and watches.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	prefix := r.FormValue("prefix")
	switch r.URL.Path {
	case "/v1/kv-key":
		s.mu.Lock()
		i, ok := s.items[r.FormValue("key")]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, i)
	case "/v1/kv-range":
		s.mu.Lock()
		defer s.mu.Unlock()
		var found []item
		for key, i := range s.items {
			if strings.HasPrefix(key, prefix) && key > r.FormValue("after") {
				found = append(found, i)
			}
		}
		sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
		more := len(found) > maxPageItems
		found = found[:min(len(found), maxPageItems)]
		writeJSON(w, map[string]any{"items": found, "has_more": more, "at": s.revision})
	case "/v1/kv-watch":
		after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
		wait, err2 := strconv.Atoi(r.FormValue("wait_ms"))
		if err != nil || err2 != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.watch(w, r, prefix, after, time.Duration(wait)*time.Millisecond)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		s.mu.Lock()
		var events []item
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, prefix) {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			writeJSON(w, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

// route is a route of the configuration. The figures are those of the site kalvo-track.
type route struct {
	Name        string `json:"name"`
	Host        string `json:"host"`
	Prefix      string `json:"prefix"`
	Kind        string `json:"kind"`
	Timeout     int    `json:"timeout_ms"`
	Target      int    `json:"target_latency_ms"`
	Priority    int    `json:"priority"`
	Service     string `json:"service"`
	MaxAttempts int    `json:"max_attempts"`
	SkipAuth    bool   `json:"skip_auth"`
	UseAffinity bool   `json:"use_affinity"`
	AllowResume bool   `json:"allow_resume"`
	GapAim      int    `json:"gap_aim_ms"`
}

const (
	host    = "ficu95.example"
	apiKey  = "3d3zji9n73hh2b9wu3fe"
	account = "huka270"
	// modelService and plainService are the services of the deployment.
	modelService = "kalvo-llm"
	plainService = "kalvo-app"
)

// The paths of the routes.
const (
	lotSummary = "/lohu930/2f"
	ncrDraft   = "/pufi791/2f"
	rackBook   = "/pule252/2f"
	statusRead = "/puxa403/2f"
)

// config returns the configuration of the deployment, with the keys of its account.
func config(version, tokensPerEvent int, keys ...string) any {
	return map[string]any{
		"version": version,
		"routes": []route{
			{"lot-summary", host, "/lohu930/", "streaming", 14000, 900, 1, modelService, 2, false, true, true, 300},
			{"ncr-draft", host, "/pufi791/", "streaming", 14000, 900, 1, modelService, 1, false, true, false, 300},
			{"rack-book", host, "/pule252/", "non_idempotent", 2000, 300, 2, plainService, 1, false, false, false, 0},
			{"status-read", host, "/puxa403/", "idempotent", 2000, 300, 2, plainService, 2, false, false, false, 0},
		},
		"services": []any{
			map[string]any{
				"name": modelService, "health_path": "/healthz", "max_conns": 146, "protocol": "h1", "use_tls": false,
				"engine_kind": map[string]any{
					"slot_count": modelSlots, "kv_capacity": kvCapacity, "kv_token_bytes": 35136, "link_mbps": 2900000.0, "moves": true,
					"backups": true, "page_stride": tokensPerEvent, "most": 12, "kv_hold_s": 0.5, "role_switch_s": 6.0, "pin_ms": 4000.0,
					"hold_ms": 2000.0, "models": []any{map[string]any{"name": "m"}},
				},
			},
			map[string]any{"name": plainService, "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "use_tls": false},
		},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
		"tenants": []any{map[string]any{
			"name": account, "api_keys": keys, "priority": 1, "unit": "token_stream", "plain_tokens": 200,
			"rate_per_s": 1174820, "burst": 1174820,
		}},
	}
}

// settings returns the settings of gateway number n of a deployment whose addresses begin with net.
func settings(n int, network string, storeAddress string, seeds int) any {
	ip := gatewayIP(network, n)
	var seedAddrs []string
	for i := range min(3, seeds) {
		seedAddrs = append(seedAddrs, gatewayIP(network, i)+":8367")
	}
	zone := fmt.Sprintf("fi-south-%c", 'a'+n%4)
	return map[string]any{
		"node": "edge-" + zone + "-1", "role": "gateway", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
		"ip": ip, "zone": zone, "region": "fi-south",
		"zones":      map[string]string{"fi-south-a": "fi-south", "fi-south-b": "fi-south", "fi-south-c": "fi-south", "fi-south-d": "fi-south"},
		"listen":     map[string]string{"front": ip + ":8360", "ready": ip + ":8365", "control": ip + ":8367"},
		"port_range": []int{7500, 7515}, "seed_addrs": seedAddrs, "bootstrap": false, "loss_counts": false,
		"limits":   map[string]any{"cpu_share": 0.304, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
		"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
		"active_contracts": []string{"base", "drain", "config", "cost", "retry", "recover", "split", "stream", "engine", "tenants", "quota", "platform"},
		"fault_tolerance":  map[string]int{"machine_losses": 2, "zones": 0, "region_losses": 0},
		"bounds": map[string]any{
			"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "order_ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
			"drain_grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
			"strict_revoke": true, "revoke_deadline_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10, "budget_extra": 52,
			"quota_window_s": 8, "quota_overage": 0.25, "quota_slack": 120000, "recovery_s": 12, "transit_ms": 120, "again_s": 3.4,
			"require_fencing": true, "lease_ms": 3000, "thaw_slack_ms": 300,
		},
		"platform": map[string]any{
			"address": storeAddress, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20, "value_bytes": 1048576,
			"ttl_min_ms": 1000,
		},
	}
}

// gatewayIP returns the address of gateway number n.
func gatewayIP(network string, n int) string {
	return fmt.Sprintf("%s.%d", network, n+1)
}
