package inifile_test

import (
	"testing"

	"github.com/pistachiovane/pistachiovane/pkg/inifile"
)

// Any text must be read without a panic: lists come from the platform and from peers.
func FuzzNew(f *testing.F) {
	f.Add([]byte("[a b]\nk = v\n; c\n"))
	f.Add([]byte("=\n[\n]\n\x00"))
	f.Fuzz(func(t *testing.T, b []byte) {
		if inifile.New("list", b) == nil {
			t.Error("got no file")
		}
	})
}
