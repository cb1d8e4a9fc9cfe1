// Package patcher tells what changed between versions of a list, section by section, so that a change moves its own
// size and not the list's.
package patcher

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxRemovals bounds the remembered removals; whoever is behind them gets the whole list.
const maxRemovals = 4096

// Delta leads from one version of a list to a later one.
type Delta struct {
	FromVersion uint64
	ToVersion   uint64
	// ChangedSections are the sections that are new or changed, each from its title on.
	ChangedSections []string
	// RemovedTitles are the titles of sections that are gone.
	RemovedTitles []string
	// Digest is that of the whole list at To.
	Digest uint64
}

type versionedSection struct {
	text string
	// changedVersion is the version at which the section was seen with this text first.
	changedVersion uint64
}

type removal struct {
	title   string
	version uint64
}

// Patcher holds the present version of one list. It is not safe for concurrent use.
type Patcher struct {
	version  uint64
	sections map[string]versionedSection
	// digest is that of the present version; deltas carry it.
	digest   uint64
	removals []removal
	// oldestVersion is the oldest version that deltas can start from.
	oldestVersion uint64
}

// New returns a patcher without a list.
func New() *Patcher {
	return &Patcher{sections: make(map[string]versionedSection)}
}

// Version returns the version that is held.
func (p *Patcher) Version() uint64 {
	return p.version
}

// Load takes in a version of the list.
func (p *Patcher) Load(version uint64, text string) {
	sections := splitSections(text)
	if p.version == 0 {
		p.oldestVersion = version
	}
	for title, body := range sections {
		if previous, ok := p.sections[title]; !ok || previous.text != body {
			p.sections[title] = versionedSection{text: body, changedVersion: version}
		}
	}
	for title := range p.sections {
		if _, ok := sections[title]; !ok {
			delete(p.sections, title)
			p.removals = append(p.removals, removal{title: title, version: version})
		}
	}
	if excess := len(p.removals) - maxRemovals; excess > 0 {
		p.oldestVersion = p.removals[excess-1].version
		p.removals = slices.Clone(p.removals[excess:])
	}
	p.version, p.digest = version, listDigest(sections)
}

// DeltaSince returns the delta from a version to the present one; ok is false when it is not known any more.
func (p *Patcher) DeltaSince(version uint64) (delta Delta, ok bool) {
	if version < p.oldestVersion || version == 0 || version >= p.version {
		return Delta{}, false
	}
	delta = Delta{FromVersion: version, ToVersion: p.version, Digest: p.digest}
	for _, s := range p.sections {
		if s.changedVersion > version {
			delta.ChangedSections = append(delta.ChangedSections, s.text)
		}
	}
	for _, t := range p.removals {
		if _, restored := p.sections[t.title]; t.version > version && !restored {
			delta.RemovedTitles = append(delta.RemovedTitles, t.title)
		}
	}
	slices.Sort(delta.ChangedSections)
	return delta, true
}

// Apply returns the text that a delta leads to; the patcher itself does not change. ok is false when the delta starts
// from another version or its digest does not fit, and the whole list is needed.
func (p *Patcher) Apply(delta Delta) (text string, ok bool) {
	if delta.FromVersion != p.version {
		return "", false
	}
	next := sectionTexts(p.sections)
	for _, title := range delta.RemovedTitles {
		delete(next, title)
	}
	for _, body := range delta.ChangedSections {
		for title, text := range splitSections(body) {
			next[title] = text
		}
	}
	if listDigest(next) != delta.Digest {
		return "", false
	}
	return joinSections(next), true
}

// Sections returns the sections of a text by title.
func Sections(text string) map[string]string {
	return splitSections(text)
}

func sectionTexts(sections map[string]versionedSection) map[string]string {
	out := make(map[string]string, len(sections))
	for title, s := range sections {
		out[title] = s.text
	}
	return out
}

// splitSections cuts a text into sections by title; what stands before the first title is left out. A title that stands
// twice gets a number, so that the fault is still seen where the list is checked.
func splitSections(text string) map[string]string {
	out := make(map[string]string)
	title := ""
	var body strings.Builder
	flush := func() {
		if title == "" {
			return
		}
		uniqueTitle := title
		for n := 2; out[uniqueTitle] != ""; n++ {
			uniqueTitle = title + "#" + strconv.Itoa(n)
		}
		out[uniqueTitle] = body.String()
	}
	for line := range strings.Lines(text) {
		trimmed := strings.TrimSpace(line)
		if strings.HasPrefix(trimmed, "[") {
			flush()
			title = trimmed
			body.Reset()
		}
		if trimmed != "" {
			body.WriteString(trimmed + "\n")
		}
	}
	flush()
	return out
}

func joinSections(sections map[string]string) string {
	var b strings.Builder
	for _, title := range sortedTitles(sections) {
		b.WriteString(sections[title])
	}
	return b.String()
}

func listDigest(sections map[string]string) uint64 {
	return xxhash.Sum64String(joinSections(sections))
}

func sortedTitles(sections map[string]string) []string {
	titles := make([]string, 0, len(sections))
	for t := range sections {
		titles = append(titles, t)
	}
	slices.Sort(titles)
	return titles
}
