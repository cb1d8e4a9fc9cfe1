package settings

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const referencePath = "../../docs/operators/settings.md"

// TestReferenceMatchesSpecs compares the committed reference with the code; UPDATE_GOLDEN writes it.
func TestReferenceMatchesSpecs(t *testing.T) {
	if os.Getenv("UPDATE_GOLDEN") != "" {
		if err := os.WriteFile(referencePath, []byte(Reference()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(referencePath)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Reference(), string(got)); diff != "" {
		t.Errorf("reference (-want +got):\n%s", diff)
	}
}

// TestDefaultsAreWithinBounds parses every default as if it were written in a file.
func TestDefaultsAreWithinBounds(t *testing.T) {
	text := "[process]\nname = a\n[fleet]\nsecret = f\n[platform]\nurl = u\n"
	for _, section := range []string{sectionCallers, sectionRoute, sectionLimits, sectionEngine, sectionService} {
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
