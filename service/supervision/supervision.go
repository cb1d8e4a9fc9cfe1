// Package supervision creates the supervisors of a process and contains helpers for the services under them.
package supervision

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/thejerf/suture/v4"
)

// New returns a supervisor that restarts the services under it when they fail and logs each failure. A panic of a
// service ends the process.
func New(name string, logger *log.Logger) *suture.Supervisor {
	return suture.New(name, suture.Spec{
		PassThroughPanics: true,
		EventHook: func(e suture.Event) {
			logger.Warn().Str("event", e.String()).Msg("supervisor: child failed")
		},
	})
}

// Every calls run once per period, first after one period, until the context ends. It returns the context's error. If
// run takes longer than a period, calls are skipped.
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

// Sleep waits for d, or until the context ends if that is earlier.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
