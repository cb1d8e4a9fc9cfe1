package follower_test

import (
	"context"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
)

// restoredAt is when a restoredStore is restored.
const restoredAt = 5 * time.Second

// restoredStore is an empty store in virtual time that is restored at restoredAt. All waiting watches end then. mu guards reads.
type restoredStore struct {
	startedAt time.Time
	mu        sync.Mutex
	// reads holds when the restored store was read.
	reads []time.Duration
}

func (s *restoredStore) now() time.Duration {
	return time.Since(s.startedAt)
}

// at returns the present revision.
func (s *restoredStore) at() revision.Revision {
	if s.now() >= restoredAt {
		return revision.New(2, 3)
	}
	return revision.New(1, 9)
}

func (s *restoredStore) Read(context.Context, string) ([]follower.Item, revision.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.now() >= restoredAt {
		s.reads = append(s.reads, s.now()-restoredAt)
	}
	return nil, s.at(), nil
}

func (s *restoredStore) Watch(ctx context.Context, _ string, after revision.Revision, wait time.Duration) ([]follower.Item, revision.Revision, error) {
	if after.Era < 2 && s.now() < restoredAt {
		wait = min(wait, restoredAt-s.now())
	}
	sleepOr(ctx, wait)
	return nil, s.at(), ctx.Err()
}

// followRestored runs followers on a store that is restored, and calls during with them right after that. It returns when the
// restored store was read.
func followRestored(t *testing.T, followers int, delay time.Duration, during func([]*follower.Follower)) (reads []time.Duration) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &restoredStore{startedAt: time.Now()}
		ctx, cancel := context.WithTimeout(t.Context(), restoredAt+10*time.Second)
		defer cancel()
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		o := follower.Options{
			Pace:         func() (time.Duration, time.Duration) { return 20 * time.Second, 0 },
			RestoreDelay: func() time.Duration { return delay },
		}
		all := make([]*follower.Follower, followers)
		for i := range all {
			all[i] = follower.New(s, o, s.now, logger, func(follower.Update) {})
			go func() { _ = all[i].Serve(ctx) }()
		}
		time.Sleep(restoredAt + 10*time.Millisecond)
		synctest.Wait()
		during(all)
		<-ctx.Done()
		synctest.Wait()
		reads = s.reads
	})
	return reads
}

// After a restore, the watches of all gateways end at once. If all of them read everything at the same moment, a store that has just
// come back gets the calls and the bytes of a whole fleet.
func TestAllGatewaysReadRestoredStoreAtOnce(t *testing.T) {
	const gateways, delay = 300, 3 * time.Second
	reads := followRestored(t, gateways, delay, func([]*follower.Follower) {})
	if len(reads) != gateways {
		t.Errorf("got %d reads of the restored store, want one by each of %d", len(reads), gateways)
	}
	perInterval := map[time.Duration]int{}
	for _, at := range reads {
		perInterval[at.Truncate(100*time.Millisecond)]++
		if at > delay {
			t.Errorf("got a read %v after the restore, want all within %v", at, delay)
		}
	}
	for at, n := range perInterval {
		if n > gateways/10 {
			t.Errorf("got %d reads within 100ms, from %v after the restore, want them spread over %v", n, at, delay)
		}
	}
}

// A gateway that is told of a newer version, or whose list differs from those of its peers, must not wait for its turn.
func TestRefreshWaitsForDelayedRead(t *testing.T) {
	reads := followRestored(t, 20, 10*time.Second, func(all []*follower.Follower) {
		for _, f := range all {
			f.Refresh()
		}
	})
	for _, at := range reads {
		if at > 50*time.Millisecond {
			t.Errorf("got a read %v after the restore, want it as soon as it is asked for", at)
		}
	}
	if len(reads) != 20 {
		t.Errorf("got %d reads, want 20", len(reads))
	}
}
