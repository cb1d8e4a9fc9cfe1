package suspender

import "time"

// EventKind is what has changed for an endpoint.
type EventKind string

// The kinds of events. They appear in the logs.
const (
	// Leaving means that the endpoint said that it leaves.
	Leaving EventKind = "leaving"
	// Paused means that the endpoint asked for a pause while it was not paused.
	Paused EventKind = "paused"
	// Resumed means that the endpoint is used again as before its pause.
	Resumed EventKind = "resumed"
	// Ignored means that the endpoint sent something that was ignored.
	Ignored EventKind = "ignored"
)

// Event is a change for an endpoint.
type Event struct {
	Kind       EventKind
	EndpointID string
	// RequestID is the ID of the request whose answer brought the change. It is empty if none did.
	RequestID string
	// Duration is the length of a pause that began, with the part that this gateway added. It is zero for other events.
	Duration time.Duration
	// Value is what was ignored.
	Value string
}

// TakeEvents returns the events since its last call.
func (s *Suspender) TakeEvents() []Event {
	events := s.events
	s.events = nil
	return events
}

// addEvent adds an event that a signal brought.
func (s *Suspender) addEvent(signal Signal, kind EventKind, duration time.Duration) {
	s.events = append(s.events, Event{
		Kind: kind, EndpointID: signal.EndpointID, RequestID: signal.RequestID, Duration: duration,
	})
}
