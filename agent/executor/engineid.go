package executor

import (
	"strconv"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// engineRequestID returns the engine's name for an attempt. It holds the gateway incarnation, so that a
// restarted gateway never meets work of its predecessor.
func engineRequestID(p *fleet.Peer, a fleet.Attempt) string {
	return p.Owner() + "-" + strconv.FormatUint(a.Request, 10) + "." + strconv.Itoa(a.Attempt)
}
