package follower

import "github.com/pistachiovane/pistachiovane/internal/fleet/revision"

// logEra logs an answer of another era than that of the copy: the store was restored from a copy, and revisions are given again.
func (f *Follower) logEra(at revision.Revision, entries int) {
	if f.status.get().Reads == 0 || at.Era == f.revision.Era {
		return
	}
	f.log.Warn().Str("prefix", f.options.Prefix).Str("revision", f.revision.String()).Str("answer", at.String()).
		Int("entries", entries).Msg("store: answer of another era")
}
