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
	// restartAfter is how long a process that was killed stays away.
	restartAfter = 300 * time.Millisecond
	// startUp is the time after which a process can be expected to handle signals.
	startUp = time.Second
	// again is the pause in a series of the same fault.
	again = 500 * time.Millisecond
	// faultMost is the longest time of a fault that lasts.
	faultMost = 5 * time.Second
)

// injector plays a seeded schedule of faults.
type injector struct {
	world *world
	rng   *rand.Rand
	wait  sync.WaitGroup
	errs  chan error
}

func newInjector(w *world, seed uint64) *injector {
	return &injector{world: w, rng: rand.New(rand.NewPCG(seed, 3)), errs: make(chan error, 64)} //nolint:gosec // a seeded test
}

// fault is something that goes wrong, already drawn: doing it takes a while and leaves the world whole.
type fault func() error

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
	i.world.heal()
	close(i.errs)
	return <-i.errs
}

func (i *injector) runSeries(at time.Duration, times int, f fault) {
	time.Sleep(at)
	for n := range times {
		if n > 0 {
			time.Sleep(again)
		}
		if err := f(); err != nil {
			i.errs <- err
			return
		}
	}
}

// draw returns the next fault. All chance is taken here, so that a seed always gives the same schedule.
func (i *injector) draw() fault {
	w := i.world
	g := w.gateways[i.rng.IntN(len(w.gateways))]
	e := w.endpoints[i.rng.IntN(len(w.endpoints))]
	lasts := 200*time.Millisecond + time.Duration(i.rng.Int64N(int64(faultMost)))
	network := proxier.Fault(1 + i.rng.IntN(4))
	answer := standin.Fault(1 + i.rng.IntN(int(standin.NoResponse)))
	number := i.rng.IntN(1000)
	switch i.rng.IntN(18) {
	case 0:
		return func() error { return w.kill(g) }
	case 1:
		return w.killAll
	case 2, 3:
		return func() error { return w.terminate(g) }
	case 4:
		return func() error { return w.pause(g, lasts) }
	case 5:
		return func() error { return w.hangUp(g) }
	case 6:
		return func() error { return w.storeDown(lasts) }
	case 7:
		return w.compact
	case 8:
		return func() error { return w.cut(g, network, lasts) }
	case 9, 10:
		return func() error { return w.disruptPath(e, network, lasts) }
	case 11, 12, 13:
		return func() error { return w.corruptAnswers(e, answer) }
	case 14:
		return func() error { return w.withdrawKey([]string{bigAccount, smallAccount}[number%2]) }
	case 15, 16:
		return w.changeConfig
	default:
		return func() error { return w.replaceEndpoint(number) }
	}
}

func (w *world) kill(g *gateway) error {
	defer w.disrupted("kill " + g.name)()
	g.process.Kill()
	time.Sleep(restartAfter)
	return g.process.Start()
}

func (w *world) killAll() error {
	defer w.disrupted("kill all")()
	for _, g := range w.gateways {
		g.process.Signal(syscall.SIGKILL)
	}
	for _, g := range w.gateways {
		g.process.Kill()
	}
	time.Sleep(restartAfter)
	for _, g := range w.gateways {
		if err := g.process.Start(); err != nil {
			return err
		}
	}
	return nil
}

// terminate ends a gateway in an orderly way and starts it again.
func (w *world) terminate(g *gateway) error {
	defer w.disrupted("term " + g.name)()
	s := verifier.Shutdown{Gateway: g.name, StartedAt: time.Now()}
	clean := g.process.Terminate(drainGrace)
	s.EndedAt = time.Now()
	if clean {
		w.mu.Lock()
		w.stops = append(w.stops, s)
		w.mu.Unlock()
	}
	return g.process.Start()
}

// pause stops a gateway in the middle of all it does.
func (w *world) pause(g *gateway, lasts time.Duration) error {
	defer w.disrupted("pause " + g.name)()
	g.process.Signal(syscall.SIGSTOP)
	time.Sleep(lasts)
	g.process.Signal(syscall.SIGCONT)
	return nil
}

// hangUp announces new settings. It leaves a process alone that has just started: before its runtime is up, no process can
// keep SIGHUP from ending it.
func (w *world) hangUp(g *gateway) error {
	if g.process.Uptime() < startUp {
		return nil
	}
	w.disrupted("hup " + g.name)()
	g.process.Signal(syscall.SIGHUP)
	return nil
}

func (w *world) storeDown(lasts time.Duration) error {
	defer w.disrupted("store down")()
	w.store.SetDown(true)
	time.Sleep(lasts)
	w.store.SetDown(false)
	return nil
}

func (w *world) compact() error {
	w.disrupted("compact")()
	w.store.Compact()
	return nil
}

// cut disrupts a gateway's path to the store.
func (w *world) cut(g *gateway, f proxier.Fault, lasts time.Duration) error {
	defer w.disrupted(fmt.Sprintf("cut %s %v", g.name, f))()
	g.store.SetFault(f)
	time.Sleep(lasts)
	g.store.SetFault(proxier.None)
	return nil
}

// disruptPath disrupts the path of all gateways to an endpoint.
func (w *world) disruptPath(e *endpoint, f proxier.Fault, lasts time.Duration) error {
	defer w.disrupted("path " + e.ID)()
	e.path.SetFault(f)
	time.Sleep(lasts)
	e.path.SetFault(proxier.None)
	return nil
}

// corruptAnswers has an endpoint answer its next requests in a wrong way.
func (w *world) corruptAnswers(e *endpoint, f standin.Fault) error {
	w.disrupted("answers " + e.ID)()
	e.InjectFaults(f, f, f, f, f, f)
	return nil
}

// heal drops the wrong answers that no request has met yet.
func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.endpoints {
		e.ClearFaults()
	}
}

func (w *world) withdrawKey(account string) error {
	w.disrupted("revoke " + account)()
	w.withdraw(account)
	return nil
}

func (w *world) changeConfig() error {
	w.disrupted("config")()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.configure()
	return nil
}

func (w *world) replaceEndpoint(number int) error {
	w.disrupted("replace")()
	return w.replace(number)
}
