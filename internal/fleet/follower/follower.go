// Package follower keeps a copy of a part of the platform's store: it reads the part once and then follows its
// changes, and it says how old the copy may be.
package follower

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

// ErrHistoryLost tells that the store no longer holds the changes since a revision; the part must be read anew.
var ErrHistoryLost = errors.New("store: history lost")

// errNudged ends a watch that a nudge cut short.
var errNudged = errors.New("store: nudged")

const (
	// failurePause is the wait after a failed call.
	failurePause = 150 * time.Millisecond
	// failurePauseMost bounds the wait after repeated failures.
	failurePauseMost = 600 * time.Millisecond
)

// Item is one entry of the store.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	// Removed marks the removal of an entry.
	Removed bool
}

// Source reads the store.
type Source interface {
	// Read returns all entries of a prefix and a revision that they are at least as new as.
	Read(ctx context.Context, prefix string) (items []Item, revision uint64, err error)
	// Watch returns the changes after a revision as soon as there are any, or none after the wait. It fails with
	// ErrHistoryLost when the store has dropped them.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (items []Item, revision uint64, err error)
}

// Update is a copy of the part.
type Update struct {
	// Items holds all entries by key.
	Items map[string]Item
	// ChangedKeys lists the keys that were written or removed since the update before.
	ChangedKeys []string
	// CurrentAt is a time at which the copy was certainly complete, Revision the store's revision then.
	CurrentAt time.Duration
	Revision  uint64
	// FullRead is set where the part was read anew.
	FullRead bool
}

// Options are the bounds of a follower.
type Options struct {
	// Prefix names the part of the store.
	Prefix string
	// Pace returns the longest wait of a watch, and the least time between two calls that both return changes.
	Pace func() (wait, pause time.Duration)
	// RemovalGrace is how long an entry that is missing after an outage is still kept.
	RemovalGrace time.Duration
	// MinOutage is how long the store must have been out of reach for Grace to apply.
	MinOutage time.Duration
}

// Follower is one reader of one part.
type Follower struct {
	source  Source
	options Options
	clock   clock.Clock
	log     *log.Logger
	apply   func(Update)

	items    map[string]Item
	revision uint64
	known    bool
	// seen is when the latest call that succeeded began; failing is set from the first failure to the next success.
	seen    time.Duration
	failing bool
	pause   time.Duration
	// lenient is the time up to which missing entries are kept; held are the removals put off until then.
	lenient time.Duration
	held    map[string]bool
	// wake is signalled by Nudge.
	wake chan struct{}
}

// New returns a follower that hands each update to apply, from its own goroutine.
func New(s Source, o Options, c clock.Clock, l *log.Logger, apply func(Update)) *Follower {
	return &Follower{source: s, options: o, clock: c, log: l, apply: apply, items: map[string]Item{}, held: map[string]bool{}, wake: make(chan struct{}, 1)}
}

// Refresh has the part read anew at once: somebody else has seen a newer one.
func (f *Follower) Refresh() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Serve follows the store until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	f.seen = f.clock()
	for ctx.Err() == nil {
		began := f.clock()
		changes, err := f.step(ctx)
		f.releaseHeld()
		if err != nil {
			f.failed(ctx, err)
			continue
		}
		f.pause = 0
		_, pause := f.options.Pace()
		if rest := pause - (f.clock() - began); changes && rest > 0 {
			f.rest(ctx, rest)
		}
	}
	return ctx.Err()
}

// rest waits until the next call is due, or a nudge.
func (f *Follower) rest(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.wake:
		f.known = false
	}
}

// watch asks for changes until there are some, the wait is over or somebody nudges.
func (f *Follower) watch(ctx context.Context, wait time.Duration) (items []Item, revision uint64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	nudged := make(chan struct{})
	go f.loopNudge(done, nudged, cancel)
	items, revision, err = f.source.Watch(ctx, f.options.Prefix, f.revision, wait)
	select {
	case <-nudged:
		f.known = false
		return nil, f.revision, errNudged
	default:
		return items, revision, err
	}
}

// loopNudge ends a watch when somebody nudges.
func (f *Follower) loopNudge(done <-chan struct{}, nudged chan<- struct{}, cancel context.CancelFunc) {
	select {
	case <-done:
	case <-f.wake:
		close(nudged)
		cancel()
	}
}

// step makes one call and reports whether it brought changes.
func (f *Follower) step(ctx context.Context) (changes bool, err error) {
	began := f.clock()
	if !f.known {
		items, revision, err := f.source.Read(ctx, f.options.Prefix)
		if err != nil {
			return false, err
		}
		f.succeeded(began)
		f.replace(items, revision, began)
		return true, nil
	}
	wait, _ := f.options.Pace()
	items, revision, err := f.watch(ctx, wait)
	if errors.Is(err, errNudged) {
		return false, nil
	}
	if errors.Is(err, ErrHistoryLost) {
		f.log.Warn().Str("prefix", f.options.Prefix).Uint64("revision", f.revision).Msg("store: history lost, reading anew")
		f.known = false
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f.succeeded(began)
	if len(items) == 0 && f.clock()-began >= wait {
		// The store waited all the while and saw nothing change.
		began += wait
	}
	f.change(items, revision, began)
	return len(items) > 0, nil
}

func (f *Follower) failed(ctx context.Context, err error) {
	if !f.failing {
		f.log.Warn().Str("prefix", f.options.Prefix).Err(err).Msg("store: lost")
	}
	f.failing = true
	f.pause = min(failurePauseMost, f.pause+failurePause)
	supervision.Sleep(ctx, f.pause)
}

// succeeded notes a call that worked; after an outage entries that lapsed meanwhile get time to come back.
func (f *Follower) succeeded(began time.Duration) {
	away := began - f.seen
	f.seen = began
	if !f.failing {
		return
	}
	f.failing = false
	f.log.Info().Str("prefix", f.options.Prefix).Int64("away_ms", away.Milliseconds()).Msg("store: regained")
	if away >= f.options.MinOutage {
		f.lenient = f.clock() + f.options.RemovalGrace
	}
}

// replace takes in the whole part.
func (f *Follower) replace(items []Item, revision uint64, at time.Duration) {
	var changed []string
	fresh := make(map[string]Item, len(items))
	for _, i := range items {
		fresh[i.Key] = i
		delete(f.held, i.Key)
		if old, ok := f.items[i.Key]; !ok || old.Revision != i.Revision {
			changed = append(changed, i.Key)
		}
	}
	for key, old := range f.items {
		if _, ok := fresh[key]; ok {
			continue
		}
		if f.clock() < f.lenient {
			fresh[key] = old
			f.held[key] = true
			continue
		}
		changed = append(changed, key)
	}
	f.items, f.revision, f.known = fresh, revision, true
	f.apply(Update{Items: f.items, ChangedKeys: changed, CurrentAt: at, Revision: revision, FullRead: true})
}

// change takes in what has changed since the last call.
func (f *Follower) change(items []Item, revision uint64, at time.Duration) {
	var changed []string
	for _, i := range items {
		if !i.Removed {
			f.items[i.Key] = i
			delete(f.held, i.Key)
			changed = append(changed, i.Key)
			continue
		}
		if f.clock() < f.lenient {
			f.held[i.Key] = true
			continue
		}
		delete(f.items, i.Key)
		changed = append(changed, i.Key)
	}
	f.revision = max(f.revision, revision)
	f.apply(Update{Items: f.items, ChangedKeys: changed, CurrentAt: at, Revision: f.revision})
}

// releaseHeld drops the entries that did not come back in time after an outage.
func (f *Follower) releaseHeld() {
	if len(f.held) == 0 || f.clock() < f.lenient {
		return
	}
	var changed []string
	for key := range f.held {
		delete(f.items, key)
		changed = append(changed, key)
	}
	clear(f.held)
	f.apply(Update{Items: f.items, ChangedKeys: changed, CurrentAt: f.seen, Revision: f.revision})
}
