// Package supervision sets up the supervisors of a process.
package supervision

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"
)

// New returns a supervisor that restarts its children, lets panics end the process and logs what fails.
func New(name string, logger *log.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		PassThroughPanics: true,
		EventHook: func(e suture.Event) {
			logger.Warn().Str("event", e.String()).Msg("supervisor: child failed")
		},
	})
}

// Every calls run once in each period until the context ends, and returns the context's error.
func Every(ctx context.Context, period time.Duration, run func()) error {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			run()
		}
	}
}

// Sleep waits for a time or until the context ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
