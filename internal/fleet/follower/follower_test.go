package follower_test

import (
	"context"
	"io"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/fleet/deferrer"
	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// scriptedSource is a store that answers from a script: each call takes the next step if that is of its kind. Otherwise
// the call blocks until its context ends.
type scriptedSource struct {
	mu    sync.Mutex
	steps []step
	calls int
}

// step is the answer to one call.
type step struct {
	// read is true for an answer to Read and false for an answer to Watch.
	read     bool
	items    []follower.Item
	revision revision.Revision
	err      error
	// delay is the time until the answer is returned.
	delay time.Duration
}

// nextStep returns the answer to the next call.
func (s *scriptedSource) nextStep(ctx context.Context, read bool) ([]follower.Item, revision.Revision, error) {
	s.mu.Lock()
	if s.calls < len(s.steps) && s.steps[s.calls].read == read {
		st := s.steps[s.calls]
		s.calls++
		s.mu.Unlock()
		time.Sleep(st.delay)
		return st.items, st.revision, st.err
	}
	s.mu.Unlock()
	select {
	case <-ctx.Done():
	case <-time.After(time.Minute):
	}
	return nil, revision.Revision{}, errors.New("cut")
}

func (s *scriptedSource) Read(ctx context.Context, _ string) ([]follower.Item, revision.Revision, error) {
	return s.nextStep(ctx, true)
}

func (s *scriptedSource) Watch(
	ctx context.Context, _ string, _ revision.Revision, _ time.Duration,
) ([]follower.Item, revision.Revision, error) {
	return s.nextStep(ctx, false)
}

// runScript runs a Follower on a script until it has made wantUpdates updates, and returns the keys after each update.
func runScript(t *testing.T, o follower.Options, steps []step, wantUpdates int) []map[string]bool {
	t.Helper()
	var keysPerUpdate []map[string]bool
	for _, u := range runUpdates(t, o, steps, wantUpdates) {
		keys := map[string]bool{}
		for k := range u.Items {
			keys[k] = true
		}
		keysPerUpdate = append(keysPerUpdate, keys)
	}
	return keysPerUpdate
}

// runUpdates is runScript and returns the updates, each with a copy of the items.
func runUpdates(t *testing.T, o follower.Options, steps []step, wantUpdates int) []follower.Update {
	t.Helper()
	o.Pace = func() (time.Duration, time.Duration) { return 10 * time.Millisecond, 0 }
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var updates []follower.Update
	done := make(chan struct{})
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	f := follower.New(&scriptedSource{steps: steps}, o, clock.SinceBoot, logger, func(u follower.Update) {
		u.Items = maps.Clone(u.Items)
		updates = append(updates, u)
		if len(updates) == wantUpdates {
			close(done)
			cancel()
		}
	})
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		_ = f.Serve(ctx)
	}()
	select {
	case <-done:
	case <-ctx.Done():
	}
	<-stopped
	if len(updates) < wantUpdates {
		t.Fatalf("got %d updates, want %d", len(updates), wantUpdates)
	}
	return updates
}

// at returns a revision of the first era.
func at(number uint64) revision.Revision {
	return revision.New(1, number)
}

// items returns entries with the given keys and the revisions 1, 2 and so on.
func items(keys ...string) []follower.Item {
	var out []follower.Item
	for i, k := range keys {
		out = append(out, follower.Item{Key: k, Revision: at(uint64(i + 1))})
	}
	return out
}

// If the store no longer holds the changes since the copy's revision, the copy would miss them. All entries must be
// read again.
func TestChangesAreMissedAfterHistoryIsLost(t *testing.T) {
	keys := runScript(t, follower.Options{}, []step{
		{read: true, items: items("a", "b"), revision: at(5)},
		{err: follower.ErrHistoryLost},
		{read: true, items: items("b", "c"), revision: at(9)},
	}, 2)
	if last := keys[1]; last["a"] || !last["c"] {
		t.Errorf("got keys %v after the second full read, want b and c", last)
	}
}

// Written entries must be added to the copy and removed ones deleted from it.
func TestWriteOrRemovalIsMissed(t *testing.T) {
	keys := runScript(t, follower.Options{}, []step{
		{read: true, items: items("a"), revision: at(5)},
		{items: []follower.Item{{Key: "b", Revision: at(6)}, {Key: "a", Revision: at(7), Removed: true}}, revision: at(7)},
	}, 2)
	if last := keys[1]; last["a"] || !last["b"] {
		t.Errorf("got keys %v, want only b", last)
	}
}

// Entries expire during an outage of the store although their endpoints still run. If they were removed at once, all
// endpoints would be lost when the store returns. They must be kept for RemovalGrace, and no longer.
func TestEntriesExpiredInAnOutageAreRemovedAtOnce(t *testing.T) {
	o := follower.Options{Removals: deferrer.Options{Grace: 300 * time.Millisecond, HeartbeatInterval: 25 * time.Millisecond}}
	keys := runScript(t, o, []step{
		{read: true, items: items("a", "b"), revision: at(5)},
		{err: errors.New("down")},
		{items: []follower.Item{{Key: "a", Revision: at(6), Removed: true}, {Key: "b", Revision: at(7), Removed: true}}, revision: at(7)},
		{items: []follower.Item{{Key: "b", Revision: at(8)}}, revision: at(8)},
		{revision: at(8), delay: 400 * time.Millisecond},
	}, 5)
	if afterOutage := keys[1]; !afterOutage["a"] || !afterOutage["b"] {
		t.Errorf("got keys %v right after the outage, want a and b", afterOutage)
	}
	if last := keys[4]; last["a"] || !last["b"] {
		t.Errorf("got keys %v after the grace time, want only b", last)
	}
}

// Without an outage a removed entry must be deleted at once: its endpoint no longer runs.
func TestRemovedEntryIsKeptWithoutOutage(t *testing.T) {
	o := follower.Options{Removals: deferrer.Options{Grace: time.Minute, HeartbeatInterval: 500 * time.Millisecond}}
	keys := runScript(t, o, []step{
		{read: true, items: items("a"), revision: at(5)},
		{items: []follower.Item{{Key: "a", Revision: at(6), Removed: true}}, revision: at(6)},
	}, 2)
	if keys[1]["a"] {
		t.Error("got a copy that still holds the removed entry a, want none")
	}
}
