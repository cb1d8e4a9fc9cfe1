// Package finding holds the faults that checks of settings and lists report, each with its place in a file.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault in a file. Lines are counted from 1. Section and Key are empty for a fault that belongs to no
// section or key.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String formats the finding as "file:line: [section] key: message". An empty section or key is left out.
func (f Finding) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s:%d: ", f.File, f.Line)
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	b.WriteString(f.Message)
	return b.String()
}

// Findings are the faults of one or more files. They implement error; an empty list means that there is no fault and
// must not be returned as an error.
type Findings []Finding

// Error formats all findings, one on each line, in the order of Sorted.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f.Sorted() {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Sorted returns a copy of the findings, ordered by file, line, section and key.
func (f Findings) Sorted() Findings {
	out := append(Findings(nil), f...)
	sort.SliceStable(out, func(i, j int) bool {
		a, b := out[i], out[j]
		if a.File != b.File {
			return a.File < b.File
		}
		if a.Line != b.Line {
			return a.Line < b.Line
		}
		return a.Section+a.Key < b.Section+b.Key
	})
	return out
}
