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
	// eventsPerStream is how many events a stream has.
	eventsPerStream = 20
	// startTimeout is how long all gateways may take until they are ready for the first time.
	startTimeout = 10 * time.Second
	// finalCheckDuration is the time in which everything must be served after the recovery.
	finalCheckDuration = 2 * time.Second
	// lateWorkGrace is the time that endpoints may go on after the last caller has ended.
	lateWorkGrace = 1500 * time.Millisecond
	// closeGrace is the time that worlds of one time have to close when the program is told to end.
	closeGrace = time.Second
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
		if a.Program, err = buildProgram(dir); err != nil {
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
				r, seedErr := a.runSeed(dir, seed, slot)
				mu.Lock()
				r.print()
				if seedErr != nil && err == nil {
					err = errors.Wrapf(seedErr, "seed %d", seed)
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

// buildProgram builds the program of the gateways.
func buildProgram(dir string) (string, error) {
	path := filepath.Join(dir, "pistachiovane")
	out, err := exec.Command("go", "build", "-o", path, "github.com/pistachiovane/pistachiovane/cmd/pistachiovane").CombinedOutput() //nolint:noctx // building ends
	return path, errors.Wrapf(err, "build: %s", out)
}

// report tells what a seed injected, checked and found.
type report struct {
	seed        uint64
	requests    int
	served      int
	faultCounts map[string]int
	checkCounts map[string]int
	findings    []verifier.Finding
}

func (r report) print() {
	fmt.Printf("seed %d: %d requests, %d served; injected %s; checked %s; %d findings\n",
		r.seed, r.requests, r.served, formatCounts(r.faultCounts), formatCounts(r.checkCounts), len(r.findings))
	for _, f := range r.findings {
		fmt.Println("  " + f.String())
	}
}

func formatCounts(m map[string]int) string {
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

// runSeed runs one seed.
func (a arguments) runSeed(parent string, seed uint64, slot int) (report, error) {
	r := report{seed: seed}
	dir, err := os.MkdirTemp(parent, fmt.Sprintf("seed%d-", seed))
	if err != nil {
		return r, errors.Wrap(err, "make folder")
	}
	b, err := newTestbed(a.Program, dir, seed, slot, a.Gateways)
	if err != nil {
		return r, err
	}
	defer b.close()
	defer a.closeOnSignal(b.close)()
	stop := make(chan struct{})
	var wait sync.WaitGroup
	start := func(run func(stop <-chan struct{})) {
		wait.Add(1)
		go func() {
			defer wait.Done()
			run(stop)
		}()
	}
	start(b.runProbe)
	start(b.runHeartbeat)
	if !b.awaitAllReady(startTimeout) {
		close(stop)
		wait.Wait()
		r.findings = []verifier.Finding{{Promise: "ready after the start", ID: "all", Detail: fmt.Sprintf("not within %v", startTimeout)}}
		return r, a.keepLogs(dir, seed)
	}
	for i := range a.Callers {
		start(newCaller(b, seed, i).run)
	}
	err = newInjector(b, seed).run(a.For)
	recoveredAt := time.Now().Add(recoveryTime)
	time.Sleep(recoveryTime + finalCheckDuration)
	close(stop)
	wait.Wait()
	time.Sleep(lateWorkGrace)
	r.verify(b, recoveredAt)
	if len(r.findings) > 0 && err == nil {
		err = a.keepLogs(dir, seed)
	}
	return r, err
}

// closeOnSignal has a world closed and the program ended when it is told to end: a gateway that is stopped would outlive it. The
// returned function ends that.
func (a arguments) closeOnSignal(closeTestbed func()) (end func()) {
	signals := make(chan os.Signal, 1)
	done := make(chan struct{})
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-signals:
			closeTestbed()
			time.Sleep(closeGrace)
			os.Exit(2)
		case <-done:
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// verify checks what was seen.
func (r *report) verify(b *testbed, recoveredAt time.Time) {
	v := verifier.New(b.history(recoveredAt))
	r.findings = append(v.Check(), b.checkProcesses()...)
	r.findings = append(r.findings, b.checkVersions()...)
	r.faultCounts, r.checkCounts = b.faultCounts, v.CheckCounts()
	r.requests = len(b.requests)
	for _, q := range b.requests {
		if q.Status == 200 {
			r.served++
		}
	}
}

// keepLogs copies the logs of a seed that failed.
func (a arguments) keepLogs(dir string, seed uint64) error {
	to := filepath.Join(a.Keep, fmt.Sprint("seed", seed))
	if err := os.RemoveAll(to); err != nil {
		return errors.Wrap(err, "remove earlier logs")
	}
	return errors.Wrap(os.CopyFS(to, os.DirFS(dir)), "keep logs")
}
