// Command soak runs gateways as separate processes against stand-ins of the platform's store and endpoints, injects
// faults from outside and checks what callers and endpoints observe. Each seed gives a schedule of faults. It only
// ends processes that it started itself.
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
	// eventsPerStream is the number of events in a complete stream.
	eventsPerStream = 20
	// startTimeout is the time in which all gateways must become ready for the first time.
	startTimeout = 10 * time.Second
	// finalCheckDuration is the period after the recovery in which every request must be served.
	finalCheckDuration = 2 * time.Second
	// lateWorkGrace is the time between the end of the last caller and the checks, in which endpoints finish their work.
	lateWorkGrace = 1500 * time.Millisecond
	// closeGrace is the time that the testbeds of parallel seeds have for closing after SIGTERM or SIGINT.
	closeGrace = time.Second
)

// arguments are the command line arguments.
type arguments struct {
	Program  string        `arg:"--program" help:"program to run; built from the sources when it is not given"`
	First    uint64        `arg:"--first" default:"1" help:"first seed"`
	Seeds    int           `arg:"--seeds" default:"10" help:"how many seeds"`
	Jobs     int           `arg:"--jobs" default:"4" help:"how many seeds at a time"`
	For      time.Duration `arg:"--for" default:"15s" help:"how long faults are injected"`
	Gateways int           `arg:"--gateways" default:"4" help:"how many gateways"`
	Callers  int           `arg:"--callers" default:"24" help:"how many callers"`
	Hangs    bool          `arg:"--hangs" help:"let endpoints hang before some crashes"`
	Drills   bool          `arg:"--drills" help:"restore the store from copies some seconds old"`
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

// run runs all seeds, several at a time, and prints a report of each. It returns the number of seeds with findings.
// It fails when the program can't be built or a seed can't be run.
func (a arguments) run() (failed int, err error) {
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		return 0, errors.Wrap(err, "create temporary folder")
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

// buildProgram builds the gateway program from the sources into a folder and returns its path.
func buildProgram(dir string) (string, error) {
	path := filepath.Join(dir, "pistachiovane")
	out, err := exec.Command("go", "build", "-o", path, //nolint:noctx // the build ends by itself
		"github.com/pistachiovane/pistachiovane/cmd/pistachiovane").CombinedOutput()
	return path, errors.Wrapf(err, "build gateway program: %s", out)
}

// report is the outcome of one seed.
type report struct {
	seed     uint64
	requests int
	// served is the number of responses with status 200.
	served int
	// faultCounts counts the injected faults by kind, checkCounts the checks by promise.
	faultCounts map[string]int
	checkCounts map[string]int
	findings    []verifier.Finding
	// stalls is how often the soak itself got no time, and longestGap the longest time between two ticks of its loop.
	stalls     int
	longestGap time.Duration
}

// print prints a summary line and one line for each finding.
func (r report) print() {
	fmt.Printf("seed %d: %d requests, %d served; injected %s; checked %s; %d findings\n",
		r.seed, r.requests, r.served, formatCounts(r.faultCounts), formatCounts(r.checkCounts), len(r.findings))
	if r.stalls > 0 {
		fmt.Printf("  the soak itself stalled %d times, for up to %v: the machine, not the gateways\n", r.stalls, r.longestGap)
	}
	for _, f := range r.findings {
		fmt.Println("  " + f.String())
	}
}

// formatCounts formats counts as "name count", in order of the names and separated by commas.
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

// runSeed starts a testbed, injects the faults of a seed while callers send requests, and checks the records. It
// copies the logs to the folder for failed seeds when there are findings. slot keeps the addresses of parallel
// testbeds apart. It fails when the testbed can't be started or a fault can't be injected.
func (a arguments) runSeed(parent string, seed uint64, slot int) (report, error) {
	r := report{seed: seed}
	dir, err := os.MkdirTemp(parent, fmt.Sprintf("seed%d-", seed))
	if err != nil {
		return r, errors.Wrap(err, "create seed folder")
	}
	b, err := newTestbed(a.Program, dir, seed, slot, a.Gateways, a.Hangs)
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
	ticks := &ticker{log: b.log}
	start(ticks.run)
	start(b.runProbe)
	start(b.runHeartbeat)
	if !b.awaitAllReady(startTimeout) {
		close(stop)
		wait.Wait()
		r.findings = []verifier.Finding{{
			Promise: "ready after the start", ID: "all", Detail: fmt.Sprintf("not within %v", startTimeout),
		}}
		return r, a.keepLogs(dir, seed)
	}
	for i := range a.Callers {
		start(newCaller(b, seed, i).run)
	}
	start(newCrasher(b, seed).runCrasher)
	err = newInjector(b, seed, a.Drills).run(a.For)
	recoveredAt := time.Now().Add(recoveryTime)
	time.Sleep(recoveryTime + finalCheckDuration)
	close(stop)
	wait.Wait()
	time.Sleep(lateWorkGrace)
	r.verify(b, recoveredAt)
	r.stalls, r.longestGap = ticks.stalls, ticks.longest
	if len(r.findings) > 0 && err == nil {
		err = a.keepLogs(dir, seed)
	}
	return r, err
}

// closeOnSignal closes a testbed and exits the program on SIGTERM or SIGINT, because gateway processes, in particular
// suspended ones, would outlive it otherwise. The returned function ends this handling.
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

// verify checks the records of the testbed, its processes and the gateways' active configurations, and fills in the
// report.
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

// keepLogs copies the logs of a failed seed to its folder in arguments.Keep, in place of earlier logs of the same seed.
func (a arguments) keepLogs(dir string, seed uint64) error {
	targetDir := filepath.Join(a.Keep, fmt.Sprint("seed", seed))
	if err := os.RemoveAll(targetDir); err != nil {
		return errors.Wrap(err, "remove earlier logs")
	}
	return errors.Wrap(os.CopyFS(targetDir, os.DirFS(dir)), "keep logs")
}
