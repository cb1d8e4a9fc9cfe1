// Package inifile reads INI text and validates its values. Every fault becomes a finding with its file, line, section
// and key, so that all faults of a text can be reported together.
package inifile

import (
	"math"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/pistachiovane/pistachiovane/pkg/finding"
)

// MaxBytes is the size of the largest text that New accepts. A list of the largest fleet, joined from its parts, fits.
const MaxBytes = 16 << 20

// File is parsed INI text together with the findings collected so far. It is not safe for concurrent use.
type File struct {
	name     string
	sections []*Section
	findings finding.Findings
}

// Section is one section of a file. Its methods read values by key and add a finding to the file for each value that is
// not valid. A key that no method has read is reported by File.Findings as unknown.
type Section struct {
	file *File
	// Name is the whole section name, such as "account studio".
	Name string
	// line is the line of the section's title, counted from 1.
	line   int
	values map[string]string
	// keyLines holds the line of each key, counted from 1.
	keyLines map[string]int
	// requested holds the keys that a method has read, whether the section has them or not.
	requested map[string]bool
}

// New parses text. The name identifies the file in findings. It always returns a file: text that is too long or is not
// valid INI gives a file without sections and with one finding.
func New(name string, text []byte) *File {
	f := &File{name: name}
	if len(text) > MaxBytes {
		f.addFinding(1, "", "",
			"the file has "+strconv.Itoa(len(text))+" bytes, at most "+strconv.Itoa(MaxBytes)+" are allowed")
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

// Findings returns the findings collected so far, and one more for each key that no method has read. Call it after all
// known keys have been read.
func (f *File) Findings() finding.Findings {
	out := append(finding.Findings(nil), f.findings...)
	for _, s := range f.sections {
		for k := range s.values {
			if !s.requested[k] {
				out = append(out, finding.Finding{
					File: f.name, Line: s.keyLines[k], Section: s.Name, Key: k, Message: "unknown key",
				})
			}
		}
	}
	return out.Sorted()
}

// addFinding adds a finding. section and key are empty for a fault that belongs to none.
func (f *File) addFinding(line int, section, key, message string) {
	f.findings = append(f.findings,
		finding.Finding{File: f.name, Line: line, Section: section, Key: key, Message: message})
}

// addSections adds the sections that the INI library has parsed to the file, and adds a finding for each section name
// or key that occurs twice. It skips the unnamed section before the first title when that section has no keys.
func (f *File) addSections(loaded *ini.File, index *lineIndex) {
	seen := make(map[string]bool)
	for _, s := range loaded.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		lines := index.nextSection(s.Name())
		section := &Section{
			file: f, Name: s.Name(), line: lines.line,
			values: make(map[string]string), keyLines: lines.keyLines, requested: make(map[string]bool),
		}
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

// KindAndName splits the section's name at its first space: "account studio" gives the kind "account" and the name
// "studio". The name is empty for a section with one word.
func (s *Section) KindAndName() (kind, name string) {
	kind, name, _ = strings.Cut(s.Name, " ")
	return kind, strings.TrimSpace(name)
}

// AddFinding adds a finding with the line of the key, or with the line of the section's title when the key is empty or
// missing from the section.
func (s *Section) AddFinding(key, message string) {
	line := s.line
	if l, ok := s.keyLines[key]; ok {
		line = l
	}
	s.file.addFinding(line, s.Name, key, message)
}

// String returns the value of the key, or fallback when the key is missing.
func (s *Section) String(key, fallback string) string {
	s.requested[key] = true
	if v, ok := s.values[key]; ok {
		return v
	}
	return fallback
}

// Required returns the value of the key, and adds a finding when the value is missing or empty.
func (s *Section) Required(key string) string {
	v := s.String(key, "")
	if v == "" {
		s.AddFinding(key, "is missing")
	}
	return v
}

// Words splits the value of the key at commas and returns its non-empty words without surrounding spaces.
func (s *Section) Words(key string) []string {
	var out []string
	for _, w := range strings.Split(s.String(key, ""), ",") {
		if w = strings.TrimSpace(w); w != "" {
			out = append(out, w)
		}
	}
	return out
}

// Number returns the value of the key, which must be a number from low to high. It returns fallback when the value is
// missing or empty. For a value that is not a number or is out of bounds, it adds a finding and returns fallback.
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

// Duration returns the value of the key, which must be a duration with a unit, such as 250ms, from low to high. It
// returns fallback when the value is missing or empty. For a value that is not valid, it adds a finding and returns
// fallback.
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

// Bool returns true for the value yes and false for no. It returns fallback when the value is missing or empty. For any
// other value, it adds a finding and returns fallback.
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

// formatNumber writes a bound in its shortest form, such as 0.001 or 1e+09.
func formatNumber(v float64) string {
	return strconv.FormatFloat(v, 'g', -1, 64)
}

// lineIndex holds the line numbers of sections and keys, which the INI library does not report.
type lineIndex struct {
	// sections maps a section's name to its occurrences in file order.
	sections map[string][]sectionLines
}

// sectionLines holds the line of a section's title and the lines of its keys, counted from 1.
type sectionLines struct {
	line     int
	keyLines map[string]int
}

// newLineIndex scans the text for section titles and keys.
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

// nextSection returns the lines of a section. If the name occurs several times, each call returns the next occurrence,
// in file order, and calls after the last one return the last one again. An unknown section gets line 1.
func (x *lineIndex) nextSection(name string) sectionLines {
	occurrences := x.sections[name]
	if len(occurrences) == 0 {
		return sectionLines{line: 1, keyLines: map[string]int{}}
	}
	if len(occurrences) > 1 {
		x.sections[name] = occurrences[1:]
	}
	return occurrences[0]
}
