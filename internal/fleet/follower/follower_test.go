package follower_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
)

// scriptedSource plays a store by a script: each call takes the next step and blocks when there is none.
type scriptedSource struct {
	mu    sync.Mutex
	steps []step
	calls int
}

type step struct {
	read     bool
	items    []follower.Item
	revision uint64
	err      error
	// delay is how long the answer takes.
	delay time.Duration
}

func (s *scriptedSource) nextStep(ctx context.Context, read bool) ([]follower.Item, uint64, error) {
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
	return nil, 0, errors.New("cut")
}

func (s *scriptedSource) Read(ctx context.Context, _ string) ([]follower.Item, uint64, error) {
	return s.nextStep(ctx, true)
}

func (s *scriptedSource) Watch(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]follower.Item, uint64, error) {
	return s.nextStep(ctx, false)
}

// runScript plays a script and returns the keys after each update.
func runScript(t *testing.T, o follower.Options, steps []step, wantUpdates int) []map[string]bool {
	t.Helper()
	o.Pace = func() (time.Duration, time.Duration) { return 10 * time.Millisecond, 0 }
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	var keysPerUpdate []map[string]bool
	done := make(chan struct{})
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	f := follower.New(&scriptedSource{steps: steps}, o, clock.SinceBoot, logger, func(u follower.Update) {
		keys := map[string]bool{}
		for k := range u.Items {
			keys[k] = true
		}
		keysPerUpdate = append(keysPerUpdate, keys)
		if len(keysPerUpdate) == wantUpdates {
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
	if len(keysPerUpdate) < wantUpdates {
		t.Fatalf("%d updates came, want %d", len(keysPerUpdate), wantUpdates)
	}
	return keysPerUpdate
}

func items(keys ...string) []follower.Item {
	var out []follower.Item
	for i, k := range keys {
		out = append(out, follower.Item{Key: k, Revision: uint64(i + 1)})
	}
	return out
}

func TestReadsAnewWhenHistoryIsLost(t *testing.T) {
	keys := runScript(t, follower.Options{}, []step{
		{read: true, items: items("a", "b"), revision: 5},
		{err: follower.ErrHistoryLost},
		{read: true, items: items("b", "c"), revision: 9},
	}, 2)
	if last := keys[1]; last["a"] || !last["c"] {
		t.Errorf("after the new reading the copy holds %v, want b and c", last)
	}
}

func TestFollowsWritesAndRemovals(t *testing.T) {
	keys := runScript(t, follower.Options{}, []step{
		{read: true, items: items("a"), revision: 5},
		{items: []follower.Item{{Key: "b", Revision: 6}, {Key: "a", Revision: 7, Removed: true}}, revision: 7},
	}, 2)
	if last := keys[1]; last["a"] || !last["b"] {
		t.Errorf("the copy holds %v, want only b", last)
	}
}

// Entries lapse while the store is away though their endpoints live; they get time to come back, and no longer.
func TestEntriesThatLapsedInAnOutageGetTimeToComeBack(t *testing.T) {
	o := follower.Options{RemovalGrace: 300 * time.Millisecond, MinOutage: 50 * time.Millisecond}
	keys := runScript(t, o, []step{
		{read: true, items: items("a", "b"), revision: 5},
		{err: errors.New("down")},
		{items: []follower.Item{{Key: "a", Revision: 6, Removed: true}, {Key: "b", Revision: 7, Removed: true}}, revision: 7},
		{items: []follower.Item{{Key: "b", Revision: 8}}, revision: 8},
		{revision: 8, delay: 400 * time.Millisecond},
	}, 5)
	if afterOutage := keys[1]; !afterOutage["a"] || !afterOutage["b"] {
		t.Errorf("right after the outage the copy holds %v, want a and b", afterOutage)
	}
	if last := keys[4]; last["a"] || !last["b"] {
		t.Errorf("after the grace the copy holds %v, want only b", last)
	}
}

func TestEntriesThatGoInQuietTimesGoAtOnce(t *testing.T) {
	o := follower.Options{RemovalGrace: time.Minute, MinOutage: time.Second}
	keys := runScript(t, o, []step{
		{read: true, items: items("a"), revision: 5},
		{items: []follower.Item{{Key: "a", Revision: 6, Removed: true}}, revision: 6},
	}, 2)
	if keys[1]["a"] {
		t.Error("an entry that was removed is still there")
	}
}
