package follower

import "github.com/pistachiovane/pistachiovane/internal/fleet/revision"

// loseHistory makes the next step read all entries: the store no longer holds the changes since the copy's revision, or it has
// been restored and is in another era.
func (f *Follower) loseHistory(era uint64) {
	f.log.Warn().Str("prefix", f.options.Prefix).Str("revision", f.revision.String()).Uint64("era", era).
		Msg("store: history lost, reading anew")
	f.synced = false
}

// enterEra records a read of all entries, which may be the first one of an era.
func (f *Follower) enterEra(at revision.Revision) {
	if f.status.get().Reads > 0 && at.Era != f.revision.Era {
		f.log.Warn().Str("prefix", f.options.Prefix).Str("previous", f.revision.String()).Str("revision", at.String()).
			Msg("store: new era")
	}
	f.status.recordRead(at, f.clock())
}
