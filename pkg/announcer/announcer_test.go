package announcer_test

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiovane/pistachiovane/pkg/announcer"
)

// next returns the next keys of an Announcer, without those that are gone.
func next(a *announcer.Announcer[string], limit int, gone string) []string {
	var out []string
	a.Next(limit, func(key string) bool {
		if key == gone {
			return false
		}
		out = append(out, key)
		return true
	})
	return out
}

// Each change must be sent as often as was asked for, and none must wait for the repetitions of another.
func TestChangeIsSentTooOftenOrWaits(t *testing.T) {
	a := announcer.New[string](2)
	for _, key := range []string{"a", "b", "c"} {
		a.Announce(key)
	}
	var got [][]string
	for range 4 {
		got = append(got, next(a, 2, ""))
	}
	want := [][]string{{"a", "b"}, {"c", "a"}, {"b", "c"}, nil}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("sent keys (-want +got):\n%s", diff)
	}
}

func TestKeyThatIsGoneIsSentOrCounted(t *testing.T) {
	a := announcer.New[string](2)
	a.Announce("a")
	a.Announce("b")
	if diff := cmp.Diff([]string{"b"}, next(a, 1, "a")); diff != "" {
		t.Errorf("sent keys (-want +got):\n%s", diff)
	}
	if a.IsPending("a") || !a.IsPending("b") {
		t.Error("the key that is gone must not be pending, and the other one must be")
	}
}

// A key that changes again while it is sent must be sent as often as a new one, and once at a time.
func TestSecondChangeIsSentTwiceAtATime(t *testing.T) {
	a := announcer.New[string](3)
	a.Announce("a")
	next(a, 1, "")
	a.Announce("a")
	sent := 0
	for range 10 {
		got := next(a, 5, "")
		if len(got) > 1 {
			t.Fatalf("got %v in one message, want the key once", got)
		}
		sent += len(got)
	}
	if sent != 3 {
		t.Errorf("got %d further messages with the key, want 3", sent)
	}
}
