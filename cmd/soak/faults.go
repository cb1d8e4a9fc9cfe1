package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/proxier"
	"github.com/pistachiovane/pistachiovane/internal/soak/verifier"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	// restartDelay is how long a process that was killed stays away.
	restartDelay = 300 * time.Millisecond
	// minHangUpUptime is the time after which a process can be expected to handle signals.
	minHangUpUptime = time.Second
	// seriesInterval is the pause in a series of the same fault.
	seriesInterval = 500 * time.Millisecond
	// maxFaultDuration is the longest time of a fault that lasts.
	maxFaultDuration = 5 * time.Second
)

// injector plays a seeded schedule of faults.
type injector struct {
	testbed *testbed
	rng     *rand.Rand
	wait    sync.WaitGroup
	errs    chan error
}

func newInjector(b *testbed, seed uint64) *injector {
	return &injector{testbed: b, rng: rand.New(rand.NewPCG(seed, 3)), errs: make(chan error, 64)} //nolint:gosec // a seeded test
}

// injection is something that goes wrong, already drawn: doing it takes a while and leaves the world whole.
type injection func() error

// run plays faults for a time and returns when all have ended.
func (i *injector) run(d time.Duration) error {
	faults := 8 + i.rng.IntN(8)
	for range faults {
		at := time.Duration(i.rng.Int64N(int64(d)))
		f := i.draw()
		times := 1
		if i.rng.IntN(3) == 0 {
			times += i.rng.IntN(3)
		}
		i.wait.Add(1)
		go func() {
			defer i.wait.Done()
			i.runSeries(at, times, f)
		}()
	}
	i.wait.Wait()
	i.testbed.clearPendingFaults()
	close(i.errs)
	return <-i.errs
}

func (i *injector) runSeries(at time.Duration, times int, f injection) {
	time.Sleep(at)
	for n := range times {
		if n > 0 {
			time.Sleep(seriesInterval)
		}
		if err := f(); err != nil {
			i.errs <- err
			return
		}
	}
}

// draw returns the next fault. All chance is taken here, so that a seed always gives the same schedule.
func (i *injector) draw() injection {
	b := i.testbed
	g := b.gateways[i.rng.IntN(len(b.gateways))]
	e := b.endpoints[i.rng.IntN(len(b.endpoints))]
	duration := 200*time.Millisecond + time.Duration(i.rng.Int64N(int64(maxFaultDuration)))
	networkFault := proxier.Fault(1 + i.rng.IntN(4))
	responseFault := standin.Fault(1 + i.rng.IntN(int(standin.NoResponse)))
	number := i.rng.IntN(1000)
	switch i.rng.IntN(18) {
	case 0:
		return func() error { return b.kill(g) }
	case 1:
		return b.killAll
	case 2, 3:
		return func() error { return b.terminate(g) }
	case 4:
		return func() error { return b.pause(g, duration) }
	case 5:
		return func() error { return b.sendHangUp(g) }
	case 6:
		return func() error { return b.takeStoreDown(duration) }
	case 7:
		return b.compactStore
	case 8:
		return func() error { return b.disruptStorePath(g, networkFault, duration) }
	case 9, 10:
		return func() error { return b.disruptEndpointPath(e, networkFault, duration) }
	case 11, 12, 13:
		return func() error { return b.corruptResponses(e, responseFault) }
	case 14:
		return func() error { return b.injectKeyWithdrawal([]string{bigAccount, smallAccount}[number%2]) }
	case 15, 16:
		return b.injectConfigChange
	default:
		return func() error { return b.injectReplacement(number) }
	}
}

func (b *testbed) kill(g *gateway) error {
	defer b.beginFault("kill " + g.name)()
	g.process.Kill()
	time.Sleep(restartDelay)
	return g.process.Start()
}

func (b *testbed) killAll() error {
	defer b.beginFault("kill all")()
	for _, g := range b.gateways {
		g.process.Signal(syscall.SIGKILL)
	}
	for _, g := range b.gateways {
		g.process.Kill()
	}
	time.Sleep(restartDelay)
	for _, g := range b.gateways {
		if err := g.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// terminate ends a gateway in an orderly way and starts it again.
func (b *testbed) terminate(g *gateway) error {
	defer b.beginFault("term " + g.name)()
	s := verifier.Shutdown{Gateway: g.name, StartedAt: time.Now()}
	clean := g.process.Terminate(drainGrace)
	s.EndedAt = time.Now()
	if clean {
		b.mu.Lock()
		b.shutdowns = append(b.shutdowns, s)
		b.mu.Unlock()
	}
	return g.process.Start()
}

// pause stops a gateway in the middle of all it does.
func (b *testbed) pause(g *gateway, duration time.Duration) error {
	defer b.beginFault("pause " + g.name)()
	g.process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	g.process.Signal(syscall.SIGCONT)
	return nil
}

// sendHangUp announces new settings. It leaves a process alone that has just started: before its runtime is up, no process can
// keep SIGHUP from ending it.
func (b *testbed) sendHangUp(g *gateway) error {
	if g.process.Uptime() < minHangUpUptime {
		return nil
	}
	b.beginFault("hup " + g.name)()
	g.process.Signal(syscall.SIGHUP)
	return nil
}

func (b *testbed) takeStoreDown(duration time.Duration) error {
	defer b.beginFault("store down")()
	b.store.SetDown(true)
	time.Sleep(duration)
	b.store.SetDown(false)
	return nil
}

func (b *testbed) compactStore() error {
	b.beginFault("compact")()
	b.store.Compact()
	return nil
}

// disruptStorePath disrupts a gateway's path to the store.
func (b *testbed) disruptStorePath(g *gateway, f proxier.Fault, duration time.Duration) error {
	defer b.beginFault(fmt.Sprintf("cut %s %v", g.name, f))()
	g.storeProxy.SetFault(f)
	time.Sleep(duration)
	g.storeProxy.SetFault(proxier.None)
	return nil
}

// disruptEndpointPath disrupts the path of all gateways to an endpoint.
func (b *testbed) disruptEndpointPath(e *endpoint, f proxier.Fault, duration time.Duration) error {
	defer b.beginFault("path " + e.ID)()
	e.proxy.SetFault(f)
	time.Sleep(duration)
	e.proxy.SetFault(proxier.None)
	return nil
}

// corruptResponses has an endpoint answer its next requests in a wrong way.
func (b *testbed) corruptResponses(e *endpoint, f standin.Fault) error {
	b.beginFault("answers " + e.ID)()
	e.InjectFaults(f, f, f, f, f, f)
	return nil
}

// clearPendingFaults drops the wrong answers that no request has met yet.
func (b *testbed) clearPendingFaults() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.endpoints {
		e.ClearFaults()
	}
}

func (b *testbed) injectKeyWithdrawal(account string) error {
	b.beginFault("revoke " + account)()
	b.withdrawKey(account)
	return nil
}

func (b *testbed) injectConfigChange() error {
	b.beginFault("config")()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeConfig()
	return nil
}

func (b *testbed) injectReplacement(number int) error {
	b.beginFault("replace")()
	return b.replaceEndpoint(number)
}
