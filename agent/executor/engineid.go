package executor

import (
	"strconv"

	"github.com/pistachiovane/pistachiovane/service/fleet"
)

// engineRequestID returns the ID of an attempt at the engine. It contains the incarnation of the gateway, so that a
// restarted gateway never addresses work of its previous incarnation.
func engineRequestID(p *fleet.Peer, a fleet.Attempt) string {
	return p.ConnectionID() + "-" + strconv.FormatUint(a.RequestID, 10) + "." + strconv.Itoa(a.Attempt)
}
