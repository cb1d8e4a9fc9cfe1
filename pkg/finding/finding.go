// Package finding collects what is wrong with settings and lists, with its place.
package finding

import (
	"fmt"
	"sort"
	"strings"
)

// Finding is one fault in a file.
type Finding struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Section string `json:"section,omitempty"`
	Key     string `json:"key,omitempty"`
	Message string `json:"message"`
}

// String returns the finding as file:line: [section] key: message.
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

// Findings are the faults of one or more files; an error when not empty.
type Findings []Finding

// Error returns all findings, a line each, by file and line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f.Sorted() {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}

// Sorted returns the findings by file, line, section and key.
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
