// Package settings reads the settings of a process from INI.
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
	Name               string
	Domain             string
	Fleet              Fleet
	OperatorListenAddr string
	Platform           Platform
	Callers            Callers
	Route              Route
	Limits             Limits
	Engine             Engine
	Service            Service
}

// Fleet is how the process meets the others.
type Fleet struct {
	ListenAddr string
	// SecretFile names the file that holds the secret.
	SecretFile string
	// Secret is set by Load only, and never printed.
	Secret []byte
}

// Platform is where the platform publishes.
type Platform struct {
	URL          string
	PollInterval time.Duration
}

// Callers is the caller's port.
type Callers struct {
	ListenAddr string
	CertFile   string
	KeyFile    string
	// MaxBodyBytes and Header are in bytes.
	MaxBodyBytes       int64
	MaxHeaderBytes     int
	RequestReadTimeout time.Duration
}

// Route is how requests are placed.
type Route struct {
	Policy string
	// FirstTokenTimeout is the first-token deadline of interactive requests.
	FirstTokenTimeout time.Duration
	// PrefillTokensPerSecond is in tokens a second.
	PrefillTokensPerSecond float64
	// TokensPerPiece is in tokens.
	TokensPerPiece    int
	MaxQueuedPerClass int
}

// Limits are the bounds that the sharing of limits relies on.
type Limits struct {
	MaxListLag        time.Duration
	MaxUnnoticedPause time.Duration
}

// Engine is the model engine beside an agent; URL is empty for an agent of a plain service.
type Engine struct {
	URL                string
	DecodeSlots        int
	MemoryPieces       int
	ReservationTimeout time.Duration
	CheckFencingTokens bool
}

// Service is the plain service beside an agent; URL is empty for an agent of a model engine.
type Service struct {
	URL                string
	IdempotencyWindow  time.Duration
	MaxIdempotencyKeys int
}

// Load reads a settings file and the secret that it names.
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

// Default returns the settings with every default in place.
func Default() Settings {
	s, _ := Parse("default", nil)
	return s
}

// Parse reads settings; all faults are reported together.
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
		Limits:             Limits{MaxListLag: r.duration(sectionLimits, "lag"), MaxUnnoticedPause: r.duration(sectionLimits, "pause")},
		Engine:             r.engine(),
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

// reader reads keys by their specs.
type reader struct {
	name     string
	file     *inifile.File
	sections map[string]*inifile.Section
	missing  finding.Findings
}

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

// section returns a section of the file, or an empty one.
func (r *reader) section(name string) *inifile.Section {
	s, ok := r.sections[name]
	if !ok {
		empty := inifile.New(r.name, []byte("["+name+"]\n"))
		s = empty.Sections()[0]
		r.sections[name] = s
	}
	return s
}

func (r *reader) findSpec(section, key string) *spec {
	for i := range specs {
		if specs[i].section == section && specs[i].key == key {
			return &specs[i]
		}
	}
	panic("settings: no spec for " + section + " " + key)
}

func (r *reader) text(section, key string) string {
	return r.section(section).String(key, r.findSpec(section, key).fallback)
}

func (r *reader) number(section, key string) float64 {
	p := r.findSpec(section, key)
	fallback, err := strconv.ParseFloat(p.fallback, 64)
	if err != nil {
		panic("settings: bad default of " + section + " " + key)
	}
	return r.section(section).Number(key, fallback, p.minNumber, p.maxNumber)
}

func (r *reader) duration(section, key string) time.Duration {
	p := r.findSpec(section, key)
	fallback, err := time.ParseDuration(p.fallback)
	if err != nil {
		panic("settings: bad default of " + section + " " + key)
	}
	return r.section(section).Duration(key, fallback, p.minDuration, p.maxDuration)
}

func (r *reader) bool(section, key string) bool {
	return r.section(section).Bool(key, r.findSpec(section, key).fallback == "yes")
}

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

func (r *reader) route() Route {
	return Route{
		Policy:                 r.text(sectionRoute, "policy"),
		FirstTokenTimeout:      r.duration(sectionRoute, "first"),
		PrefillTokensPerSecond: r.number(sectionRoute, "prefill"),
		TokensPerPiece:         int(r.number(sectionRoute, "piece")),
		MaxQueuedPerClass:      int(r.number(sectionRoute, "queue")),
	}
}

func (r *reader) engine() Engine {
	return Engine{
		URL:                r.text(sectionEngine, "url"),
		DecodeSlots:        int(r.number(sectionEngine, "slots")),
		MemoryPieces:       int(r.number(sectionEngine, "pieces")),
		ReservationTimeout: r.duration(sectionEngine, "reserve"),
		CheckFencingTokens: r.bool(sectionEngine, "fence"),
	}
}

// require records a finding for a key without a value; the section may be missing from the file.
func (r *reader) require(section, key, value string) {
	if value == "" {
		r.missing = append(r.missing, finding.Finding{File: r.name, Line: 1, Section: section, Key: key, Message: "is missing"})
	}
}

func (r *reader) findings() finding.Findings {
	return append(r.file.Findings(), r.missing...).Sorted()
}
