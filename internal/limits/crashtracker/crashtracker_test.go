package crashtracker_test

import (
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/limits/crashtracker"
)

const poison, innocent = 1, 2

func TestRequestThatCrashedTwoEndpointsIsRefused(t *testing.T) {
	tracker := crashtracker.New(time.Minute, 100)
	tracker.RecordBrokenConnection("a", poison, 0)
	tracker.RecordEndpointDown("a", time.Second)
	if tracker.MustRefuse(poison, time.Second) {
		t.Error("refused after one crash")
	}
	tracker.RecordBrokenConnection("b", poison, 2*time.Second)
	tracker.RecordEndpointDown("b", 3*time.Second)
	if !tracker.MustRefuse(poison, 3*time.Second) {
		t.Error("not refused after two crashes")
	}
	if tracker.MustRefuse(poison, 3*time.Minute) {
		t.Error("still refused after the window")
	}
}

// Endpoints lose answers while they live: that is no crash.
func TestLostAnswersBlameNobody(t *testing.T) {
	tracker := crashtracker.New(time.Minute, 100)
	for _, endpoint := range []string{"a", "b", "c"} {
		tracker.RecordBrokenConnection(endpoint, innocent, 0)
		tracker.RecordEndpointUp(endpoint)
		tracker.RecordEndpointDown(endpoint, time.Second)
	}
	if tracker.MustRefuse(innocent, time.Second) {
		t.Error("a request was blamed though its endpoints lived on")
	}
}

func TestBlamesAreShared(t *testing.T) {
	a, b := crashtracker.New(time.Minute, 100), crashtracker.New(time.Minute, 100)
	a.RecordBrokenConnection("x", poison, 0)
	a.RecordEndpointDown("x", 0)
	b.RecordBrokenConnection("y", poison, 0)
	b.RecordEndpointDown("y", 0)
	b.Merge(a.CrashRecords(0), 0)
	if !b.MustRefuse(poison, 0) {
		t.Error("a crash seen by another gateway does not count")
	}
}
