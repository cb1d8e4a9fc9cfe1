// Package skipper tells tests which of them KNOWN-RED.txt lists as failing for a known fault.
package skipper

import (
	"bufio"
	"os"
	"strings"
	"testing"
)

// Skipper holds the names of the listed tests.
type Skipper struct {
	listed map[string]bool
}

// New reads the list at path, which is relative to the package under test. It fails the test if there is none: a test
// must not be skipped because the list is missing.
func New(t testing.TB, path string) *Skipper {
	t.Helper()
	f, err := os.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = f.Close() }()
	s := &Skipper{listed: make(map[string]bool)}
	scanner := bufio.NewScanner(f)
	for scanner.Scan() {
		if name, ok := strings.CutPrefix(scanner.Text(), "test: "); ok {
			s.listed[name] = true
		}
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return s
}

// Lists reports whether the list contains a test, by its full name.
func (s *Skipper) Lists(t testing.TB) bool {
	return s.listed[t.Name()]
}
