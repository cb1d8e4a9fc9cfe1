// Package settings reads and checks the settings file of a gateway or agent, which is in INI format, and generates the
// reference of its keys.
package settings

import (
	"os"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/finding"
	"github.com/pistachiovane/pistachiovane/pkg/inifile"
)

// Settings are the checked settings of one process.
type Settings struct {
	// Name is the name of the process's VM, as in the VM list.
	Name string
	// Domain is the failure domain of the VM.
	Domain string
	Fleet  Fleet
	// OperatorListenAddr is the address for dumps, metrics and health checks, as host:port.
	OperatorListenAddr string
	Platform           Platform
	Callers            Callers
	Route              Route
	Limits             Limits
	Engine             Engine
	Service            Service
}

// Fleet holds the settings of the connections between the processes of the fleet.
type Fleet struct {
	// ListenAddr is the address for the other processes of the fleet, as host:port.
	ListenAddr string
	// SecretFile is the path of the file that holds the fleet secret.
	SecretFile string
	// Secret is the fleet secret. Only Load sets it. It must not be printed or logged.
	Secret []byte
}

// Platform holds the settings of the connection to the platform, which publishes the VM list and the configuration.
type Platform struct {
	// URL is the base URL of the platform.
	URL string
	// PollInterval is the time between two reads of the VM list.
	PollInterval time.Duration
}

// Callers holds the settings of a gateway's port for callers.
type Callers struct {
	// ListenAddr is the address for callers, as host:port.
	ListenAddr string
	// CertFile and KeyFile are the paths of the TLS certificate and its key. Both are empty for plain HTTP.
	CertFile string
	KeyFile  string
	// MaxBodyBytes is the size of the largest request body that is accepted.
	MaxBodyBytes int64
	// MaxHeaderBytes is the size of the largest request header that is accepted.
	MaxHeaderBytes int
	// RequestReadTimeout is the longest time that a caller may take to send its request.
	RequestReadTimeout time.Duration
}

// Route holds the settings of the routing of requests to endpoints.
type Route struct {
	// Policy is probe, leastloaded, roundrobin or random.
	Policy string
	// FirstTokenTimeout is the time within which an interactive request must get its first token.
	FirstTokenTimeout time.Duration
	// PrefillTokensPerSecond is the assumed prefill speed of one endpoint.
	PrefillTokensPerSecond float64
	// TokensPerPiece is the size of one piece of KV cache memory.
	TokensPerPiece int
	// MaxQueuedPerClass limits the queued requests of each priority class.
	MaxQueuedPerClass int
}

// Limits holds the time bounds that the gateways rely on when they share the accounts' limits. If the platform exceeds
// these bounds, the fleet can exceed an account's limit.
type Limits struct {
	// MaxListLag is the longest time from the publication of a VM list without a gateway until that gateway's VM has
	// stopped or is suspended.
	MaxListLag time.Duration
	// MaxUnnoticedPause is the longest suspension of a VM that its gateway may not notice.
	MaxUnnoticedPause time.Duration
}

// Engine holds the settings of the model engine beside an agent.
type Engine struct {
	// URL is the base URL of the engine. It is empty for an agent of a plain service.
	URL string
	// DecodeSlots is the largest number of streams that the engine decodes at a time.
	DecodeSlots int
	// MemoryPieces is the size of the engine's KV cache memory; a piece has Route.TokensPerPiece tokens.
	MemoryPieces int
	// ReservationTimeout is how long a reservation is kept when its decode does not start.
	ReservationTimeout time.Duration
	// CheckFencingTokens makes the agent check the fencing tokens, for an engine that ignores them.
	CheckFencingTokens bool
}

// Service holds the settings of the plain service beside an agent.
type Service struct {
	// URL is the base URL of the service. It is empty for an agent of a model engine.
	URL string
	// IdempotencyWindow is how long the agent remembers an idempotency key.
	IdempotencyWindow time.Duration
	// MaxIdempotencyKeys is the largest number of idempotency keys that the agent remembers.
	MaxIdempotencyKeys int
}

// Load reads a settings file and the file of the fleet secret that it names. Faults of the settings are returned as
// finding.Findings.
func Load(path string) (Settings, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, errors.Wrap(err, "read settings")
	}
	s, findings := Parse(path, body)
	if len(findings) > 0 {
		return Settings{}, findings
	}
	s.Fleet.Secret, err = os.ReadFile(s.Fleet.SecretFile)
	return s, errors.Wrap(err, "read fleet secret")
}

// Default returns the default settings. Required settings, which have no default, are empty.
func Default() Settings {
	s, _ := Parse("default", nil)
	return s
}

// Parse reads settings and returns all faults together. name is the file name in the findings. The settings are valid
// only when there are no findings; an invalid value is replaced by its default. Parse does not read the fleet secret.
func Parse(name string, body []byte) (Settings, finding.Findings) {
	r := newReader(name, body)
	s := Settings{
		Name:               r.text(sectionProcess, "name"),
		Domain:             r.text(sectionProcess, "domain"),
		Fleet:              Fleet{ListenAddr: r.text(sectionFleet, "listen"), SecretFile: r.text(sectionFleet, "secret")},
		OperatorListenAddr: r.text(sectionOperator, "listen"),
		Platform:           Platform{URL: r.text(sectionPlatform, "url"), PollInterval: r.duration(sectionPlatform, "poll")},
		Callers:            r.callers(),
		Route:              r.route(),
		Limits: Limits{
			MaxListLag:        r.duration(sectionLimits, "lag"),
			MaxUnnoticedPause: r.duration(sectionLimits, "pause"),
		},
		Engine: r.engine(),
		Service: Service{
			URL:                r.text(sectionService, "url"),
			IdempotencyWindow:  r.duration(sectionService, "window"),
			MaxIdempotencyKeys: int(r.number(sectionService, "keys")),
		},
	}
	r.require(sectionProcess, "name", s.Name)
	r.require(sectionFleet, "secret", s.Fleet.SecretFile)
	r.require(sectionPlatform, "url", s.Platform.URL)
	if (s.Callers.CertFile == "") != (s.Callers.KeyFile == "") {
		r.section(sectionCallers).AddFinding("cert", "cert and key go together")
	}
	return s, r.findings()
}

// reader reads the values of a settings file with the defaults and bounds of their specs.
type reader struct {
	name     string
	file     *inifile.File
	sections map[string]*inifile.Section
	// missing holds a finding for each required key without a value.
	missing finding.Findings
}

// newReader parses the text and adds a finding for each unknown section.
func newReader(name string, body []byte) *reader {
	r := &reader{name: name, file: inifile.New(name, body), sections: make(map[string]*inifile.Section)}
	known := make(map[string]bool)
	for i := range specs {
		known[specs[i].section] = true
	}
	for _, s := range r.file.Sections() {
		if !known[s.Name] {
			s.AddFinding("", "unknown section")
		}
		r.sections[s.Name] = s
	}
	return r
}

// section returns the section with the name. If the file has none, it returns an empty section, in which every key has
// its default.
func (r *reader) section(name string) *inifile.Section {
	s, ok := r.sections[name]
	if !ok {
		empty := inifile.New(r.name, []byte("["+name+"]\n"))
		s = empty.Sections()[0]
		r.sections[name] = s
	}
	return s
}

// findSpec returns the spec of a key. It panics when there is none.
func (r *reader) findSpec(section, key string) *spec {
	for i := range specs {
		if specs[i].section == section && specs[i].key == key {
			return &specs[i]
		}
	}
	panic("settings: no spec for " + section + " " + key)
}

// text returns the value of a text key, or its default.
func (r *reader) text(section, key string) string {
	return r.section(section).String(key, r.findSpec(section, key).fallback)
}

// number returns the value of a number key, or its default. It panics when the spec's default is not a number.
func (r *reader) number(section, key string) float64 {
	p := r.findSpec(section, key)
	fallback, err := strconv.ParseFloat(p.fallback, 64)
	if err != nil {
		panic("settings: bad default of " + section + " " + key)
	}
	return r.section(section).Number(key, fallback, p.minNumber, p.maxNumber)
}

// duration returns the value of a duration key, or its default. It panics when the spec's default is not a duration.
func (r *reader) duration(section, key string) time.Duration {
	p := r.findSpec(section, key)
	fallback, err := time.ParseDuration(p.fallback)
	if err != nil {
		panic("settings: bad default of " + section + " " + key)
	}
	return r.section(section).Duration(key, fallback, p.minDuration, p.maxDuration)
}

// bool returns the value of a yes-or-no key, or its default.
func (r *reader) bool(section, key string) bool {
	return r.section(section).Bool(key, r.findSpec(section, key).fallback == "yes")
}

// callers reads the section callers.
func (r *reader) callers() Callers {
	return Callers{
		ListenAddr:         r.text(sectionCallers, "listen"),
		CertFile:           r.text(sectionCallers, "cert"),
		KeyFile:            r.text(sectionCallers, "key"),
		MaxBodyBytes:       int64(r.number(sectionCallers, "body")),
		MaxHeaderBytes:     int(r.number(sectionCallers, "header")),
		RequestReadTimeout: r.duration(sectionCallers, "slow"),
	}
}

// route reads the section route.
func (r *reader) route() Route {
	return Route{
		Policy:                 r.text(sectionRoute, "policy"),
		FirstTokenTimeout:      r.duration(sectionRoute, "first"),
		PrefillTokensPerSecond: r.number(sectionRoute, "prefill"),
		TokensPerPiece:         int(r.number(sectionRoute, "piece")),
		MaxQueuedPerClass:      int(r.number(sectionRoute, "queue")),
	}
}

// engine reads the section engine.
func (r *reader) engine() Engine {
	return Engine{
		URL:                r.text(sectionEngine, "url"),
		DecodeSlots:        int(r.number(sectionEngine, "slots")),
		MemoryPieces:       int(r.number(sectionEngine, "pieces")),
		ReservationTimeout: r.duration(sectionEngine, "reserve"),
		CheckFencingTokens: r.bool(sectionEngine, "fence"),
	}
}

// require adds a finding for a key whose value is empty. Section.Required can't be used, because its finding would be
// lost when the section is missing from the file.
func (r *reader) require(section, key, value string) {
	if value == "" {
		r.missing = append(r.missing,
			finding.Finding{File: r.name, Line: 1, Section: section, Key: key, Message: "is missing"})
	}
}

// findings returns the findings of the file and those of missing keys, sorted.
func (r *reader) findings() finding.Findings {
	return append(r.file.Findings(), r.missing...).Sorted()
}
