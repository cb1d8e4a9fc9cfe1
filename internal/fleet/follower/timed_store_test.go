package follower_test

import (
	"context"
	"io"
	"slices"
	"sort"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
)

const (
	// answerTime is the time from a call to its answer.
	answerTime = 4 * time.Millisecond
	// callTimeout is the time in which a call must be answered, in addition to the wait of a watch.
	callTimeout = 900 * time.Millisecond
)

// outageKind says what calls experience during an outage.
type outageKind string

const (
	// outageRefused fails all calls at once.
	outageRefused outageKind = "refused"
	// outageSilent leaves all calls without an answer, those that wait when it begins included.
	outageSilent outageKind = "silent"
	// outageHeld holds all calls back and answers them when it ends.
	outageHeld outageKind = "held"
	// outageCut fails the waiting calls once and serves further ones.
	outageCut outageKind = "cut"
)

// outage is a time without answers.
type outage struct {
	kind       outageKind
	start, end time.Duration
}

// change is the write or removal of an entry at a time.
type change struct {
	at      time.Duration
	key     string
	removed bool
}

// timedStore is a store in virtual time whose changes and outages are given in advance. The revision of a change is its
// position in the order of time.
type timedStore struct {
	startedAt time.Time
	changes   []change
	outages   []outage
}

// newTimedStore returns a store that holds the entries keys from the start.
func newTimedStore(keys []string, changes []change, outages []outage) *timedStore {
	s := &timedStore{startedAt: time.Now(), outages: outages}
	for _, k := range keys {
		s.changes = append(s.changes, change{key: k})
	}
	s.changes = append(s.changes, changes...)
	sort.SliceStable(s.changes, func(i, j int) bool { return s.changes[i].at < s.changes[j].at })
	return s
}

// now returns the time since the start of the store.
func (s *timedStore) now() time.Duration {
	return time.Since(s.startedAt)
}

// revision returns the number of changes so far.
func (s *timedStore) revision() uint64 {
	now := s.now()
	return uint64(sort.Search(len(s.changes), func(i int) bool { return s.changes[i].at > now }))
}

// nextEventBefore returns the time of the next change or the next begin of an outage, but at most end.
func (s *timedStore) nextEventBefore(end time.Duration) time.Duration {
	now := s.now()
	for _, c := range s.changes {
		if c.at > now {
			end = min(end, c.at)
		}
	}
	for _, o := range s.outages {
		if o.start > now {
			end = min(end, o.start)
		}
	}
	return end
}

// passOutages waits until the store can answer a call that was made at calledAt, and fails if an outage ends the call.
func (s *timedStore) passOutages(ctx context.Context, calledAt time.Duration) error {
	for _, o := range s.outages {
		now := s.now()
		during := now >= o.start && now < o.end
		interrupted := calledAt < o.start && now >= o.start
		switch {
		case o.kind == outageRefused && (during || interrupted), o.kind == outageCut && interrupted:
			return errors.New("refused")
		case o.kind == outageSilent && (during || interrupted):
			<-ctx.Done()
			return ctx.Err()
		case o.kind == outageHeld && during:
			sleepOr(ctx, o.end-now)
		}
	}
	return ctx.Err()
}

// sleepOr waits for d, or until the context ends.
func sleepOr(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

func (s *timedStore) Read(ctx context.Context, _ string) ([]follower.Item, revision.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	calledAt := s.now()
	sleepOr(ctx, answerTime)
	if err := s.passOutages(ctx, calledAt); err != nil {
		return nil, revision.Revision{}, err
	}
	entries := map[string]follower.Item{}
	latest := s.revision()
	for i, c := range s.changes[:latest] {
		delete(entries, c.key)
		if !c.removed {
			entries[c.key] = follower.Item{Key: c.key, Revision: at(uint64(i + 1))}
		}
	}
	var items []follower.Item
	for _, i := range entries {
		items = append(items, i)
	}
	return items, at(latest), nil
}

func (s *timedStore) Watch(
	ctx context.Context, _ string, after revision.Revision, wait time.Duration,
) ([]follower.Item, revision.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	calledAt := s.now()
	for {
		if err := s.passOutages(ctx, calledAt); err != nil {
			return nil, revision.Revision{}, err
		}
		if s.revision() > after.Number || s.now()-calledAt >= wait {
			break
		}
		sleepOr(ctx, s.nextEventBefore(calledAt+wait)-s.now())
	}
	latest := s.revision()
	var items []follower.Item
	for i := after.Number; i < latest; i++ {
		items = append(items, follower.Item{Key: s.changes[i].key, Revision: at(i + 1), Removed: s.changes[i].removed})
	}
	sleepOr(ctx, answerTime)
	return items, at(latest), ctx.Err()
}

// view is the copy of a Follower over time.
type view struct {
	times []time.Duration
	keys  [][]string
}

// absentSince returns the first time from which the copy did not hold a key any more, and false if it held the key until
// the end.
func (v view) absentSince(key string) (time.Duration, bool) {
	since := time.Duration(-1)
	for i, keys := range v.keys {
		switch held := slices.Contains(keys, key); {
		case held:
			since = -1
		case since < 0:
			since = v.times[i]
		}
	}
	return since, since >= 0
}

// everAbsent reports whether the copy did not hold a key at any time after its first update.
func (v view) everAbsent(key string) bool {
	return slices.ContainsFunc(v.keys, func(keys []string) bool { return !slices.Contains(keys, key) })
}

// pace is the longest wait of a watch and the shortest interval after changes.
type pace struct {
	wait, interval time.Duration
}

// follow runs a Follower for some virtual time on a store that holds the entries keys at the start, and returns its copy
// over time.
func follow(
	t *testing.T, keys []string, changes []change, outages []outage, o follower.Options, p pace, duration time.Duration,
) (v view) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		v = followInBubble(t, newTimedStore(keys, changes, outages), o, p, duration)
	})
	return v
}

// followInBubble is follow in a bubble of synctest.
func followInBubble(t *testing.T, s *timedStore, o follower.Options, p pace, duration time.Duration) view {
	t.Helper()
	if o.Pace == nil {
		o.Pace = func() (time.Duration, time.Duration) { return p.wait, p.interval }
	}
	ctx, cancel := context.WithTimeout(t.Context(), duration)
	defer cancel()
	var v view
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	f := follower.New(s, o, s.now, logger, func(u follower.Update) {
		var keys []string
		for k := range u.Items {
			keys = append(keys, k)
		}
		v.times, v.keys = append(v.times, s.now()), append(v.keys, keys)
	})
	_ = f.Serve(ctx)
	synctest.Wait()
	return v
}
