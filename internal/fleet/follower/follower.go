// Package follower keeps a copy of the entries of the platform's store whose keys begin with a prefix. It reads them
// once, then watches for changes, and reports with each update a time at which the copy is known to have been complete.
package follower

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/process/clock"
	"github.com/pistachiovane/pistachiovane/service/supervision"
)

// ErrHistoryLost is returned by Source.Watch if the store no longer holds the changes after the requested revision. All
// entries must be read again then.
var ErrHistoryLost = errors.New("store: changes after the revision are no longer held")

// errRefreshRequested ends a watch that was interrupted by Refresh.
var errRefreshRequested = errors.New("store: refresh requested")

const (
	// retryDelayStep is the delay after a failed call. It is added again for each further failure in a row.
	retryDelayStep = 150 * time.Millisecond
	// maxRetryDelay bounds the delay after repeated failures.
	maxRetryDelay = 600 * time.Millisecond
	// maxLoggedKeys bounds the keys in one log line.
	maxLoggedKeys = 8
)

// Item is one entry of the store, as of the revision that wrote or removed it.
type Item struct {
	Key      string
	Value    []byte
	Revision uint64
	// Removed is true if the entry was removed.
	Removed bool
}

// Source gives access to the store. Its methods return early when the context ends.
type Source interface {
	// Read returns all entries whose keys begin with prefix, and a revision that they are at least as new as.
	Read(ctx context.Context, prefix string) (items []Item, revision uint64, err error)
	// Watch returns the changes after a revision as soon as there are any, or no items after the wait. It fails with
	// ErrHistoryLost if the store no longer holds these changes.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) (items []Item, revision uint64, err error)
}

// Update is the state of the copy after a read or a change.
type Update struct {
	// Items holds all entries by key. It is the copy itself: it must not be changed, nor used after apply has returned.
	Items map[string]Item
	// ChangedKeys lists the keys that were written or removed since the previous update.
	ChangedKeys []string
	// CurrentAt is a time at which the copy is known to have held all entries of the store, and Revision the revision
	// of the store at that time.
	CurrentAt time.Duration
	Revision  uint64
	// FullRead is true if all entries were read again.
	FullRead bool
}

// Options configures a Follower.
type Options struct {
	// Prefix is the prefix of the keys to follow.
	Prefix string
	// Pace returns the longest wait of the next watch, and the shortest time from the start of a call that returned
	// changes to the start of the next call.
	Pace func() (maxWait, minInterval time.Duration)
	// RemovalGrace is how long an entry is kept that was removed during an outage of the store. Entries expire while
	// the store is unreachable even though their owners still run.
	RemovalGrace time.Duration
	// MinOutage is the shortest outage after which RemovalGrace applies.
	MinOutage time.Duration
}

// Follower follows the entries under one prefix. Only Refresh may be called while Serve runs; all other state belongs
// to the goroutine of Serve.
type Follower struct {
	source  Source
	options Options
	clock   clock.Clock
	log     *log.Logger
	apply   func(Update)

	items    map[string]Item
	revision uint64
	// synced is false while all entries must be read (again), instead of only their changes.
	synced bool
	// lastSuccessAt is the time at which the latest successful call started. failing is set from the first failed call
	// until the next success.
	lastSuccessAt time.Duration
	failing       bool
	retryDelay    time.Duration
	// graceEndsAt is the time until which removals are deferred after an outage. deferredRemovals holds, by key, the time
	// at which a deferred removal was read.
	graceEndsAt      time.Duration
	deferredRemovals map[string]time.Duration
	// refresh receives a value for each call of Refresh; further calls are dropped while one is pending.
	refresh chan struct{}
}

// New returns a Follower that calls apply with each update, from the goroutine of Serve.
func New(s Source, o Options, c clock.Clock, l *log.Logger, apply func(Update)) *Follower {
	return &Follower{
		source: s, options: o, clock: c, log: l, apply: apply,
		items: map[string]Item{}, deferredRemovals: map[string]time.Duration{}, refresh: make(chan struct{}, 1),
	}
}

// Refresh interrupts the current watch or wait and reads all entries again. Callers use it if a peer has reported a
// newer version of an entry. It never blocks and is safe for concurrent use.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Serve follows the store until the context ends. It returns the error of the context; failed calls are retried.
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

// waitForNextCall waits for the interval, for a refresh, or until the context ends.
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

// watch returns the changes after the revision of the copy, or no items after the wait. It returns errRefreshRequested
// if Refresh is called meanwhile.
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

// cancelOnRefresh waits until the watch is done or Refresh is called. In the second case it closes refreshed and
// cancels the watch.
func (f *Follower) cancelOnRefresh(done <-chan struct{}, refreshed chan<- struct{}, cancel context.CancelFunc) {
	select {
	case <-done:
	case <-f.refresh:
		close(refreshed)
		cancel()
	}
}

// step makes one call to the store: a read if the copy is not synced, a watch otherwise. changes is true after a read,
// and after a watch that returned items.
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
		// No changes were found for the whole wait, so the copy was complete until its end.
		startedAt += wait
	}
	f.applyChanges(items, revision, startedAt)
	return len(items) > 0, nil
}

// handleFailure logs the first failure in a row and waits before the next call.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	if !f.failing {
		f.log.Warn().Str("prefix", f.options.Prefix).Err(err).Msg("store: lost")
	}
	f.failing = true
	f.retryDelay = min(maxRetryDelay, f.retryDelay+retryDelayStep)
	supervision.Sleep(ctx, f.retryDelay)
}

// recordSuccess records a successful call. After an outage of at least MinOutage it starts the time in which removals
// are deferred.
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

// replaceItems replaces the copy with the result of a full read. During the grace time, missing entries are kept and
// their removal is deferred.
func (f *Follower) replaceItems(items []Item, revision uint64, currentAt time.Duration) {
	var changed, deferred []string
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
			if f.deferRemoval(key) {
				deferred = append(deferred, key)
			}
			continue
		}
		changed = append(changed, key)
	}
	f.logDeferredRemovals(deferred)
	f.items, f.revision, f.synced = newItems, revision, true
	f.apply(Update{Items: f.items, ChangedKeys: changed, CurrentAt: currentAt, Revision: revision, FullRead: true})
}

// applyChanges applies the result of a watch to the copy. During the grace time, removals are deferred.
func (f *Follower) applyChanges(items []Item, revision uint64, currentAt time.Duration) {
	var changed, deferred []string
	for _, i := range items {
		if !i.Removed {
			f.items[i.Key] = i
			delete(f.deferredRemovals, i.Key)
			changed = append(changed, i.Key)
			continue
		}
		if f.clock() < f.graceEndsAt {
			if f.deferRemoval(i.Key) {
				deferred = append(deferred, i.Key)
			}
			continue
		}
		delete(f.items, i.Key)
		changed = append(changed, i.Key)
	}
	f.logDeferredRemovals(deferred)
	f.revision = max(f.revision, revision)
	f.apply(Update{Items: f.items, ChangedKeys: changed, CurrentAt: currentAt, Revision: f.revision})
}

// deferRemoval records that the removal of an entry was read during the grace time. It returns whether that was not
// known before.
func (f *Follower) deferRemoval(key string) bool {
	if _, ok := f.deferredRemovals[key]; ok {
		return false
	}
	f.deferredRemovals[key] = f.clock()
	return true
}

// logDeferredRemovals logs the entries whose removal was just deferred, in one line for all of them.
func (f *Follower) logDeferredRemovals(keys []string) {
	if len(keys) == 0 {
		return
	}
	f.log.Info().Str("prefix", f.options.Prefix).Int("entries", len(keys)).Strs("keys", keys[:min(maxLoggedKeys, len(keys))]).
		Uint64("revision", f.revision).Int64("grace_left_ms", (f.graceEndsAt - f.clock()).Milliseconds()).
		Msg("store: removals deferred")
}

// applyDeferredRemovals removes the entries that were not written again by the end of the grace time.
func (f *Follower) applyDeferredRemovals() {
	now := f.clock()
	if len(f.deferredRemovals) == 0 || now < f.graceEndsAt {
		return
	}
	var changed []string
	firstReadAt := now
	for key, readAt := range f.deferredRemovals {
		delete(f.items, key)
		changed = append(changed, key)
		firstReadAt = min(firstReadAt, readAt)
	}
	clear(f.deferredRemovals)
	f.log.Info().Str("prefix", f.options.Prefix).Int("entries", len(changed)).
		Strs("keys", changed[:min(maxLoggedKeys, len(changed))]).Int64("deferred_ms", (now - firstReadAt).Milliseconds()).
		Msg("store: deferred removals applied")
	f.apply(Update{Items: f.items, ChangedKeys: changed, CurrentAt: f.lastSuccessAt, Revision: f.revision})
}
