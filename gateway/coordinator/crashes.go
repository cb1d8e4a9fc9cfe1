package coordinator

import (
	"github.com/pistachiovane/pistachiovane/pkg/attributor"
	"github.com/pistachiovane/pistachiovane/pkg/dispatcher"
	"github.com/pistachiovane/pistachiovane/pkg/quarantiner"
	"github.com/pistachiovane/pistachiovane/pkg/tokenizer"
)

const (
	// crashRecordsPerMessage is how many crash records a message to a peer contains, in turn. A message goes to one peer,
	// which passes its content on, so changes have no precedence.
	crashRecordsPerMessage = 256
	// partReportsPerMessage is the same for broken runs and what is known of the parts of their prompts.
	partReportsPerMessage = 32
)

// The kinds of features that are the parts of prompts.
const (
	runPartKind attributor.Kind = iota + 1
	prefillPartKind
)

// addFeatures adds what a request shares with others: the parts of its prompt.
func addFeatures(r *dispatcher.Request, prompt string) {
	for _, part := range tokenizer.Parts(prompt, attributor.MaxFeaturesPerRun) {
		r.Features = append(r.Features, attributor.NewFeature(runPartKind, part))
		r.PrefillFeatures = append(r.PrefillFeatures, attributor.NewFeature(prefillPartKind, part))
	}
}

// NextCrashRecords returns records of requests that crashed endpoints, in turn, to be sent to a peer.
func (c *Coordinator) NextCrashRecords() []quarantiner.CrashRecord {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantiner.NextCrashRecords(crashRecordsPerMessage, crashRecordsPerMessage, c.now())
}

// MergeCrashRecords adds the crash records received from a peer.
func (c *Coordinator) MergeCrashRecords(records []quarantiner.CrashRecord) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.quarantiner.Merge(records, c.now())
}

// NextPartReports returns what a peer is told of the parts of prompts that may crash endpoints.
func (c *Coordinator) NextPartReports() attributor.Reports {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.attributor.NextReports(partReportsPerMessage, partReportsPerMessage, c.now())
}

// MergePartReports adds what a peer told of the parts of prompts.
func (c *Coordinator) MergePartReports(r attributor.Reports) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attributor.Merge(r, c.now())
}
