package settings

import (
	"fmt"
	"strings"
	"time"
)

// valueKind is the kind of value that a key takes, as the settings reference prints it.
type valueKind string

// The kinds of values.
const (
	textValue     valueKind = "text"
	numberValue   valueKind = "number"
	durationValue valueKind = "duration"
	boolValue     valueKind = "yes or no"
)

// The sections of a settings file.
const (
	sectionProcess  = "process"
	sectionFleet    = "fleet"
	sectionOperator = "operator"
	sectionPlatform = "platform"
	sectionCallers  = "callers"
	sectionRoute    = "route"
	sectionLimits   = "limits"
	sectionEngine   = "engine"
	sectionService  = "service"
)

// spec describes one key of a settings file.
type spec struct {
	section, key string
	kind         valueKind
	// fallback is the default value, as it is written in a file. It is empty for a key without a default.
	fallback string
	// minNumber and maxNumber are the bounds of a numberValue, in the unit that the field unit names.
	minNumber, maxNumber float64
	// minDuration and maxDuration are the bounds of a durationValue.
	minDuration time.Duration
	maxDuration time.Duration
	// unit is the unit of a numberValue.
	unit string
	// doc is the meaning of the key in the settings reference.
	doc string
}

// specs describes every key, in the order in which the settings reference lists them.
var specs = []spec{
	{section: sectionProcess, key: "name", kind: textValue, doc: "Name of the VM, as in the VM list. Required."},
	{section: sectionProcess, key: "domain", kind: textValue, fallback: "a", doc: "Failure domain of the VM."},
	{
		section: sectionFleet, key: "listen", kind: textValue, fallback: "127.0.0.1:0",
		doc: "Address for the other processes of the fleet.",
	},
	{
		section: sectionFleet, key: "secret", kind: textValue,
		doc: "File that holds the fleet secret, at least 16 bytes. Required.",
	},
	{
		section: sectionOperator, key: "listen", kind: textValue, fallback: "127.0.0.1:0",
		doc: "Address for dumps, metrics and health.",
	},
	{
		section: sectionPlatform, key: "url", kind: textValue,
		doc: "Base URL of what the platform publishes. Required.",
	},
	{
		section: sectionPlatform, key: "poll", kind: durationValue, fallback: "1s",
		minDuration: 50 * time.Millisecond, maxDuration: time.Minute,
		doc: "Time between reads of the VM list.",
	},
	{
		section: sectionCallers, key: "listen", kind: textValue, fallback: "127.0.0.1:0",
		doc: "Address for callers. Gateway only.",
	},
	{
		section: sectionCallers, key: "cert", kind: textValue,
		doc: "TLS certificate file; empty for plain HTTP. Read again when it changes.",
	},
	{section: sectionCallers, key: "key", kind: textValue, doc: "TLS key file."},
	{
		section: sectionCallers, key: "body", kind: numberValue, fallback: "4194304",
		minNumber: 1024, maxNumber: 64 << 20, unit: "bytes",
		doc: "Largest request body.",
	},
	{
		section: sectionCallers, key: "header", kind: numberValue, fallback: "16384",
		minNumber: 1024, maxNumber: 1 << 20, unit: "bytes",
		doc: "Largest request header.",
	},
	{
		section: sectionCallers, key: "slow", kind: durationValue, fallback: "10s",
		minDuration: 100 * time.Millisecond, maxDuration: 10 * time.Minute,
		doc: "Longest time that a caller may take to send its request.",
	},
	{
		section: sectionRoute, key: "policy", kind: textValue, fallback: "probe",
		doc: "Routing policy: probe, leastloaded, roundrobin or random.",
	},
	{
		section: sectionRoute, key: "first", kind: durationValue, fallback: "1600ms",
		minDuration: 10 * time.Millisecond, maxDuration: time.Hour,
		doc: "First-token deadline of interactive requests.",
	},
	{
		section: sectionRoute, key: "prefill", kind: numberValue, fallback: "20000",
		minNumber: 1, maxNumber: 1e9, unit: "tokens/s",
		doc: "Prefill speed of one endpoint.",
	},
	{
		section: sectionRoute, key: "piece", kind: numberValue, fallback: "2048",
		minNumber: 1, maxNumber: 1 << 20, unit: "tokens",
		doc: "Size of one piece of engine memory.",
	},
	{
		section: sectionRoute, key: "queue", kind: numberValue, fallback: "4096",
		minNumber: 1, maxNumber: 1e6, unit: "requests",
		doc: "Longest queue of each class.",
	},
	{
		section: sectionLimits, key: "lag", kind: durationValue, fallback: "5s",
		minDuration: 0, maxDuration: 10 * time.Minute,
		doc: "Longest time from a VM list without a gateway until that VM has stopped or is suspended.",
	},
	{
		section: sectionLimits, key: "pause", kind: durationValue, fallback: "2s",
		minDuration: 100 * time.Millisecond, maxDuration: time.Minute,
		doc: "Longest suspension that a gateway may not notice.",
	},
	{section: sectionEngine, key: "url", kind: textValue, doc: "Base URL of the model engine beside an agent."},
	{
		section: sectionEngine, key: "slots", kind: numberValue, fallback: "20",
		minNumber: 1, maxNumber: 10000, unit: "requests",
		doc: "Streams that the engine decodes at a time.",
	},
	{
		section: sectionEngine, key: "pieces", kind: numberValue, fallback: "96",
		minNumber: 1, maxNumber: 1e6, unit: "pieces",
		doc: "Engine memory.",
	},
	{
		section: sectionEngine, key: "reserve", kind: durationValue, fallback: "3s",
		minDuration: 100 * time.Millisecond, maxDuration: time.Minute,
		doc: "How long a reservation is held before its decode starts.",
	},
	{
		section: sectionEngine, key: "fence", kind: boolValue, fallback: "yes",
		doc: "Whether the agent compares fencing numbers for an engine that ignores them.",
	},
	{section: sectionService, key: "url", kind: textValue, doc: "Base URL of the plain service beside an agent."},
	{
		section: sectionService, key: "window", kind: durationValue, fallback: "1h",
		minDuration: time.Second, maxDuration: 24 * time.Hour,
		doc: "How long an idempotency key is remembered.",
	},
	{
		section: sectionService, key: "keys", kind: numberValue, fallback: "200000",
		minNumber: 1, maxNumber: 1e7, unit: "keys",
		doc: "Most idempotency keys that one agent remembers.",
	},
}

// Reference returns the settings reference, a Markdown table of all keys.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the code by `UPDATE_GOLDEN=1 go test ./pkg/settings`; do not edit.\n\n")
	b.WriteString("| section | key | kind | default | bounds | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for i := range specs {
		s := &specs[i]
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s | %s |\n",
			s.section, s.key, s.kind, codeSpan(s.fallback), s.bounds(), s.doc)
	}
	return b.String()
}

// bounds formats the bounds of a number or duration. It returns an empty string for other kinds.
func (s *spec) bounds() string {
	switch s.kind {
	case numberValue:
		return fmt.Sprintf("%.0f to %.0f %s", s.minNumber, s.maxNumber, s.unit)
	case durationValue:
		return s.minDuration.String() + " to " + s.maxDuration.String()
	default:
		return ""
	}
}

// codeSpan formats text as Markdown code. Empty text stays empty.
func codeSpan(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}
