package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/load/runner"
)

// loadCommand runs a simulated load on an embedded fleet, once for each policy.
type loadCommand struct {
	Fleet              string        `arg:"--fleet" default:"clay" help:"embedded fleet: clay or kalvo"`
	Seed               uint64        `arg:"--seed" default:"1" help:"seed of the requests and faults"`
	JSON               bool          `arg:"--json" help:"print only one JSON object on standard output"`
	Load               float64       `arg:"--load" default:"0.9" help:"offered load as a share of the fleet's capacity"`
	Duration           time.Duration `arg:"--for" default:"300s" help:"how long requests arrive, in virtual time"`
	Policies           string        `arg:"--policies" default:"probe" help:"policies to run with the same seed: probe, leastloaded, roundrobin, random, late, split, fifo, firstcome, naive"`
	FaultSchedule      string        `arg:"--faults" default:"none" help:"none, daily or storm"`
	CancelRatio        float64       `arg:"--cancels" default:"0" help:"share of callers who go early"`
	PinAccounts        bool          `arg:"--skew" help:"send all requests of an account to one gateway"`
	NoisyAccountFactor float64       `arg:"--hog" default:"1" help:"factor of the third account's requests"`
}

// report holds the results of all runs of a load command.
type report struct {
	Fleet string          `json:"fleet"`
	Runs  []runner.Result `json:"runs"`
}

// run runs the load and prints the results as JSON or as a table.
func (c *loadCommand) run(ctx context.Context, o output) error {
	fleet, ok := runner.FleetByName(c.Fleet)
	if !ok {
		return errors.Errorf("fleet %q is neither clay nor kalvo", c.Fleet)
	}
	if c.Load <= 0 || c.Duration <= 0 || c.CancelRatio < 0 || c.CancelRatio > 1 || c.NoisyAccountFactor <= 0 {
		return errors.New("--load, --for and --hog must be above zero, --cancels within 0 and 1")
	}
	out := report{Fleet: c.Fleet}
	for _, policy := range strings.Split(c.Policies, ",") {
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !c.JSON {
			_, _ = fmt.Fprintf(o.stderr, "load: %s, policy %s\n", c.Fleet, policy)
		}
		r, err := runner.New(runner.Options{
			Fleet: fleet, Policy: policy, Seed: c.Seed, Load: c.Load, Duration: c.Duration,
			FaultSchedule: c.FaultSchedule, CancelRatio: c.CancelRatio,
			NoisyAccountFactor: c.NoisyAccountFactor, PinAccounts: c.PinAccounts,
		})
		if err != nil {
			return err
		}
		out.Runs = append(out.Runs, r.Run())
	}
	if c.JSON {
		return errors.Wrap(json.NewEncoder(o.stdout).Encode(out), "print result")
	}
	return printRuns(o, out)
}

// printRuns prints a table with a line for each run, followed by its counts and violations.
func printRuns(o output, r report) error {
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w,
		"policy\toffered\tgoodput\tto first\twasted\tworst\twrongful\tttft p50\tp95\tp99\titl p95\tviolations\t")
	for i := range r.Runs {
		run := &r.Runs[i]
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.4f\t%.3f\t%.4f\t%.4f\t%.4f\t%.0f\t%.0f\t%.0f\t%.1f\t%d\t\n",
			run.Policy, run.OfferedLoad, run.Goodput, run.Goodput/max(r.Runs[0].Goodput, 1e-9),
			run.WastedPrefill, run.WorstAccount, run.WrongfulRefusals,
			run.TTFT.P50, run.TTFT.P95, run.TTFT.P99, run.ITL.P95, run.Violations)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print result")
	}
	for i := range r.Runs {
		run := &r.Runs[i]
		_, _ = fmt.Fprintf(o.stdout, "%s: %d requests, %d answered, %d cancelled, %d broken, refused %v\n",
			run.Policy, run.Requests, run.Answers, run.Cancellations, run.BrokenConnections, run.Refusals)
		for _, d := range run.ViolationDetails {
			_, _ = fmt.Fprintln(o.stdout, "  violation:", d)
		}
	}
	return nil
}
