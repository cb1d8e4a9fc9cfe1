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

// TestRequeuedItemsKeepTheirCharge is for the fault that starved one account to 0.705 of its fair share at an overload
// of 1.5: an item that was put back wiped out what its account had been charged.
func TestRequeuedItemsKeepTheirCharge(t *testing.T) {
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

func TestInteractiveIsServedFirstAndByWeight(t *testing.T) {
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

func TestRemoveReportsWhetherItemWasQueued(t *testing.T) {
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

// A draft that has waited for long enters the class of interactive requests. It took its turn there, and kept the
// interactive requests of its own account, which have a deadline, waiting behind it (load: hog.kalvo, worst account 0.9116).
func TestYieldingItemsAreServedLastWithinTheirAccount(t *testing.T) {
	s := New[string]()
	s.PushYielding(Interactive, "a", 1, 1, "a draft")
	s.PushYielding(Interactive, "a", 2, 1, "a later draft")
	s.Push(Interactive, "a", 3, 1, "a first")
	s.Push(Interactive, "a", 4, 1, "a second")
	s.Push(Interactive, "b", 5, 1, "b first")
	got := []string{}
	for s.Len(Interactive) > 0 {
		got = append(got, pop(t, s))
	}
	want := []string{"a first", "b first", "a second", "a draft", "a later draft"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}

// Yielding costs an account nothing of its share: alone in its queue, a draft gets its turn among the accounts.
func TestYieldingItemsKeepTheirShareAmongAccounts(t *testing.T) {
	s := New[string]()
	s.PushYielding(Interactive, "a", 1, 1, "a draft")
	for id := range uint64(5) {
		s.Push(Interactive, "b", 10+id, 1, "b")
	}
	pop(t, s)
	pop(t, s)
	if s.Remove(Interactive, "a", 1) {
		t.Error("the draft waits behind another account's whole queue")
	}
}
