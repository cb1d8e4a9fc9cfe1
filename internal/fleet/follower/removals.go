package follower

import (
	"time"

	"github.com/phuslu/log"
)

// maxLoggedKeys bounds the keys in one log line.
const maxLoggedKeys = 8

// removalsDue returns a channel that receives a value when the next deferred removal is due. It is nil if there is none.
func (f *Follower) removalsDue() <-chan time.Time {
	at, ok := f.removals.NextDue()
	if !ok {
		return nil
	}
	return time.After(at - f.clock())
}

// untilNextCall returns d, or the time until the removal of expired entries must be decided if that is earlier.
func (f *Follower) untilNextCall(d time.Duration) time.Duration {
	at, ok := f.removals.NextCall()
	if !ok {
		return d
	}
	// Waits are sent in whole ms, rounded down.
	return max(0, min(d, at-f.clock()+time.Millisecond))
}

// applyDueRemovals removes the entries whose removal was deferred and is due.
func (f *Follower) applyDueRemovals() {
	keys, deferredFor := f.removals.TakeDue(f.clock())
	if len(keys) == 0 {
		return
	}
	for _, key := range keys {
		delete(f.items, key)
	}
	f.removalEvent(keys).Int64("deferred_ms", deferredFor.Milliseconds()).Msg("store: deferred removals applied")
	f.update(keys, f.currentAt, false)
}

// logDeferredRemovals logs the entries whose removal was just deferred, in one line for all of them.
func (f *Follower) logDeferredRemovals(keys []string) {
	if len(keys) == 0 {
		return
	}
	graceLeft := f.removals.GraceEndsAt() - f.clock()
	f.removalEvent(keys).Str("revision", f.revision.String()).Int64("grace_left_ms", graceLeft.Milliseconds()).
		Msg("store: removals deferred")
}

// removalEvent returns a log line about removed entries, with the first maxLoggedKeys of their keys.
func (f *Follower) removalEvent(keys []string) *log.Entry {
	logged := keys[:min(maxLoggedKeys, len(keys))]
	return f.log.Info().Str("prefix", f.options.Prefix).Int("entries", len(keys)).Strs("keys", logged)
}
