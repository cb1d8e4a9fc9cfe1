package follower_test

import (
	"slices"
	"testing"
	"time"

	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/internal/fleet/deferrer"
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

// A gateway that the store turned away during a drill watched on from a revision of the old era. Once the store had passed that
// number again, nothing told it that it had missed everything in between (review/9).
func TestWatchGoesOnFromRevisionOfEarlierEra(t *testing.T) {
	for name, watched := range map[string]step{
		"without changes": {revision: revision.New(2, 90)},
		"with changes":    {items: []follower.Item{itemOf("b", "", 2, 90)}, revision: revision.New(2, 90)},
		"third era":       {revision: revision.New(3, 90)},
	} {
		t.Run(name, func(t *testing.T) {
			updates := runUpdates(t, follower.Options{}, []step{
				{read: true, items: []follower.Item{itemOf("config", "3", 1, 2)}, revision: revision.New(1, 85)},
				watched,
				{read: true, items: []follower.Item{itemOf("config", "4", watched.revision.Era, 34)}, revision: watched.revision},
			}, 2)
			if last := updates[1]; !last.FullRead || string(last.Items["config"].Value) != "4" {
				t.Errorf("got update %+v after an answer of another era, want a read of all entries", last)
			}
		})
	}
}

// An answer of the old era may arrive after one of the new era, from an instance of the store that was replaced. It must not bring
// back what it holds, nor confirm anything.
func TestAnswerOfEarlierEraIsApplied(t *testing.T) {
	first := step{read: true, items: []follower.Item{itemOf("config", "5", 2, 20)}, revision: revision.New(2, 21)}
	old := []follower.Item{itemOf("config", "4", 1, 90)}
	last := step{items: []follower.Item{itemOf("b", "", 2, 22)}, revision: revision.New(2, 22)}
	for name, steps := range map[string][]step{
		"changes":      {first, {items: old, revision: revision.New(1, 90)}, last},
		"no changes":   {first, {revision: revision.New(1, 90)}, last},
		"full read":    {first, {err: follower.ErrHistoryLost}, {read: true, items: old, revision: revision.New(1, 90)}, {read: true, items: first.items, revision: revision.New(2, 21)}},
		"without eras": {first, {items: []follower.Item{itemOf("config", "4", 0, 90)}, revision: revision.New(0, 90)}, last},
	} {
		t.Run(name, func(t *testing.T) {
			for _, u := range runUpdates(t, follower.Options{}, steps, 2) {
				if u.Revision.Era != 2 || string(u.Items["config"].Value) != "5" {
					t.Errorf("got update %+v after an answer of an earlier era, want that of era 2 alone", u)
				}
			}
		})
	}
}

// What endpoints wrote in the seconds that a drill loses is not in the restored store until they write it again. They must not be
// dropped meanwhile, and no longer be kept than after an outage. The drill is too short here to count as one.
func TestEndpointOfLostSecondsIsDroppedAtOnce(t *testing.T) {
	o := follower.Options{Removals: deferrer.Options{Grace: 300 * time.Millisecond, HeartbeatInterval: 5 * time.Second}}
	both := []follower.Item{itemOf("a", "", 1, 20), itemOf("new", "", 1, 29), itemOf("gone", "", 1, 30)}
	updates := runUpdates(t, o, []step{
		{read: true, items: both, revision: revision.New(1, 30)},
		{revision: revision.New(2, 22)},
		{read: true, items: both[:1], revision: revision.New(2, 22)},
		{items: []follower.Item{itemOf("new", "", 2, 23)}, revision: revision.New(2, 23)},
		{revision: revision.New(2, 23), delay: 400 * time.Millisecond},
	}, 5)
	if kept := updates[1].Items; len(kept) != 3 {
		t.Errorf("got entries %v after the restore, want those of the lost seconds kept", kept)
	}
	if last := updates[4].Items; len(last) != 2 || last["gone"].Key != "" {
		t.Errorf("got entries %v after the grace time, want all but the one that was not written again", last)
	}
}

// A removal that is deferred after an outage meets a restore: an entry that the restored store has again must stay, and one that it
// lacks too must go once its owner has had the time to write it.
func TestDeferredRemovalOutlivesRestore(t *testing.T) {
	o := follower.Options{Removals: deferrer.Options{Grace: 300 * time.Millisecond, HeartbeatInterval: 25 * time.Millisecond}}
	both := []follower.Item{itemOf("a", "", 1, 20), itemOf("b", "", 1, 21)}
	for name, c := range map[string]struct {
		restored []follower.Item
		updates  int
		want     int
	}{
		"has it again": {restored: []follower.Item{itemOf("a", "", 2, 20), itemOf("b", "", 2, 21)}, updates: 4, want: 2},
		"lacks it too": {restored: []follower.Item{itemOf("a", "", 2, 20)}, updates: 5, want: 1},
	} {
		t.Run(name, func(t *testing.T) {
			updates := runUpdates(t, o, []step{
				{read: true, items: both, revision: revision.New(1, 30)},
				{err: errors.New("down")},
				{items: []follower.Item{{Key: "b", Revision: revision.New(1, 31), Removed: true}}, revision: revision.New(1, 31)},
				{revision: revision.New(2, 22)},
				{read: true, items: c.restored, revision: revision.New(2, 22)},
				{revision: revision.New(2, 22), delay: 400 * time.Millisecond},
			}, c.updates)
			if during := updates[2].Items; len(during) != 2 {
				t.Errorf("got entries %v right after the restore, want both", during)
			}
			if last := updates[c.updates-1].Items; len(last) != c.want {
				t.Errorf("got entries %v after the grace time, want %d", last, c.want)
			}
		})
	}
}
