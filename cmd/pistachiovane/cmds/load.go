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

type loadCommand struct {
	Fleet    string        `arg:"--fleet" default:"clay" help:"embedded fleet: clay or kalvo"`
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the requests and faults"`
	JSON     bool          `arg:"--json" help:"print only one JSON object on standard output"`
	Load     float64       `arg:"--load" default:"0.9" help:"offered load as a share of the fleet's capacity"`
	For      time.Duration `arg:"--for" default:"300s" help:"how long requests arrive, in virtual time"`
	Policies string        `arg:"--policies" default:"probe" help:"policies to run with the same seed: probe, leastloaded, roundrobin, random, late, split, fifo, naive"`
	Faults   string        `arg:"--faults" default:"none" help:"none, daily or storm"`
	Cancels  float64       `arg:"--cancels" default:"0" help:"share of callers who go early"`
	Skew     bool          `arg:"--skew" help:"send all requests of an account to one gateway"`
	Hog      float64       `arg:"--hog" default:"1" help:"factor of the third account's requests"`
}

// report is the printed form of one or more runs.
type report struct {
	Fleet string          `json:"fleet"`
	Runs  []runner.Result `json:"runs"`
}

func (c *loadCommand) run(ctx context.Context, o output) error {
	fleet, ok := runner.FleetByName(c.Fleet)
	if !ok {
		return errors.Errorf("fleet %q is neither clay nor kalvo", c.Fleet)
	}
	if c.Load <= 0 || c.For <= 0 || c.Cancels < 0 || c.Cancels > 1 || c.Hog <= 0 {
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
			Fleet: fleet, Policy: policy, Seed: c.Seed, Load: c.Load, Duration: c.For, FaultSchedule: c.Faults, CancelRatio: c.Cancels, NoisyAccountFactor: c.Hog, PinAccounts: c.Skew,
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

func printRuns(o output, r report) error {
	w := tabwriter.NewWriter(o.stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(w, "policy\toffered\tgoodput\tto first\twasted\tworst\twrongful\tttft p50\tp95\tp99\titl p95\tviolations\t")
	for i := range r.Runs {
		n := &r.Runs[i]
		_, _ = fmt.Fprintf(w, "%s\t%.3f\t%.4f\t%.3f\t%.4f\t%.4f\t%.4f\t%.0f\t%.0f\t%.0f\t%.1f\t%d\t\n",
			n.Policy, n.OfferedLoad, n.Goodput, n.Goodput/max(r.Runs[0].Goodput, 1e-9), n.WastedPrefill, n.WorstAccount, n.WrongfulRefusals,
			n.TTFT.P50, n.TTFT.P95, n.TTFT.P99, n.ITL.P95, n.Violations)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "print result")
	}
	for i := range r.Runs {
		n := &r.Runs[i]
		_, _ = fmt.Fprintf(o.stdout, "%s: %d requests, %d answered, %d cancelled, %d broken, refused %v\n", n.Policy, n.Requests, n.Answers, n.Cancellations, n.BrokenConnections, n.Refusals)
		for _, d := range n.ViolationDetails {
			_, _ = fmt.Fprintln(o.stdout, "  violation:", d)
		}
	}
	return nil
}
