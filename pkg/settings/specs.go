package settings

import (
	"fmt"
	"strings"
	"time"
)

type kind string

const (
	text     kind = "text"
	number   kind = "number"
	duration kind = "duration"
	truth    kind = "yes or no"
)

// The sections of a settings file.
const (
	inProcess  = "process"
	inFleet    = "fleet"
	inOperator = "operator"
	inPlatform = "platform"
	inCallers  = "callers"
	inRoute    = "route"
	inLimits   = "limits"
	inEngine   = "engine"
	inService  = "service"
)

// spec describes one key: its place, its default, bounds with unit, and what it is for.
type spec struct {
	section, key string
	kind         kind
	fallback     string
	low, high    float64
	shortest     time.Duration
	longest      time.Duration
	unit         string
	doc          string
}

// specs lists every key in the order of the reference.
var specs = []spec{
	{section: inProcess, key: "name", kind: text, doc: "Name of the VM, as in the VM list. Required."},
	{section: inProcess, key: "domain", kind: text, fallback: "a", doc: "Failure domain of the VM."},
	{section: inFleet, key: "listen", kind: text, fallback: "127.0.0.1:0", doc: "Address for the other processes of the fleet."},
	{section: inFleet, key: "secret", kind: text, doc: "File that holds the fleet secret, at least 16 bytes. Required."},
	{section: inOperator, key: "listen", kind: text, fallback: "127.0.0.1:0", doc: "Address for dumps, metrics and health."},
	{section: inPlatform, key: "url", kind: text, doc: "Base URL of what the platform publishes. Required."},
	{section: inPlatform, key: "poll", kind: duration, fallback: "1s", shortest: 50 * time.Millisecond, longest: time.Minute, doc: "Time between reads of the VM list."},
	{section: inCallers, key: "listen", kind: text, fallback: "127.0.0.1:0", doc: "Address for callers. Gateway only."},
	{section: inCallers, key: "cert", kind: text, doc: "TLS certificate file; empty for plain HTTP. Read again when it changes."},
	{section: inCallers, key: "key", kind: text, doc: "TLS key file."},
	{section: inCallers, key: "body", kind: number, fallback: "4194304", low: 1024, high: 64 << 20, unit: "bytes", doc: "Largest request body."},
	{section: inCallers, key: "header", kind: number, fallback: "16384", low: 1024, high: 1 << 20, unit: "bytes", doc: "Largest request header."},
	{section: inCallers, key: "slow", kind: duration, fallback: "10s", shortest: 100 * time.Millisecond, longest: 10 * time.Minute, doc: "Longest time that a caller may take to send its request."},
	{section: inRoute, key: "policy", kind: text, fallback: "probe", doc: "Routing policy: probe, leastloaded, roundrobin or random."},
	{section: inRoute, key: "first", kind: duration, fallback: "1600ms", shortest: 10 * time.Millisecond, longest: time.Hour, doc: "First-token deadline of interactive requests."},
	{section: inRoute, key: "prefill", kind: number, fallback: "20000", low: 1, high: 1e9, unit: "tokens/s", doc: "Prefill speed of one endpoint."},
	{section: inRoute, key: "piece", kind: number, fallback: "2048", low: 1, high: 1 << 20, unit: "tokens", doc: "Size of one piece of engine memory."},
	{section: inRoute, key: "queue", kind: number, fallback: "4096", low: 1, high: 1e6, unit: "requests", doc: "Longest queue of each class."},
	{section: inLimits, key: "lag", kind: duration, fallback: "5s", shortest: 0, longest: 10 * time.Minute, doc: "Longest time from a VM list without a gateway until that VM has stopped or is suspended."},
	{section: inLimits, key: "pause", kind: duration, fallback: "2s", shortest: 100 * time.Millisecond, longest: time.Minute, doc: "Longest suspension that a gateway may not notice."},
	{section: inEngine, key: "url", kind: text, doc: "Base URL of the model engine beside an agent."},
	{section: inEngine, key: "slots", kind: number, fallback: "20", low: 1, high: 10000, unit: "requests", doc: "Streams that the engine decodes at a time."},
	{section: inEngine, key: "pieces", kind: number, fallback: "96", low: 1, high: 1e6, unit: "pieces", doc: "Engine memory."},
	{section: inEngine, key: "reserve", kind: duration, fallback: "3s", shortest: 100 * time.Millisecond, longest: time.Minute, doc: "How long a reservation is held before its decode starts."},
	{section: inEngine, key: "fence", kind: truth, fallback: "yes", doc: "Whether the agent compares fencing numbers for an engine that ignores them."},
	{section: inService, key: "url", kind: text, doc: "Base URL of the plain service beside an agent."},
	{section: inService, key: "window", kind: duration, fallback: "1h", shortest: time.Second, longest: 24 * time.Hour, doc: "How long an idempotency key is remembered."},
	{section: inService, key: "keys", kind: number, fallback: "200000", low: 1, high: 1e7, unit: "keys", doc: "Most idempotency keys that one agent remembers."},
}

// Reference returns the settings reference in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the code by `UPDATE_GOLDEN=1 go test ./pkg/settings`; do not edit.\n\n")
	b.WriteString("| section | key | kind | default | bounds | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for i := range specs {
		s := &specs[i]
		fmt.Fprintf(&b, "| `%s` | `%s` | %s | %s | %s | %s |\n", s.section, s.key, s.kind, quoted(s.fallback), s.bounds(), s.doc)
	}
	return b.String()
}

func (s *spec) bounds() string {
	switch s.kind {
	case number:
		return fmt.Sprintf("%.0f to %.0f %s", s.low, s.high, s.unit)
	case duration:
		return s.shortest.String() + " to " + s.longest.String()
	default:
		return ""
	}
}

func quoted(s string) string {
	if s == "" {
		return ""
	}
	return "`" + s + "`"
}
