package scheduler

import (
	"math/rand/v2"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func pop(t *testing.T, s *Scheduler[string]) string {
	t.Helper()
	item, ok := s.Pop()
	if !ok {
		t.Fatal("nothing waits")
	}
	return item
}

// TestReturnedItemsKeepTheirCharge is for the fault that starved one account to 0.705 of its fair share at an overload
// of 1.5: an item that was put back wiped out what its account had been charged.
func TestReturnedItemsKeepTheirCharge(t *testing.T) {
	served := make(map[string]int)
	s := New[string]()
	accounts := []string{"first", "second", "third"}
	rng := rand.New(rand.NewPCG(1, 1))
	id := uint64(0)
	for range 50 {
		for _, a := range accounts {
			id++
			s.Push(Interactive, a, id, 10, a)
		}
	}
	for range 900 {
		a := pop(t, s)
		// Only the first account's items are put back, again and again.
		if a == "first" && rng.IntN(3) > 0 {
			s.PushFront(Interactive, a, id, a)
			continue
		}
		served[a]++
		id++
		s.Push(Interactive, a, id, 10, a)
	}
	for _, a := range accounts {
		if diff := served[a] - served["first"]; diff < -1 || diff > 1 {
			t.Errorf("account %s was served %d times, first %d times", a, served[a], served["first"])
		}
	}
}

func TestInteractiveFirstAndWeighted(t *testing.T) {
	s := New[string]()
	s.Push(Draft, "a", 1, 1, "draft")
	for i := range uint64(4) {
		s.Push(Interactive, "light", 10+i, 2, "light")
		s.Push(Interactive, "heavy", 20+i, 1, "heavy")
	}
	var got []string
	for range 9 {
		got = append(got, pop(t, s))
	}
	want := []string{"light", "heavy", "heavy", "light", "heavy", "heavy", "light", "light", "draft"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("order (-want +got):\n%s", diff)
	}
}

func TestRemove(t *testing.T) {
	s := New[string]()
	s.Push(Draft, "a", 1, 1, "x")
	s.Push(Draft, "a", 2, 1, "y")
	if !s.Remove(Draft, "a", 1) || s.Remove(Draft, "a", 1) || s.Remove(Draft, "b", 2) {
		t.Error("Remove does not tell what waited")
	}
	if got := pop(t, s); got != "y" {
		t.Errorf("popped %q, want y", got)
	}
}
