package crashtracker_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
)

const poison, innocent = 1, 2

func TestRequestThatCrashedTwoEndpointsIsRefused(t *testing.T) {
	tracker := crashtracker.New(time.Minute, 100)
	tracker.Broke("a", poison, 0)
	tracker.Down("a", time.Second)
	if tracker.Refused(poison, time.Second) {
		t.Error("refused after one crash")
	}
	tracker.Broke("b", poison, 2*time.Second)
	tracker.Down("b", 3*time.Second)
	if !tracker.Refused(poison, 3*time.Second) {
		t.Error("not refused after two crashes")
	}
	if tracker.Refused(poison, 3*time.Minute) {
		t.Error("still refused after the window")
	}
}

// Endpoints lose answers while they live: that is no crash.
func TestLostAnswersBlameNobody(t *testing.T) {
	tracker := crashtracker.New(time.Minute, 100)
	for _, endpoint := range []string{"a", "b", "c"} {
		tracker.Broke(endpoint, innocent, 0)
		tracker.Up(endpoint)
		tracker.Down(endpoint, time.Second)
	}
	if tracker.Refused(innocent, time.Second) {
		t.Error("a request was blamed though its endpoints lived on")
	}
}

func TestBlamesAreShared(t *testing.T) {
	a, b := crashtracker.New(time.Minute, 100), crashtracker.New(time.Minute, 100)
	a.Broke("x", poison, 0)
	a.Down("x", 0)
	b.Broke("y", poison, 0)
	b.Down("y", 0)
	b.Merge(a.Blames(0), 0)
	if !b.Refused(poison, 0) {
		t.Error("a crash seen by another gateway does not count")
	}
}
