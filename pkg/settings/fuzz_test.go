package settings_test

import (
	"testing"

	"github.com/pistachiovane/pistachiovane/pkg/settings"
)

// Settings without findings must have a name: other processes know this one by it.
func FuzzParse(f *testing.F) {
	f.Add([]byte("[process]\nname = gw-1\n"))
	f.Add([]byte("[list\nname = \xff\n"))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, findings := settings.Parse("settings", b)
		if len(findings) == 0 && s.Name == "" {
			t.Errorf("%q: got settings without a name and no finding", b)
		}
	})
}
