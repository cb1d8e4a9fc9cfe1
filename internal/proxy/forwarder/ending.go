package forwarder

// ending is how the body of an endpoint's response ended.
type ending uint8

// The endings of a body.
const (
	// notEnded means that there was no response, or that the rest of its body was not read.
	notEnded ending = iota
	// endedComplete means that the endpoint marked the end of the body.
	endedComplete
	// endedUnmarked means that the connection ended, and the body with it.
	endedUnmarked
	// endedInsideEvent means that a stream ended inside an event.
	endedInsideEvent
	// endedByError means that the connection broke, or that the attempt was cancelled.
	endedByError
)

// endingOf returns how a body that was read with the given error ended, without regard to what is in it.
func endingOf(r *Response, err error) ending {
	switch {
	case err != nil:
		return endedByError
	case r.Delimiter.MarksEnd():
		return endedComplete
	default:
		return endedUnmarked
	}
}

// String returns the ending as it appears in logs.
func (e ending) String() string {
	switch e {
	case endedComplete:
		return "complete"
	case endedUnmarked:
		return "connection closed"
	case endedInsideEvent:
		return "inside an event"
	case endedByError:
		return "error"
	default:
		return ""
	}
}
