package runner

import (
	"time"

	"github.com/pkg/errors"
)

// scheduleFaults schedules the crashes of the selected fault schedule. "daily" crashes one engine and one gateway
// during the run. "storm" crashes an engine every 6 s and a gateway every 30 s. It fails on an unknown name.
func (r *Runner) scheduleFaults() error {
	switch r.options.FaultSchedule {
	case "", "none":
	case "daily":
		r.scheduleAgentCrash(warmUp + r.options.Duration/3)
		r.scheduleGatewayCrash(warmUp + r.options.Duration/2)
	case "storm":
		for at := warmUp; at < warmUp+r.options.Duration; at += 6 * time.Second {
			r.scheduleAgentCrash(at)
		}
		for at := warmUp + 10*time.Second; at < warmUp+r.options.Duration; at += 30 * time.Second {
			r.scheduleGatewayCrash(at)
		}
	default:
		return errors.Errorf("fault schedule %q is not known", r.options.FaultSchedule)
	}
	return nil
}

// scheduleAgentCrash schedules the crash of a random engine at a virtual time.
func (r *Runner) scheduleAgentCrash(at time.Duration) {
	n := r.agents[r.endpointIDs[r.rng.IntN(len(r.endpointIDs))]]
	r.timeline.after(at, n.crash)
}

// scheduleGatewayCrash schedules the crash of a random gateway at a virtual time.
func (r *Runner) scheduleGatewayCrash(at time.Duration) {
	g := r.gateways[r.rng.IntN(len(r.gateways))]
	r.timeline.after(at, g.crash)
}
