package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["readers"] = readersCase }

// readersCase kills half of the gateways at the same moment, among them those that follow the endpoint list closely, while
// the replicas of a service are replaced one after the other.
func readersCase(folder string) (verdict, error) {
	const (
		gateways = 8
		// killed is how many gateways are killed, those with the lowest addresses.
		killed = 4
		// drain is drain_ms. A replica goes on for drain and lingers before it exits.
		drain    = 2 * time.Second
		lingers  = 3 * time.Second
		replaced = 12
		gap      = 850 * time.Millisecond
		// killAt is the time of the kill after the first replacement.
		killAt = 4 * time.Second
	)
	b, err := newTestbed(folder, gateways, 5)
	if b != nil {
		defer b.close()
	}
	if err != nil {
		return verdict{}, err
	}
	add := func(n int) (*replica, error) {
		p := &replica{service: plainService, zone: fmt.Sprintf("fi-south-%c", 'a'+n%4)}
		return p, b.addReplica(p)
	}
	var current []*replica
	for n := range 4 {
		p, err := add(n)
		if err != nil {
			return verdict{}, err
		}
		current = append(current, p)
	}
	if err := b.awaitReady(); err != nil {
		return verdict{}, err
	}
	// Clients of the gateways that are not killed.
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for _, g := range b.gateways[killed:] {
		wait.Add(1)
		go func() {
			defer wait.Done()
			b.sendUntil(stop, g)
		}()
	}
	time.Sleep(2 * time.Second)
	confirmed := map[*replica]time.Time{}
	start := time.Now()
	var killedAt time.Time
	restarted := false
	for n := range replaced {
		if killedAt.IsZero() && time.Since(start) >= killAt {
			killedAt = time.Now()
			b.kill(b.gateways[:killed])
		}
		p, err := add(n)
		if err != nil {
			return verdict{}, err
		}
		old := current[0]
		current = append(current[1:], p)
		old.setState("draining")
		confirmed[old] = b.store.put(old.entry())
		b.record.printf("the store confirms that replica %s is draining", old.id)
		time.AfterFunc(drain+lingers, func() {
			key, _ := old.entry()
			b.store.remove(key)
			old.leave()
		})
		time.Sleep(gap)
		if b.trouble && !restarted && !killedAt.IsZero() {
			restarted = true
			if err := b.restart(killed, gateways); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(drain + lingers)
	close(stop)
	wait.Wait()
	late := 0
	for p, at := range confirmed {
		for _, a := range p.runs() {
			if after := a.At.Sub(at); after > drain {
				late++
				b.record.printf("DRAIN: request %s reaches replica %s %.3f s after the confirmation", a.ID, a.Replica, after.Seconds())
			}
		}
	}
	return verdict{broken: late > 0, text: fmt.Sprintf("%d requests reach leaving replicas later than %s", late, drain)}, nil
}

// sendUntil sends requests to a gateway, one every 50 ms over a kept channel, until stop is closed.
func (b *testbed) sendUntil(stop <-chan struct{}, g *gateway) {
	var c *channel
	for {
		select {
		case <-stop:
			if c != nil {
				c.close()
			}
			return
		case <-time.After(50 * time.Millisecond):
		}
		if c == nil || c.closing {
			var err error
			if c, err = open(g.ip, b.record); err != nil {
				continue
			}
		}
		r := newRequest("read", "GET", statusRead)
		r.gateway = g.ip
		if c.do(r); r.err != nil {
			c.close()
			c = nil
		}
	}
}

// kill kills gateways at the same moment, unless the case runs without its disruption.
func (b *testbed) kill(gateways []*gateway) {
	if !b.trouble {
		b.record.printf("no kill: TROUBLE=0")
		return
	}
	for _, g := range gateways {
		_ = g.process.Process.Signal(syscall.SIGKILL)
		b.record.printf("SIGKILL to gateway %s", g.ip)
	}
	for _, g := range gateways {
		<-g.exited
	}
}

// restart starts the processes of the first gateways again.
func (b *testbed) restart(count, gateways int) error {
	for n := range count {
		g, err := b.startProcess(n, b.network+".200:8361", gateways)
		if err != nil {
			return err
		}
		b.gateways[n] = g
		b.record.printf("gateway %s is started again", g.ip)
	}
	return nil
}
