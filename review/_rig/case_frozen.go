package main

import (
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["frozen"] = frozenCase }

// storeProxy is the path of one gateway to the store.
type storeProxy struct {
	listener net.Listener
	store    string
	// silent is set while the store turns the gateway away without an answer.
	silent atomic.Bool
}

func newStoreProxy(address, store string) (*storeProxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &storeProxy{listener: l, store: store}
	go p.accept()
	return p, nil
}

func (p *storeProxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

// serve passes the bytes of a channel on. Nothing passes while the proxy is silent, nor later on such a channel.
func (p *storeProxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if p.silent.Load() {
		_, _ = io.Copy(io.Discard, c)
		return
	}
	s, err := net.Dial("tcp", p.store)
	if err != nil {
		return
	}
	defer func() { _ = s.Close() }()
	go func() { _, _ = io.Copy(s, c) }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := s.Read(buffer)
		if p.silent.Load() {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		if n > 0 {
			if _, err := c.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// frozenCase freezes a gateway while another one is added and a key is taken away. When it wakes, the store turns it away.
func frozenCase(folder string) (verdict, error) {
	const (
		freeze   = 4 * time.Second
		revokeAt = 1900 * time.Millisecond
		refuseAt = 2200 * time.Millisecond
		refused  = 9 * time.Second
		// deadline is revoke_deadline_ms.
		deadline = 5 * time.Second
	)
	b, err := newTestbed(folder, 0, 5)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return verdict{}, err
	}
	storeAddress := b.network + ".200:8361"
	proxy, err := newStoreProxy(b.network+".202:8361", storeAddress)
	if err != nil {
		return verdict{}, err
	}
	const seeds = 3
	for n, address := range []string{b.network + ".202:8361", storeAddress, storeAddress} {
		if err := b.startGateway(n, address, seeds); err != nil {
			return verdict{}, err
		}
	}
	for n := range 4 {
		if err := b.addReplica(&replica{service: plainService, zone: fmt.Sprintf("fi-south-%c", 'a'+n%4)}); err != nil {
			return verdict{}, err
		}
	}
	if err := b.awaitReady(); err != nil {
		return verdict{}, err
	}
	g := b.gateways[0]
	start := time.Now()
	at := func(d time.Duration) { time.Sleep(time.Until(start.Add(d))) }
	signal := func(s syscall.Signal) {
		if b.trouble {
			_ = g.process.Process.Signal(s)
			b.record.printf("%v to gateway %s", s, g.ip)
		}
	}
	signal(syscall.SIGSTOP)
	if err := b.startGateway(3, storeAddress, seeds); err != nil {
		return verdict{}, err
	}
	at(revokeAt)
	confirmedAt := b.store.put("op/config", config(8, 5, "xd9dnn2ctnfzs989anu6"))
	b.record.printf("the store confirms version 8, without key %s", apiKey)
	at(refuseAt)
	proxy.silent.Store(b.trouble)
	at(freeze)
	signal(syscall.SIGCONT)
	var wait sync.WaitGroup
	var requests []*request
	for time.Since(start) < refuseAt+refused {
		r := newRequest("read", "GET", statusRead)
		requests = append(requests, r)
		wait.Add(1)
		go func() {
			defer wait.Done()
			c, err := open(g.ip, b.record)
			if err != nil {
				r.err = err
				return
			}
			defer c.close()
			c.do(r)
		}()
		time.Sleep(100 * time.Millisecond)
	}
	proxy.silent.Store(false)
	wait.Wait()
	late := 0
	for _, r := range requests {
		after := r.headSentAt.Sub(confirmedAt)
		if _, ran := b.runOf(r.id); ran && after > deadline {
			late++
			b.record.printf("CONFIG: request %s, sent %.3f s after the confirmation, runs", r.id, after.Seconds())
		}
	}
	return verdict{broken: late > 0, text: fmt.Sprintf("%d requests with the key run that were sent later than %s after its end", late, deadline)}, nil
}
