package settings

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const reference = "../../docs/operators/settings.md"

// TestReferenceIsCurrent compares the committed reference with the code; UPDATE_GOLDEN writes it.
func TestReferenceIsCurrent(t *testing.T) {
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(reference, []byte(Reference()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(reference)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Reference(), string(got)); diff != "" {
		t.Errorf("reference (-want +got):\n%s", diff)
	}
}

// TestDefaultsAreAllowed parses every default as if it were written in a file.
func TestDefaultsAreAllowed(t *testing.T) {
	text := "[process]\nname = a\n[fleet]\nsecret = f\n[platform]\nurl = u\n"
	for _, section := range []string{inCallers, inRoute, inLimits, inEngine, inService} {
		text += "[" + section + "]\n"
		for i := range specs {
			if specs[i].section == section {
				text += specs[i].key + " = " + specs[i].fallback + "\n"
			}
		}
	}
	if _, findings := Parse("defaults", []byte(text)); len(findings) > 0 {
		t.Error(findings)
	}
}
