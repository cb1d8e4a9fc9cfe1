package follower_test

import (
	"slices"
	"testing"

	"github.com/pistachiovane/pistachiovane/internal/fleet/follower"
	"github.com/pistachiovane/pistachiovane/internal/fleet/revision"
)

// itemOf returns an entry as of a revision.
func itemOf(key, value string, era, number uint64) follower.Item {
	return follower.Item{Key: key, Value: []byte(value), Revision: revision.New(era, number)}
}

// A store that was restored gives out numbers again: an entry that gets the number that it had before has another content
// (review/6: a key that was taken away worked on).
func TestEntryWithNumberOfEarlierEraCountsAsUnchanged(t *testing.T) {
	updates := runUpdates(t, follower.Options{}, []step{
		{read: true, items: []follower.Item{itemOf("config", "4", 1, 20)}, revision: revision.New(1, 23)},
		{err: follower.ErrHistoryLost},
		{read: true, items: []follower.Item{itemOf("config", "5", 2, 20)}, revision: revision.New(2, 20)},
	}, 2)
	if last := updates[1]; !slices.Contains(last.ChangedKeys, "config") {
		t.Errorf("got changed keys %v after a restore, want the entry, whose number is of another era", last.ChangedKeys)
	}
}
