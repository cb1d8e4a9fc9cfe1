// Package differ tells what changed between versions of a list, section by section, so that a change moves its own
// size and not the list's.
package differ

import (
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// tombLimit bounds the remembered removals; whoever is behind them gets the whole list.
const tombLimit = 4096

// Delta leads from one version of a list to a later one.
type Delta struct {
	From uint64
	To   uint64
	// Set are the sections that are new or changed, each from its title on.
	Set []string
	// Drop are the titles of sections that are gone.
	Drop []string
	// Digest is that of the whole list at To.
	Digest uint64
}

type section struct {
	text string
	// changed is the version at which the section was seen with this text first.
	changed uint64
}

type tomb struct {
	title   string
	dropped uint64
}

// Differ holds the present version of one list. It is not safe for concurrent use.
type Differ struct {
	version  uint64
	sections map[string]section
	// digest is that of the present version; deltas carry it.
	digest uint64
	tombs  []tomb
	// floor is the oldest version that deltas can start from.
	floor uint64
}

// New returns a differ without a list.
func New() *Differ {
	return &Differ{sections: make(map[string]section)}
}

// Version returns the version that is held.
func (d *Differ) Version() uint64 {
	return d.version
}

// Load takes in a version of the list.
func (d *Differ) Load(version uint64, text string) {
	fresh := split(text)
	if d.version == 0 {
		d.floor = version
	}
	for title, body := range fresh {
		if old, ok := d.sections[title]; !ok || old.text != body {
			d.sections[title] = section{text: body, changed: version}
		}
	}
	for title := range d.sections {
		if _, ok := fresh[title]; !ok {
			delete(d.sections, title)
			d.tombs = append(d.tombs, tomb{title: title, dropped: version})
		}
	}
	if over := len(d.tombs) - tombLimit; over > 0 {
		d.floor = d.tombs[over-1].dropped
		d.tombs = slices.Clone(d.tombs[over:])
	}
	d.version, d.digest = version, digest(fresh)
}

// Since returns the delta from a version to the present one; ok is false when it is not known any more.
func (d *Differ) Since(version uint64) (delta Delta, ok bool) {
	if version < d.floor || version == 0 || version >= d.version {
		return Delta{}, false
	}
	delta = Delta{From: version, To: d.version, Digest: d.digest}
	for _, s := range d.sections {
		if s.changed > version {
			delta.Set = append(delta.Set, s.text)
		}
	}
	for _, t := range d.tombs {
		if _, back := d.sections[t.title]; t.dropped > version && !back {
			delta.Drop = append(delta.Drop, t.title)
		}
	}
	slices.Sort(delta.Set)
	return delta, true
}

// Apply returns the text that a delta leads to; the differ itself does not change. ok is false when the delta starts
// from another version or its digest does not fit, and the whole list is needed.
func (d *Differ) Apply(delta Delta) (text string, ok bool) {
	if delta.From != d.version {
		return "", false
	}
	next := texts(d.sections)
	for _, title := range delta.Drop {
		delete(next, title)
	}
	for _, body := range delta.Set {
		for title, text := range split(body) {
			next[title] = text
		}
	}
	if digest(next) != delta.Digest {
		return "", false
	}
	return join(next), true
}

// Sections returns the sections of a text by title.
func Sections(text string) map[string]string {
	return split(text)
}

func texts(sections map[string]section) map[string]string {
	out := make(map[string]string, len(sections))
	for title, s := range sections {
		out[title] = s.text
	}
	return out
}

// split cuts a text into sections by title; what stands before the first title is left out. A title that stands
// twice gets a number, so that the fault is still seen where the list is checked.
func split(text string) map[string]string {
	out := make(map[string]string)
	title := ""
	var body strings.Builder
	flush := func() {
		if title == "" {
			return
		}
		unique := title
		for n := 2; out[unique] != ""; n++ {
			unique = title + "#" + strconv.Itoa(n)
		}
		out[unique] = body.String()
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

func join(sections map[string]string) string {
	var b strings.Builder
	for _, title := range sorted(sections) {
		b.WriteString(sections[title])
	}
	return b.String()
}

func digest(sections map[string]string) uint64 {
	return xxhash.Sum64String(join(sections))
}

func sorted(sections map[string]string) []string {
	titles := make([]string, 0, len(sections))
	for t := range sections {
		titles = append(titles, t)
	}
	slices.Sort(titles)
	return titles
}
