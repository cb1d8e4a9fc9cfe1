package runner

import (
	"time"

	"github.com/pkg/errors"
)

// setFaults schedules crashes. daily crashes one engine and one gateway; storm crashes an engine every few
// seconds and a gateway every half minute.
func (r *Runner) setFaults() error {
	switch r.options.FaultSchedule {
	case "", "none":
	case "daily":
		r.crashNode(warm + r.options.Duration/3)
		r.crashEntry(warm + r.options.Duration/2)
	case "storm":
		for at := warm; at < warm+r.options.Duration; at += 6 * time.Second {
			r.crashNode(at)
		}
		for at := warm + 10*time.Second; at < warm+r.options.Duration; at += 30 * time.Second {
			r.crashEntry(at)
		}
	default:
		return errors.Errorf("fault schedule %q is not known", r.options.FaultSchedule)
	}
	return nil
}

func (r *Runner) crashNode(at time.Duration) {
	n := r.nodes[r.order[r.rng.IntN(len(r.order))]]
	r.line.after(at, n.crash)
}

func (r *Runner) crashEntry(at time.Duration) {
	g := r.entries[r.rng.IntN(len(r.entries))]
	r.line.after(at, g.crash)
}
