// Package inifile reads INI text and checks its values, collecting findings with their place.
package inifile

import (
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pistachiovane/pistachiovane/pkg/finding"
)

// MaxBytes is the largest text accepted: a list of the largest fleet, joined from its parts.
const MaxBytes = 16 << 20

// File is INI text that was read.
type File struct {
	name     string
	sections []*Section
	findings finding.Findings
}

// Section is one section of a file.
type Section struct {
	file *File
	// Name is the whole section name, such as "account studio".
	Name   string
	line   int
	values map[string]string
	// keyLines maps a key to its line.
	keyLines map[string]int
	// requested marks the keys that were asked for.
	requested map[string]bool
}

// New reads text; faults of syntax are among the findings.
func New(name string, text []byte) *File {
	f := &File{name: name}
	if len(text) > MaxBytes {
		f.addFinding(1, "", "", "the file has "+strconv.Itoa(len(text))+" bytes, at most "+strconv.Itoa(MaxBytes)+" are allowed")
		return f
	}
	options := ini.LoadOptions{AllowNonUniqueSections: true, AllowShadows: true, SkipUnrecognizableLines: false}
	loaded, err := ini.LoadSources(options, text)
	if err != nil {
		f.addFinding(1, "", "", "not INI: "+err.Error())
		return f
	}
	f.addSections(loaded, newLineIndex(string(text)))
	return f
}

// Sections returns the sections in file order.
func (f *File) Sections() []*Section {
	return f.sections
}

// Findings returns what is wrong so far, with a finding for each key that nothing asked for.
func (f *File) Findings() finding.Findings {
	out := append(finding.Findings(nil), f.findings...)
	for _, s := range f.sections {
		for k := range s.values {
			if !s.requested[k] {
				out = append(out, finding.Finding{File: f.name, Line: s.keyLines[k], Section: s.Name, Key: k, Message: "unknown key"})
			}
		}
	}
	return out.Sorted()
}

func (f *File) addFinding(line int, section, key, message string) {
	f.findings = append(f.findings, finding.Finding{File: f.name, Line: line, Section: section, Key: key, Message: message})
}

func (f *File) addSections(loaded *ini.File, index *lineIndex) {
	seen := make(map[string]bool)
	for _, s := range loaded.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		lines := index.nextSection(s.Name())
		section := &Section{file: f, Name: s.Name(), line: lines.line, values: make(map[string]string), keyLines: lines.keyLines, requested: make(map[string]bool)}
		if seen[s.Name()] {
			f.addFinding(lines.line, s.Name(), "", "the section stands twice")
		}
		seen[s.Name()] = true
		for _, k := range s.Keys() {
			if len(k.ValueWithShadows()) > 1 {
				f.addFinding(lines.keyLines[k.Name()], s.Name(), k.Name(), "the key stands twice")
			}
			section.values[k.Name()] = k.String()
		}
		f.sections = append(f.sections, section)
	}
}

// KindAndName returns the first word of the section's name and the rest.
func (s *Section) KindAndName() (kind, name string) {
	kind, name, _ = strings.Cut(s.Name, " ")
	return kind, strings.TrimSpace(name)
}

// AddFinding records a finding at the key, or at the section when the key is empty.
func (s *Section) AddFinding(key, message string) {
	line := s.line
	if l, ok := s.keyLines[key]; ok {
		line = l
	}
	s.file.addFinding(line, s.Name, key, message)
}

// String returns the value of the key, or the default when it is missing.
func (s *Section) String(key, fallback string) string {
	s.requested[key] = true
	if v, ok := s.values[key]; ok {
		return v
	}
	return fallback
}

// Required returns the value of the key; a missing or empty one is a finding.
func (s *Section) Required(key string) string {
	v := s.String(key, "")
	if v == "" {
		s.AddFinding(key, "is missing")
	}
	return v
}

// Words returns the comma-separated words of the key.
func (s *Section) Words(key string) []string {
	var out []string
	for _, w := range strings.Split(s.String(key, ""), ",") {
		if w = strings.TrimSpace(w); w != "" {
			out = append(out, w)
		}
	}
	return out
}

// Number returns the value of the key within [low, high].
func (s *Section) Number(key string, fallback, low, high float64) float64 {
	text := s.String(key, "")
	if text == "" {
		return fallback
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) {
		s.AddFinding(key, strconv.Quote(text)+" is not a number")
		return fallback
	}
	if v < low || v > high {
		s.AddFinding(key, text+" is not within "+formatNumber(low)+" and "+formatNumber(high))
		return fallback
	}
	return v
}

// Duration returns the value of the key, such as 250ms, within [low, high].
func (s *Section) Duration(key string, fallback, low, high time.Duration) time.Duration {
	text := s.String(key, "")
	if text == "" {
		return fallback
	}
	v, err := time.ParseDuration(text)
	if err != nil {
		s.AddFinding(key, strconv.Quote(text)+" is not a duration with a unit, such as 250ms")
		return fallback
	}
	if v < low || v > high {
		s.AddFinding(key, text+" is not within "+low.String()+" and "+high.String())
		return fallback
	}
	return v
}

// Bool returns whether the value of the key is yes.
func (s *Section) Bool(key string, fallback bool) bool {
	switch text := s.String(key, ""); text {
	case "":
		return fallback
	case "yes":
		return true
	case "no":
		return false
	default:
		s.AddFinding(key, strconv.Quote(text)+" is neither yes nor no")
		return fallback
	}
}

func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// lineIndex finds the lines of sections and keys, which the INI library does not tell.
type lineIndex struct {
	sections map[string][]sectionLines
}

type sectionLines struct {
	line     int
	keyLines map[string]int
}

func newLineIndex(text string) *lineIndex {
	index := &lineIndex{sections: make(map[string][]sectionLines)}
	name := ini.DefaultSection
	index.sections[name] = []sectionLines{{line: 1, keyLines: make(map[string]int)}}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.Contains(line, "]") {
			name = strings.TrimSpace(line[1:strings.Index(line, "]")])
			index.sections[name] = append(index.sections[name], sectionLines{line: i + 1, keyLines: make(map[string]int)})
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		occurrences := index.sections[name]
		occurrences[len(occurrences)-1].keyLines[strings.TrimSpace(key)] = i + 1
	}
	return index
}

// nextSection returns the place of the next section of that name in file order.
func (p *lineIndex) nextSection(name string) sectionLines {
	occurrences := p.sections[name]
	if len(occurrences) == 0 {
		return sectionLines{line: 1, keyLines: map[string]int{}}
	}
	if len(occurrences) > 1 {
		p.sections[name] = occurrences[1:]
	}
	return occurrences[0]
}
