package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	startAt time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.startAt).Seconds(), fmt.Sprintf(format, args...))
}

// gateway is a process of the project.
type gateway struct {
	ip      string
	process *exec.Cmd
	exited  chan struct{}
}

// testbed is a small deployment on loopback addresses.
type testbed struct {
	dir      string
	network  string
	trouble  bool
	record   *record
	store    *store
	gateways []*gateway
	mu       sync.Mutex
	replicas []*replica
}

// newTestbed starts a store and a number of gateways, with a configuration.
func newTestbed(folder string, gateways, tokensPerEvent int) (*testbed, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	b := &testbed{trouble: os.Getenv("TROUBLE") != "0", record: &record{file: f, startAt: time.Now()}}
	if b.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if err := b.findNetwork(max(gateways, 4)); err != nil {
		return nil, err
	}
	storeAddress := b.network + ".200:8361"
	if b.store, err = newStore(storeAddress, b.record); err != nil {
		return nil, err
	}
	b.store.put("op/config", config(7, tokensPerEvent, apiKey, "xd9dnn2ctnfzs989anu6"))
	for n := range gateways {
		if err := b.startGateway(n, storeAddress, gateways); err != nil {
			return b, err
		}
	}
	return b, nil
}

// findNetwork picks loopback addresses on which the ports are free.
func (b *testbed) findNetwork(gateways int) error {
	for range 50 {
		b.network = fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))
		if b.isFree(gateways) {
			return nil
		}
	}
	return fmt.Errorf("no free loopback addresses")
}

func (b *testbed) isFree(gateways int) bool {
	addresses := []string{b.network + ".200:8361"}
	for n := range gateways {
		for _, port := range []string{"8360", "8365", "9464"} {
			addresses = append(addresses, gatewayIP(b.network, n)+":"+port)
		}
	}
	for _, a := range addresses {
		l, err := net.Listen("tcp", a)
		if err != nil {
			return false
		}
		_ = l.Close()
	}
	return true
}

// startGateway starts a gateway with the command of the deploy file.
func (b *testbed) startGateway(n int, storeAddress string, gateways int) error {
	g, err := b.startProcess(n, storeAddress, gateways)
	if err != nil {
		return err
	}
	b.gateways = append(b.gateways, g)
	return nil
}

// startProcess starts the process of a gateway. It must be called from the thread that the gateways end with.
func (b *testbed) startProcess(n int, storeAddress string, gateways int) (*gateway, error) {
	content, err := json.Marshal(settings(n, b.network, storeAddress, gateways))
	if err != nil {
		return nil, err
	}
	path := filepath.Join(b.dir, fmt.Sprintf("boot-%d.json", n))
	if err := os.WriteFile(path, content, 0o600); err != nil {
		return nil, err
	}
	out, err := os.OpenFile(filepath.Join(b.dir, fmt.Sprintf("gateway-%d.log", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command("target/pistachiovane", "edge")
	c.Env = append(os.Environ(), "PISTACHIOVANE_CONFIG="+path)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	g := &gateway{ip: gatewayIP(b.network, n), process: c, exited: make(chan struct{})}
	go func() {
		_ = c.Wait()
		b.record.printf("gateway %s has ended", g.ip)
		close(g.exited)
	}()
	return g, nil
}

// addReplica starts a replica and writes its entry.
func (b *testbed) addReplica(p *replica) error {
	p.record, p.others = b.record, b.replicaAt
	if err := p.start(b.network + ".201:0"); err != nil {
		return err
	}
	b.mu.Lock()
	b.replicas = append(b.replicas, p)
	b.mu.Unlock()
	b.store.put(p.entry())
	b.record.printf("replica %s of %s starts, %s", p.id, p.service, p.stage)
	return nil
}

// replicaAt returns the replica at an address, or nil.
func (b *testbed) replicaAt(address string) *replica {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.replicas {
		if p.address == address {
			return p
		}
	}
	return nil
}

// ready asks a gateway as the platform does.
func (g *gateway) ready() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + g.ip + ":8365/v1/readyz")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until all gateways are ready and have found each other.
func (b *testbed) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, g := range b.gateways {
		for !g.ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("gateway %s is not ready", g.ip)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Machines are in touch contact_ms after their start.
	time.Sleep(4 * time.Second)
	return nil
}

// close ends all processes and removes the folder.
func (b *testbed) close() {
	for _, g := range b.gateways {
		_ = g.process.Process.Kill()
		<-g.exited
	}
	if keep := os.Getenv("KEEP"); keep == "" {
		_ = os.RemoveAll(b.dir)
	} else {
		fmt.Println("kept", b.dir)
	}
}

// terminate sends SIGTERM to a gateway, unless the case runs without its disruption. It returns the time.
func (b *testbed) terminate(g *gateway) time.Time {
	if !b.trouble {
		b.record.printf("no SIGTERM to gateway %s: TROUBLE=0", g.ip)
		return time.Now()
	}
	b.record.printf("SIGTERM to gateway %s", g.ip)
	_ = g.process.Process.Signal(syscall.SIGTERM)
	return time.Now()
}
