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
	// restartDelay is the time between the kill and the restart of a gateway.
	restartDelay = 300 * time.Millisecond
	// minHangUpUptime is the uptime from which a gateway gets SIGHUP; see sendHangUp.
	minHangUpUptime = time.Second
	// seriesInterval is the pause between two injections of the same fault in a series.
	seriesInterval = 500 * time.Millisecond
	// maxAskedPause is the upper bound of the random part of a pause that an endpoint asks for; a second is added to it.
	maxAskedPause = 3 * time.Second
	// maxRandomFaultDuration is the upper bound of the random part of a fault's duration; 200 ms are added to that part.
	maxRandomFaultDuration = 5 * time.Second
)

// injector injects the faults of a seed into a testbed.
type injector struct {
	testbed *testbed
	rng     *rand.Rand
	// drills is set if the store is restored from copies.
	drills bool
	// wait counts the series of faults in progress.
	wait sync.WaitGroup
	// errs receives at most one error from each series.
	errs chan error
}

func newInjector(b *testbed, seed uint64, drills bool) *injector {
	return &injector{
		testbed: b, drills: drills, rng: rand.New(rand.NewPCG(seed, 3)), errs: make(chan error, 64), //nolint:gosec // a seeded test
	}
}

// injection injects one fault whose parameters are fixed. It returns when the fault has ended and the testbed works
// again, with an error when a gateway could not be restarted or an endpoint could not be started.
type injection func() error

// run injects 8 to 15 faults, each one to three times, starting at random times within the duration. It returns when
// all have ended, with the first error.
func (i *injector) run(duration time.Duration) error {
	i.testbed.cutsAnswers.Store(true)
	faults := 8 + i.rng.IntN(8)
	for range faults {
		delay := time.Duration(i.rng.Int64N(int64(duration)))
		f := i.draw()
		times := 1
		if i.rng.IntN(3) == 0 {
			times += i.rng.IntN(3)
		}
		i.wait.Add(1)
		go func() {
			defer i.wait.Done()
			i.runSeries(delay, times, f)
		}()
	}
	if i.drills {
		stop := make(chan struct{})
		defer close(stop)
		go i.testbed.runCopies(stop)
		i.addDrills(duration)
	}
	i.wait.Wait()
	i.testbed.cutsAnswers.Store(false)
	i.testbed.clearPendingFaults()
	close(i.errs)
	return <-i.errs
}

// runSeries waits for the delay and then injects a fault the given number of times, with pauses of seriesInterval. It
// stops at the first error.
func (i *injector) runSeries(delay time.Duration, times int, f injection) {
	time.Sleep(delay)
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

// draw returns the next fault. All its random parameters are drawn here, so that a seed always gives the same
// schedule.
func (i *injector) draw() injection {
	b := i.testbed
	g := b.gateways[i.rng.IntN(len(b.gateways))]
	e := b.pickEndpoint(i.rng)
	duration := 200*time.Millisecond + time.Duration(i.rng.Int64N(int64(maxRandomFaultDuration)))
	networkFault := proxier.Fault(1 + i.rng.IntN(4))
	responseFault := standin.Fault(1 + i.rng.IntN(int(standin.NoResponse)))
	randomNumber := i.rng.IntN(1000)
	askedPause := time.Second + time.Duration(i.rng.Int64N(int64(maxAskedPause)))
	switch i.rng.IntN(22) {
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
		return func() error { return b.injectKeyWithdrawal([]string{bigAccount, smallAccount}[randomNumber%2]) }
	case 15, 16:
		return b.injectConfigChange
	case 17, 18:
		return func() error { return b.injectPause(randomNumber, askedPause) }
	case 19, 20:
		return func() error { return b.injectQuietLeaving(randomNumber) }
	default:
		return func() error { return b.injectReplacement(randomNumber) }
	}
}

// kill kills a gateway and restarts it.
func (b *testbed) kill(g *gateway) error {
	defer b.beginFault("kill " + g.name)()
	g.process.Kill()
	time.Sleep(restartDelay)
	return g.process.Start()
}

// killAll kills all gateways at once and restarts them.
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

// terminate shuts a gateway down with SIGTERM and restarts it. It records the shutdown when the gateway exited
// within drainGrace.
func (b *testbed) terminate(g *gateway) error {
	defer b.beginFault("term " + g.name)()
	s := verifier.Shutdown{Gateway: g.name, StartedAt: time.Now()}
	exitedInTime := g.process.Terminate(drainGrace)
	s.EndedAt = time.Now()
	if exitedInTime {
		b.mu.Lock()
		b.shutdowns = append(b.shutdowns, s)
		b.mu.Unlock()
	}
	return g.process.Start()
}

// pause suspends the process of a gateway for the duration.
func (b *testbed) pause(g *gateway, duration time.Duration) error {
	defer b.beginFault("pause " + g.name)()
	g.process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	g.process.Signal(syscall.SIGCONT)
	return nil
}

// sendHangUp sends SIGHUP, on which a gateway reads its settings again. It skips a process that has just started,
// because a process can't prevent SIGHUP from ending it until its runtime has started.
func (b *testbed) sendHangUp(g *gateway) error {
	if g.process.Uptime() < minHangUpUptime {
		return nil
	}
	b.beginFault("hup " + g.name)()
	g.process.Signal(syscall.SIGHUP)
	return nil
}

// takeStoreDown makes the store unavailable for the duration.
func (b *testbed) takeStoreDown(duration time.Duration) error {
	defer b.beginFault("store down")()
	b.store.SetDown(true)
	time.Sleep(duration)
	b.store.SetDown(false)
	return nil
}

// compactStore drops the store's change history, so that gateways must read all entries again.
func (b *testbed) compactStore() error {
	b.beginFault("compact")()
	b.store.Compact()
	return nil
}

// disruptStorePath applies a network fault to the connections of one gateway to the store.
func (b *testbed) disruptStorePath(g *gateway, f proxier.Fault, duration time.Duration) error {
	defer b.beginFault(fmt.Sprintf("cut %s %v", g.name, f))()
	g.storeProxy.SetFault(f)
	time.Sleep(duration)
	g.storeProxy.SetFault(proxier.None)
	return nil
}

// disruptEndpointPath applies a network fault to the connections of all gateways to one endpoint.
func (b *testbed) disruptEndpointPath(e *endpoint, f proxier.Fault, duration time.Duration) error {
	defer b.beginFault("path " + e.ID)()
	e.proxy.SetFault(f)
	time.Sleep(duration)
	e.proxy.SetFault(proxier.None)
	return nil
}

// corruptResponses makes an endpoint handle its next six requests with a fault.
func (b *testbed) corruptResponses(e *endpoint, f standin.Fault) error {
	b.beginFault("answers " + e.ID)()
	e.InjectFaults(f, f, f, f, f, f)
	return nil
}

// clearPendingFaults drops the faults of endpoints that no request has triggered yet.
func (b *testbed) clearPendingFaults() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range b.endpoints {
		e.ClearFaults()
	}
}

// injectKeyWithdrawal withdraws an API key of an account.
func (b *testbed) injectKeyWithdrawal(account string) error {
	b.beginFault("revoke " + account)()
	b.withdrawKey(account)
	return nil
}

// injectConfigChange publishes a new version of the configuration.
func (b *testbed) injectConfigChange() error {
	b.beginFault("config")()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.writeConfig()
	return nil
}

// injectReplacement replaces the endpoint with this number, modulo the number of endpoints.
func (b *testbed) injectReplacement(number int) error {
	b.beginFault("replace")()
	return b.replaceEndpoint(number)
}
