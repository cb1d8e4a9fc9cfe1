// Command soak runs gateways as processes of their own between stand-ins of the platform, injects faults from outside and
// checks what callers and endpoints see. It ends only processes that it has started.
package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sort"
	"sync"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/soak/verifier"
)

const (
	// eventsEach is how many events a stream has.
	eventsEach = 20
	// startWithin is how long all gateways may take until they are ready for the first time.
	startWithin = 10 * time.Second
	// finalFor is the time in which everything must be served after the recovery.
	finalFor = 2 * time.Second
	// lateWork is the time that endpoints may go on after the last caller has ended.
	lateWork = 1500 * time.Millisecond
	// endTogether is the time that worlds of one time have to close when the program is told to end.
	endTogether = time.Second
)

type arguments struct {
	Program  string        `arg:"--program" help:"program to run; built from the sources when it is not given"`
	First    uint64        `arg:"--first" default:"1" help:"first seed"`
	Seeds    int           `arg:"--seeds" default:"10" help:"how many seeds"`
	Jobs     int           `arg:"--jobs" default:"4" help:"how many seeds at a time"`
	For      time.Duration `arg:"--for" default:"15s" help:"how long faults are injected"`
	Gateways int           `arg:"--gateways" default:"4" help:"how many gateways"`
	Callers  int           `arg:"--callers" default:"24" help:"how many callers"`
	Keep     string        `arg:"--keep" default:"soak-failed" help:"folder for the logs of seeds that fail"`
}

func main() {
	var a arguments
	arg.MustParse(&a)
	failed, err := a.run()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	if failed > 0 {
		os.Exit(1)
	}
}

// run plays all seeds and prints a report of each.
func (a arguments) run() (failed int, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, errors.Wrap(err, "make folder")
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if a.Program == "" {
		if a.Program, err = build(dir); err != nil {
			return 0, err
		}
	}
	seeds := make(chan uint64)
	var wait sync.WaitGroup
	var mu sync.Mutex
	for slot := range a.Jobs {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for seed := range seeds {
				r, playErr := a.play(dir, seed, slot)
				mu.Lock()
				r.print()
				if playErr != nil && err == nil {
					err = errors.Wrapf(playErr, "seed %d", seed)
				}
				if len(r.findings) > 0 {
					failed++
				}
				mu.Unlock()
			}
		}()
	}
	for n := range a.Seeds {
		seeds <- a.First + uint64(n)
	}
	close(seeds)
	wait.Wait()
	fmt.Printf("%d seeds, %d failed\n", a.Seeds, failed)
	return failed, err
}

// build builds the program of the gateways.
func build(dir string) (string, error) {
	path := filepath.Join(dir, "pistachiovane")
	out, err := exec.Command("go", "build", "-o", path, "github.com/pistachiovane/pistachiovane/cmd/pistachiovane").CombinedOutput() //nolint:noctx // building ends
	return path, errors.Wrapf(err, "build: %s", out)
}

// report tells what a seed injected, checked and found.
type report struct {
	seed     uint64
	requests int
	served   int
	injected map[string]int
	checked  map[string]int
	findings []verifier.Finding
}

func (r report) print() {
	fmt.Printf("seed %d: %d requests, %d served; injected %s; checked %s; %d findings\n",
		r.seed, r.requests, r.served, counts(r.injected), counts(r.checked), len(r.findings))
	for _, f := range r.findings {
		fmt.Println("  " + f.String())
	}
}

func counts(m map[string]int) string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	sort.Strings(names)
	out := ""
	for _, name := range names {
		out += fmt.Sprintf("%s %d, ", name, m[name])
	}
	return out[:max(0, len(out)-2)]
}

// play runs one seed.
func (a arguments) play(parent string, seed uint64, slot int) (report, error) {
	r := report{seed: seed}
	dir, err := os.MkdirTemp(parent, fmt.Sprintf("seed%d-", seed))
	if err != nil {
		return r, errors.Wrap(err, "make folder")
	}
	w, err := newWorld(a.Program, dir, seed, slot, a.Gateways)
	if err != nil {
		return r, err
	}
	defer w.close()
	defer a.onSignal(w.close)()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	start := func(run func(stop <-chan struct{})) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			run(stop)
		}()
	}
	start(w.runProbe)
	start(w.runHeartbeat)
	if !w.allReady(startWithin) {
		close(stop)
		wait.Wait()
		r.findings = []verifier.Finding{{Promise: "ready after the start", ID: "all", Detail: fmt.Sprintf("not within %v", startWithin)}}
		return r, a.keep(dir, seed)
	}
	for i := range a.Callers {
		start(newCaller(w, seed, i).run)
	}
	err = newInjector(w, seed).run(a.For)
	settled := time.Now().Add(recovery)
	time.Sleep(recovery + finalFor)
	close(stop)
	wait.Wait()
	time.Sleep(lateWork)
	r.conclude(w, settled)
	if len(r.findings) > 0 && err == nil {
		err = a.keep(dir, seed)
	}
	return r, err
}

// onSignal has a world closed and the program ended when it is told to end: a gateway that is stopped would outlive it. The
// returned function ends that.
func (a arguments) onSignal(closeWorld func()) (end func()) {
	signals := make(chan os.Signal, 1)
	done := make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			closeWorld()
			time.Sleep(endTogether)
			os.Exit(2)
		case <-done:
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// conclude checks what was seen.
func (r *report) conclude(w *world, settled time.Time) {
	v := verifier.New(w.history(settled))
	r.findings = append(v.Check(), w.checkProcesses()...)
	r.findings = append(r.findings, w.checkVersions()...)
	r.injected, r.checked = w.injected, v.CheckCounts()
	r.requests = len(w.requests)
	for _, q := range w.requests {
		if q.Status == 200 {
			r.served++
		}
	}
}

// keep copies the logs of a seed that failed.
func (a arguments) keep(dir string, seed uint64) error {
	to := filepath.Join(a.Keep, fmt.Sprint("seed", seed))
	if err := os.RemoveAll(to); err != nil {
		return errors.Wrap(err, "remove earlier logs")
	}
	return errors.Wrap(os.CopyFS(to, os.DirFS(dir)), "keep logs")
}
