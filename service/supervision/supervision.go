// Package supervision sets up the supervisors of a process.
package supervision

import (
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
