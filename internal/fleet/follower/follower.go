// Package follower keeps a copy of the entries of the platform's store whose keys begin with a prefix. It reads them
// once, then watches for changes, and reports with each update a time at which the copy is known to have been complete.
package follower

import (
	"context"
	"time"

	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/fleet/deferrer"
	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
	"github.com/pistachiovane/pistachiovane/internal/process/clock"
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
	// paceCheckInterval is how often the pace is asked for during an interval.
	paceCheckInterval = 250 * time.Millisecond
)

// Item is one entry of the store, as of the revision that wrote or removed it.
type Item struct {
	Key      string
	Value    []byte
	Revision revision.Revision
	// Removed is true if the entry was removed.
	Removed bool
}

// Source gives access to the store. Its methods return early when the context ends.
type Source interface {
	// Read returns all entries whose keys begin with prefix, and a revision that they are at least as new as.
	Read(ctx context.Context, prefix string) (items []Item, at revision.Revision, err error)
	// Watch returns the changes after the number of a revision as soon as there are any, or no items after the wait. They are
	// changes of the era of at, which may be another one than that of after. It fails with ErrHistoryLost if the store no
	// longer holds these changes; at then holds the era alone.
	Watch(ctx context.Context, prefix string, after revision.Revision, wait time.Duration) (items []Item, at revision.Revision, err error)
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
	Revision  revision.Revision
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
	// RestoreDelay returns the longest time for which the read of all entries of a restored store is put off, so that not all
	// gateways read at the same moment. Nil means that it is read at once.
	RestoreDelay func() time.Duration
	// Removals says how long removals are deferred after an outage of the store.
	Removals deferrer.Options
}

// Follower follows the entries under one prefix. Only Refresh and Status may be called while Serve runs; all other state
// belongs to the goroutine of Serve.
type Follower struct {
	source  Source
	options Options
	clock   clock.Clock
	log     *log.Logger
	apply   func(Update)

	items    map[string]Item
	revision revision.Revision
	// currentAt is a time at which the copy is known to have been complete.
	currentAt time.Duration
	// synced is false while all entries must be read (again), instead of only their changes.
	synced bool
	// readAt is when all entries are to be read, if the copy is not synced.
	readAt time.Duration
	// refreshing is set if the next watch must not wait for changes.
	refreshing bool
	// failures is the number of calls that have failed since the latest success.
	failures   int
	retryDelay time.Duration
	// removals holds the removals that are deferred. It is created by Serve.
	removals *deferrer.Deferrer
	status   statusRecorder
	// refresh receives a value for each call of Refresh; further calls are dropped while one is pending.
	refresh chan struct{}
}

// New returns a Follower that calls apply with each update, from the goroutine of Serve.
func New(s Source, o Options, c clock.Clock, l *log.Logger, apply func(Update)) *Follower {
	return &Follower{
		source: s, options: o, clock: c, log: l, apply: apply, items: map[string]Item{}, refresh: make(chan struct{}, 1),
	}
}

// Refresh interrupts the current watch or wait and asks the store for changes at once. Callers use it if a peer has reported
// a newer version of an entry, or if the copy has not been confirmed for too long. It never blocks and is safe for
// concurrent use.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Status returns the revision of the copy and what led to it. It is safe for concurrent use.
func (f *Follower) Status() Status {
	return f.status.get()
}

// Serve follows the store until the context ends. It returns the error of the context; failed calls are retried.
func (f *Follower) Serve(ctx context.Context) error {
	f.removals = deferrer.New(f.options.Removals, f.clock())
	for ctx.Err() == nil {
		startedAt := f.clock()
		changes, err := f.step(ctx)
		f.applyDueRemovals()
		if err != nil {
			f.handleFailure(ctx, err)
			continue
		}
		f.retryDelay = 0
		if changes {
			f.keepInterval(ctx, startedAt)
		}
	}
	return ctx.Err()
}

// keepInterval waits until the shortest interval after a call that started at startedAt is over. It asks for the pace
// again and again: the interval gets shorter when the gateways that read more often have gone.
func (f *Follower) keepInterval(ctx context.Context, startedAt time.Duration) {
	for {
		_, minInterval := f.options.Pace()
		remaining := f.untilNextCall(minInterval - (f.clock() - startedAt))
		if remaining <= 0 || !f.pause(ctx, min(remaining, paceCheckInterval), f.refresh) {
			return
		}
	}
}

// pause waits for d, or until the context ends. A value from refresh ends it too; the next watch does not wait then.
// It returns whether it waited for d.
func (f *Follower) pause(ctx context.Context, d time.Duration, refresh <-chan struct{}) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-refresh:
			f.refreshing = true
			return false
		case <-f.removalsDue():
			f.applyDueRemovals()
		}
	}
}

// step makes one call to the store: a read if the copy is not synced, a watch otherwise. changes is true after a read,
// and after a watch that returned items.
func (f *Follower) step(ctx context.Context) (changes bool, err error) {
	if !f.synced {
		f.awaitRead(ctx)
		return true, f.read(ctx)
	}
	return f.watch(ctx)
}

// read replaces the copy by all entries of the store.
func (f *Follower) read(ctx context.Context) error {
	startedAt := f.clock()
	a := f.await(ctx, func(ctx context.Context) answer {
		items, at, err := f.source.Read(ctx, f.options.Prefix)
		return answer{items: items, revision: at, err: err}
	}, nil)
	if err := f.checkEra(a); err != nil {
		return err
	}
	f.recordSuccess()
	f.enterEra(a.revision)
	f.replaceItems(a.items, a.revision, startedAt)
	return nil
}

// watch applies the next changes to the copy. It does not wait for changes after Refresh, nor while calls fail, so that the
// store's return is noticed at once. changes is true if there were any.
func (f *Follower) watch(ctx context.Context) (changes bool, err error) {
	startedAt := f.clock()
	wait, _ := f.options.Pace()
	wait = f.untilNextCall(wait)
	if f.refreshing || f.failures > 0 {
		wait = 0
	}
	f.refreshing = false
	a := f.await(ctx, func(ctx context.Context) answer {
		items, at, err := f.source.Watch(ctx, f.options.Prefix, f.revision, wait)
		return answer{items: items, revision: at, err: err}
	}, f.refresh)
	err = f.checkEra(a)
	switch {
	case errors.Is(err, errRefreshRequested):
		return false, nil
	case errors.Is(err, ErrHistoryLost), err == nil && a.revision.Era > f.revision.Era:
		// Changes of a later era are no continuation of the copy, and that there are none confirms nothing.
		f.loseHistory(a.revision.Era)
		return false, nil
	case err != nil:
		return false, err
	}
	f.recordSuccess()
	if len(a.items) == 0 && f.clock()-startedAt >= wait {
		// No changes were found for the whole wait, so the copy was complete until its end.
		startedAt += wait
	}
	f.applyChanges(a.items, a.revision, startedAt)
	return len(a.items) > 0, nil
}

// handleFailure logs the first failure in a row and waits before the next call.
func (f *Follower) handleFailure(ctx context.Context, err error) {
	if f.failures == 0 {
		f.log.Warn().Str("prefix", f.options.Prefix).Err(err).Msg("store: lost")
	}
	f.failures++
	f.retryDelay = min(maxRetryDelay, f.retryDelay+retryDelayStep)
	f.pause(ctx, f.retryDelay, nil)
}

// recordSuccess records an answer of the store.
func (f *Follower) recordSuccess() {
	silence := f.removals.RecordAnswer(f.clock(), f.failures)
	if f.failures == 0 {
		return
	}
	f.failures = 0
	f.log.Info().Str("prefix", f.options.Prefix).Int64("away_ms", silence.Milliseconds()).Msg("store: regained")
}

// replaceItems replaces the copy with the result of a full read. Entries whose removal is deferred are kept.
func (f *Follower) replaceItems(items []Item, at revision.Revision, currentAt time.Duration) {
	var changed, deferredKeys []string
	newItems := make(map[string]Item, len(items))
	for _, i := range items {
		newItems[i.Key] = i
		f.removals.Cancel(i.Key)
		if old, ok := f.items[i.Key]; !ok || old.Revision != i.Revision {
			changed = append(changed, i.Key)
		}
	}
	for key, old := range f.items {
		if _, ok := newItems[key]; ok {
			continue
		}
		deferred, added := f.removals.Defer(key, f.clock())
		if added {
			deferredKeys = append(deferredKeys, key)
		}
		if deferred {
			newItems[key] = old
			continue
		}
		changed = append(changed, key)
	}
	f.items, f.revision, f.synced = newItems, at, true
	f.logDeferredRemovals(deferredKeys)
	f.update(changed, currentAt, true)
}

// applyChanges applies the result of a watch to the copy, but for the removals that are deferred.
func (f *Follower) applyChanges(items []Item, at revision.Revision, currentAt time.Duration) {
	var changed, deferredKeys []string
	for _, i := range items {
		if !i.Removed {
			f.items[i.Key] = i
			f.removals.Cancel(i.Key)
			changed = append(changed, i.Key)
			continue
		}
		deferred, added := f.removals.Defer(i.Key, f.clock())
		if added {
			deferredKeys = append(deferredKeys, i.Key)
		}
		if !deferred {
			delete(f.items, i.Key)
			changed = append(changed, i.Key)
		}
	}
	f.revision = f.revision.WithNumber(max(f.revision.Number, at.Number))
	f.status.recordChanges(f.revision)
	f.logDeferredRemovals(deferredKeys)
	f.update(changed, currentAt, false)
}

// update reports the copy after a change.
func (f *Follower) update(changed []string, currentAt time.Duration, fullRead bool) {
	f.currentAt = currentAt
	f.apply(Update{
		Items: f.items, ChangedKeys: changed, CurrentAt: currentAt, Revision: f.revision, FullRead: fullRead,
	})
}
