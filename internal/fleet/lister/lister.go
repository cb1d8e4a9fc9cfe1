// Package lister describes the endpoints that the platform lists.
package lister

// Endpoint is one start of an endpoint.
type Endpoint struct {
	// ID names one start of the endpoint; a request that expects another one is not run.
	ID      string
	Address string
	Service string
	Domain  string
	Slots   int
	// Leaving endpoints take no new work.
	Leaving bool
	// Model is set for endpoints of model services; Prefill tells whether they only read prompts.
	Model   bool
	Prefill bool
}
