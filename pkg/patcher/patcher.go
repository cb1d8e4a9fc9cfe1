// Package patcher computes and applies deltas between versions of a list, section by section. A process that has an
// earlier version only needs the changed sections, so the traffic depends on the size of the change and not on the size
// of the list.
package patcher

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// maxRemovals is the number of removed sections that a patcher remembers. No delta can be computed from a version that
// is older than the remembered removals; the whole list must be sent instead.
const maxRemovals = 4096

// Delta holds the changes from one version of a list to a later one.
type Delta struct {
	// FromVersion is the version to which the delta can be applied, ToVersion that of the result.
	FromVersion uint64
	ToVersion   uint64
	// ChangedSections holds the text of each new or changed section. The text begins with the section's title.
	ChangedSections []string
	// RemovedTitles holds the titles of the removed sections.
	RemovedTitles []string
	// Digest is the digest of the whole list at ToVersion. Apply compares it with the result.
	Digest uint64
}

// versionedSection is the text of a section and the version of the list in which it last changed.
type versionedSection struct {
	text           string
	changedVersion uint64
}

// removal records that a section was removed. version is the first version of the list without it.
type removal struct {
	title   string
	version uint64
}

// Patcher holds the current version of one list and the changes that led to it. It is not safe for concurrent use.
type Patcher struct {
	// version is the version of the current list; 0 before the first Load.
	version uint64
	// sections holds the sections of the current list, by title.
	sections map[string]versionedSection
	// digest is the digest of the whole list at version.
	digest uint64
	// removals holds the latest removals, oldest first, at most maxRemovals of them.
	removals []removal
	// oldestVersion is the oldest version from which a delta can start.
	oldestVersion uint64
}

// New returns a patcher without a list. Its version is 0.
func New() *Patcher {
	return &Patcher{sections: make(map[string]versionedSection)}
}

// Version returns the version of the current list, or 0 before the first Load.
func (p *Patcher) Version() uint64 {
	return p.version
}

// Load replaces the current list by a later version and records which sections changed. text is the whole list.
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

// DeltaSince returns the delta from an earlier version to the current one. ok is false when the version is 0, is not
// earlier, or is so old that its changes are no longer known.
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

// Apply returns the text of the list after a delta. The patcher itself does not change: pass the text to Load. ok is
// false when the delta does not start from the current version or the result does not have the delta's digest; the
// whole list is needed then.
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

// Sections returns the texts of a list's sections by title, such as "[account studio]". Each text includes the title.
func Sections(text string) map[string]string {
	return splitSections(text)
}

// sectionTexts returns the texts of the sections by title, in a new map.
func sectionTexts(sections map[string]versionedSection) map[string]string {
	out := make(map[string]string, len(sections))
	for title, s := range sections {
		out[title] = s.text
	}
	return out
}

// splitSections splits a text into sections by title and removes empty lines and surrounding spaces. Text before the
// first title is dropped. The second section with the same title is stored under the title with "#2" added and so on,
// so that no section is lost and the check of the list still reports the duplicate.
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

// joinSections concatenates the sections in the order of their titles, so that equal lists give equal text.
func joinSections(sections map[string]string) string {
	var b strings.Builder
	for _, title := range sortedTitles(sections) {
		b.WriteString(sections[title])
	}
	return b.String()
}

// listDigest returns the digest of a whole list. It does not depend on the order of the sections.
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
