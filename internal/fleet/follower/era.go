package follower

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
)

// errEarlierEra is wrapped by the error of an answer that is of an earlier era than the copy.
var errEarlierEra = errors.New("store: answer of an earlier era")

// checkEra returns the error of an answer, or errEarlierEra if it is older than the copy: an instance of the store that was
// replaced may go on answering. Such an answer says nothing of the present.
func (f *Follower) checkEra(a answer) error {
	if a.err != nil || a.revision.Era >= f.revision.Era {
		return a.err
	}
	f.status.recordLateAnswer()
	return errors.Wrapf(errEarlierEra, "answer %s to a copy of %s", a.revision, f.revision)
}

// loseHistory makes the next step read all entries: the store no longer holds the changes since the copy's revision, or it has
// been restored and is in a later era. Then the read is put off for a random time.
func (f *Follower) loseHistory(era uint64) {
	f.log.Warn().Str("prefix", f.options.Prefix).Str("revision", f.revision.String()).Uint64("era", era).
		Msg("store: history lost, reading anew")
	f.synced, f.readAt = false, f.clock()
	if era > f.revision.Era && f.options.RestoreDelay != nil {
		f.readAt += time.Duration(rand.Int64N(int64(f.options.RestoreDelay()) + 1))
	}
}

// awaitRead waits until the read of all entries is due, or until Refresh is called.
func (f *Follower) awaitRead(ctx context.Context) {
	if remaining := f.readAt - f.clock(); remaining > 0 {
		f.pause(ctx, remaining, f.refresh)
	}
	f.readAt = 0
}

// enterEra records a read of all entries, which may be the first one of an era. Entries that are missing then are kept for a while.
func (f *Follower) enterEra(at revision.Revision) {
	if f.status.get().Reads > 0 && at.Era != f.revision.Era {
		f.log.Warn().Str("prefix", f.options.Prefix).Str("previous", f.revision.String()).Str("revision", at.String()).
			Msg("store: new era")
		f.removals.RecordRestore(f.clock())
	}
	f.status.recordRead(at, f.clock())
}
