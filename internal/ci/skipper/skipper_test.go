package skipper_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/pistachiovane/pistachiovane/internal/ci/skipper"
)

// A test must be passed over only if its own full name is listed, not a part of it or a mention of it.
func TestOnlyListedTestsArePassedOver(t *testing.T) {
	path := filepath.Join(t.TempDir(), "list")
	list := "test: " + t.Name() + "/listed\nseen: " + t.Name() + "/mentioned\n"
	if err := os.WriteFile(path, []byte(list), 0o600); err != nil {
		t.Fatal(err)
	}
	s := skipper.New(t, path)
	for name, want := range map[string]bool{"listed": true, "mentioned": false, "list": false} {
		t.Run(name, func(t *testing.T) {
			if got := s.Lists(t); got != want {
				t.Errorf("got %v, want %v", got, want)
			}
		})
	}
}
