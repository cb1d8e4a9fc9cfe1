package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// gateway is a process of the deploy file's role, on a loopback address of its own.
type gateway struct {
	name, ip      string
	front, ready  string
	settings, log string
	zone          string
	// store is the address at which the store serves this machine.
	store   string
	command *exec.Cmd
	ended   chan struct{}
}

const (
	frontPort, readyPort, controlPort = 8360, 8365, 8367
	firstPort, lastPort               = 7500, 7515
)

// newGateways writes the settings of n gateways into a folder. Their addresses are loopback addresses of a block of their own,
// so that the ports are free.
func (r *rig) newGateways(n int) []*gateway {
	var seeds []string
	for i := range n {
		if i < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", r.ip(10+i), controlPort))
		}
	}
	for i := range n {
		g := &gateway{name: fmt.Sprintf("edge-%c-1", 'a'+i), ip: r.ip(10 + i), zone: fmt.Sprintf("zone-%c", 'a'+i), store: r.store.newAddress()}
		g.front, g.ready = fmt.Sprintf("%s:%d", g.ip, frontPort), fmt.Sprintf("%s:%d", g.ip, readyPort)
		s := map[string]any{
			"node": g.name, "role": "gateway", "machine_class": "edge", "serves": []string{"edge", "control_plane"},
			"ip": g.ip, "zone": g.zone, "region": "region", "zones": map[string]string{g.zone: "region"},
			"listen":     map[string]string{"front": g.front, "ready": g.ready, "control": fmt.Sprintf("%s:%d", g.ip, controlPort)},
			"port_range": []int{firstPort, lastPort}, "seed_addrs": seeds, "bootstrap": true, "loss_counts": false,
			"limits": map[string]any{
				"cpu_share": 0.304, "cpu_cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0,
			},
			"data_dir": nil, "discovery": "platform", "entry": "vip", "heartbeat_ms": heartbeat.Milliseconds(),
			"bounds": map[string]any{
				"seed_lag_s": 3, "addr_reuse_s": 2, "contact_ms": 3000, "order_ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
				"drain_grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000,
				"strict_revoke": true, "revoke_deadline_ms": 5000, "retry_budget_ratio": 0.2, "budget_window_s": 10,
				"budget_extra": 52, "quota_window_s": 8, "quota_overage": 0.25, "quota_slack": 120000, "recovery_s": 12,
				"transit_ms": 120, "again_s": 3.4, "require_fencing": true, "lease_ms": 3000, "thaw_slack_ms": 300,
			},
			"platform": map[string]any{
				"address": g.store, "form": "read", "writes_per_s": 400, "reads_per_s": 2000, "history_s": 20,
				"value_bytes": 1048576, "ttl_min_ms": 1000,
			},
		}
		b, err := json.MarshalIndent(s, "", "  ")
		must(err)
		g.settings = filepath.Join(r.folder, g.name+".json")
		g.log = filepath.Join(r.folder, g.name+".log")
		must(os.WriteFile(g.settings, b, 0o600))
		r.gateways = append(r.gateways, g)
	}
	return r.gateways
}

// start starts the process as the deploy file does.
func (g *gateway) start() {
	f, err := os.OpenFile(g.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	g.command = exec.Command("target/pistachiovane", "edge")
	g.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PISTACHIOVANE_CONFIG=" + g.settings}
	g.command.Stdout, g.command.Stderr = f, f
	if err := g.command.Start(); err != nil {
		cannotRun("start %s: %v", g.name, err)
	}
	_ = f.Close()
	g.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) { _ = c.Wait(); close(ended) }(g.command, g.ended)
}

// signal sends a signal to the process.
func (g *gateway) signal(s syscall.Signal) {
	_ = g.command.Process.Signal(s)
}

// hasEnded reports whether the process has ended.
func (g *gateway) hasEnded() bool {
	select {
	case <-g.ended:
		return true
	default:
		return false
	}
}

// kill ends the process.
func (g *gateway) kill() {
	if g.command == nil || g.hasEnded() {
		return
	}
	_ = g.command.Process.Signal(syscall.SIGCONT)
	_ = g.command.Process.Kill()
	<-g.ended
}

// isReady reports whether the gateway says that it is ready.
func (g *gateway) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + g.ready + "/v1/readyz")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// awaitReady waits until the gateway says that it is ready.
func (g *gateway) awaitReady(limit time.Duration) {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		if g.isReady() {
			return
		}
	}
	cannotRun("%s is not ready after %v", g.name, limit)
}

// noteReadiness writes to the record whether the gateways say that they are ready.
func (r *rig) noteReadiness() {
	for _, g := range r.gateways {
		r.note("%s says that it is ready: %v", g.name, g.isReady())
	}
}
