package settings

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// referencePath is the generated settings reference.
const referencePath = "../../docs/operators/settings.md"

// TestReferenceMatchesSpecs guards against a committed settings reference that is outdated because a key has changed
// and the file was not generated again. With UPDATE_GOLDEN set, the test generates it.
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
		t.Errorf("settings reference is outdated (-want +got):\n%s", diff)
	}
}

// TestDefaultsAreWithinBounds guards against a default outside the bounds of its own key, which could not be written
// into a settings file. It parses a text that contains all defaults of five sections.
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
		t.Errorf("got findings for the defaults, want none:\n%v", findings)
	}
}
