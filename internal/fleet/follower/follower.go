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

// errRefreshRequested ends a watch that a nudge cut short.
var errRefreshRequested = errors.New("store: nudged")

const (
	// retryDelayStep is the wait after a failed call.
	retryDelayStep = 150 * time.Millisecond
	// maxRetryDelay bounds the wait after repeated failures.
	maxRetryDelay = 600 * time.Millisecond
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
	Pace func() (maxWait, minInterval time.Duration)
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
	synced   bool
	// lastSuccessAt is when the latest call that succeeded began; failing is set from the first failure to the next success.
	lastSuccessAt time.Duration
	failing       bool
	retryDelay    time.Duration
	// graceEndsAt is the time up to which missing entries are kept; held are the removals put off until then.
	graceEndsAt      time.Duration
	deferredRemovals map[string]bool
	// refresh is signalled by Nudge.
	refresh chan struct{}
}

// New returns a follower that hands each update to apply, from its own goroutine.
func New(s Source, o Options, c clock.Clock, l *log.Logger, apply func(Update)) *Follower {
	return &Follower{source: s, options: o, clock: c, log: l, apply: apply, items: map[string]Item{}, deferredRemovals: map[string]bool{}, refresh: make(chan struct{}, 1)}
}

// Refresh has the part read anew at once: somebody else has seen a newer one.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Serve follows the store until the context ends.
func (f *Follower) Serve(ctx context.Context) error {
	f.lastSuccessAt = f.clock()
	for ctx.Err() == nil {
		startedAt := f.clock()
		changes, err := f.step(ctx)
		f.applyDeferredRemovals()
		if err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.retryDelay = 0
		_, minInterval := f.options.Pace()
		if remaining := minInterval - (f.clock() - startedAt); changes && remaining > 0 {
			f.waitForNextCall(ctx, remaining)
		}
	}
	return ctx.Err()
}

// waitForNextCall waits until the next call is due, or a nudge.
func (f *Follower) waitForNextCall(ctx context.Context, interval time.Duration) {
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-f.refresh:
		f.synced = false
	}
}

// watch asks for changes until there are some, the wait is over or somebody nudges.
func (f *Follower) watch(ctx context.Context, wait time.Duration) (items []Item, revision uint64, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	defer close(done)
	refreshed := make(chan struct{})
	go f.cancelOnRefresh(done, refreshed, cancel)
	items, revision, err = f.source.Watch(ctx, f.options.Prefix, f.revision, wait)
	select {
	case <-refreshed:
		f.synced = false
		return nil, f.revision, errRefreshRequested
	default:
		return items, revision, err
	}
}

// cancelOnRefresh ends a watch when somebody nudges.
func (f *Follower) cancelOnRefresh(done <-chan struct{}, refreshed chan<- struct{}, cancel context.CancelFunc) {
	select {
	case <-done:
	case <-f.refresh:
		close(refreshed)
		cancel()
	}
}

// step makes one call and reports whether it brought changes.
func (f *Follower) step(ctx context.Context) (changes bool, err error) {
	startedAt := f.clock()
	if !f.synced {
		items, revision, err := f.source.Read(ctx, f.options.Prefix)
		if err != nil {
			return false, err
		}
		f.recordSuccess(startedAt)
		f.replaceItems(items, revision, startedAt)
		return true, nil
	}
	wait, _ := f.options.Pace()
	items, revision, err := f.watch(ctx, wait)
	if errors.Is(err, errRefreshRequested) {
		return false, nil
	}
	if errors.Is(err, ErrHistoryLost) {
		f.log.Warn().Str("prefix", f.options.Prefix).Uint64("revision", f.revision).Msg("store: history lost, reading anew")
		f.synced = false
		return false, nil
	}
	if err != nil {
		return false, err
	}
	f.recordSuccess(startedAt)
	if len(items) == 0 && f.clock()-startedAt >= wait {
		// The store waited all the while and saw nothing change.
		startedAt += wait
	}
	f.applyChanges(items, revision, startedAt)
	return len(items) > 0, nil
}

func (f *Follower) handleFailure(ctx context.Context, err error) {
	if !f.failing {
		f.log.Warn().Str("prefix", f.options.Prefix).Err(err).Msg("store: lost")
	}
	f.failing = true
	f.retryDelay = min(maxRetryDelay, f.retryDelay+retryDelayStep)
	supervision.Sleep(ctx, f.retryDelay)
}

// recordSuccess notes a call that worked; after an outage entries that lapsed meanwhile get time to come back.
func (f *Follower) recordSuccess(startedAt time.Duration) {
	outage := startedAt - f.lastSuccessAt
	f.lastSuccessAt = startedAt
	if !f.failing {
		return
	}
	f.failing = false
	f.log.Info().Str("prefix", f.options.Prefix).Int64("away_ms", outage.Milliseconds()).Msg("store: regained")
	if outage >= f.options.MinOutage {
		f.graceEndsAt = f.clock() + f.options.RemovalGrace
	}
}

// replaceItems takes in the whole part.
func (f *Follower) replaceItems(items []Item, revision uint64, currentAt time.Duration) {
	var changed []string
	newItems := make(map[string]Item, len(items))
	for _, i := range items {
		newItems[i.Key] = i
		delete(f.deferredRemovals, i.Key)
		if old, ok := f.items[i.Key]; !ok || old.Revision != i.Revision {
			changed = append(changed, i.Key)
		}
	}
	for key, old := range f.items {
		if _, ok := newItems[key]; ok {
			continue
		}
		if f.clock() < f.graceEndsAt {
			newItems[key] = old
			f.deferredRemovals[key] = true
			continue
		}
		changed = append(changed, key)
	}
	f.items, f.revision, f.synced = newItems, revision, true
	f.apply(Update{Items: f.items, ChangedKeys: changed, CurrentAt: currentAt, Revision: revision, FullRead: true})
}

// applyChanges takes in what has changed since the last call.
func (f *Follower) applyChanges(items []Item, revision uint64, currentAt time.Duration) {
	var changed []string
	for _, i := range items {
		if !i.Removed {
			f.items[i.Key] = i
			delete(f.deferredRemovals, i.Key)
			changed = append(changed, i.Key)
			continue
		}
		if f.clock() < f.graceEndsAt {
			f.deferredRemovals[i.Key] = true
			continue
		}
		delete(f.items, i.Key)
		changed = append(changed, i.Key)
	}
	f.revision = max(f.revision, revision)
	f.apply(Update{Items: f.items, ChangedKeys: changed, CurrentAt: currentAt, Revision: f.revision})
}

// applyDeferredRemovals drops the entries that did not come back in time after an outage.
func (f *Follower) applyDeferredRemovals() {
	if len(f.deferredRemovals) == 0 || f.clock() < f.graceEndsAt {
		return
	}
	var changed []string
	for key := range f.deferredRemovals {
		delete(f.items, key)
		changed = append(changed, key)
	}
	clear(f.deferredRemovals)
	f.apply(Update{Items: f.items, ChangedKeys: changed, CurrentAt: f.lastSuccessAt, Revision: f.revision})
}
