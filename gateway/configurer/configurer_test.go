package configurer

import (
	"fmt"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"
	"github.com/pkg/errors"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/platform"
	standin "github.com/pistachiovane/pistachiovane/standin/platform"
)

const (
	digest = "0000000000000000000000000000000000000000000000000000000000000001"
	uses1  = "[list]\nversion = 1\n[plan p]\nroutes = r\n[route r]\nkind = model\ntarget = m\n"
	uses2  = "[list]\nversion = 2\n[plan q]\nroutes = r\n[route r]\nkind = model\ntarget = m\n"
	plans1 = "[list]\nversion = 1\n[account a]\nplan = p\nkeys = " + digest + "\nrate = 1\nburst = 1\n"
	plans2 = "[list]\nversion = 2\n[account a]\nplan = q\nkeys = " + digest + "\nrate = 1\nburst = 1\n"
)

// versions are the versions of the two lists in an activated configuration.
type versions struct{ Plans, Uses uint64 }

// newConfigurer returns a configurer without a platform, and the versions that it activates.
func newConfigurer(t *testing.T) (c *Configurer, activated *[]versions) {
	t.Helper()
	activated = &[]versions{}
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	c = New(nil, time.Second, logger, func(k *catalog.Catalog) {
		plans, uses := k.Versions()
		*activated = append(*activated, versions{plans, uses})
	}, func(platform.VMList, time.Time, bool) {}, func() bool { return false })
	return c, activated
}

// TestOlderListsAreNotActivated guards against a list that replaces a newer one. It delivers lists in wrong orders,
// repeatedly and with errors. A list that does not fit the other one becomes active together with the version that it
// fits.
func TestOlderListsAreNotActivated(t *testing.T) {
	c, activated := newConfigurer(t)
	received := []fleet.List{
		{Name: Plans, Version: 1, Text: plans1},
		{Name: Uses, Version: 1, Text: uses1},
		{Name: Plans, Version: 2, Text: plans2},
		{Name: Plans, Version: 1, Text: plans1},
		{Name: Uses, Version: 2, Text: uses2},
		{Name: Uses, Version: 1, Text: uses1},
		{Name: Plans, Version: 9, Text: "[list]\nversion = 9\n[account"},
		{Name: Plans, Version: 1, Text: plans1},
	}
	for _, l := range received {
		c.ReceiveLists([]fleet.List{l})
	}
	if diff := cmp.Diff([]versions{{1, 1}, {2, 2}}, *activated); diff != "" {
		t.Errorf("activated versions (-want +got):\n%s", diff)
	}
	if s := c.State(); s.PlansVersion != 2 || s.UsesVersion != 2 || len(s.Findings) == 0 {
		t.Errorf("got state %+v, want version 2 of both lists and the findings of plans version 9", s)
	}
}

// TestPartsOfOtherVersionsAreRejected guards against a list that is joined from parts of different versions. One of
// the parts that the platform returns is outdated at first.
func TestPartsOfOtherVersionsAreRejected(t *testing.T) {
	service := standin.New()
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	c, _ := newConfigurer(t)
	c.client = platform.New(server.URL, "gw", server.Client())
	manifest := platform.List{Name: Plans, Version: 2, Text: "[list]\nversion = 2\nparts = plans.1, plans.2\n"}
	account := func(name string, key int) string {
		return fmt.Sprintf("[account %s]\nplan = p\nkeys = %064x\nrate = 1\nburst = 1\n", name, key)
	}
	service.Publish("plans.1", 2, account("a", 1))
	service.Publish("plans.2", 1, account("old", 9))
	var part *PartVersionError
	if _, err := c.joinParts(t.Context(), manifest); !errors.As(err, &part) || part.Part != "plans.2" {
		t.Fatalf("got error %v, want a PartVersionError for plans.2", err)
	}
	service.Publish("plans.2", 2, account("b", 2))
	text, err := c.joinParts(t.Context(), manifest)
	if err != nil {
		t.Fatal(err)
	}
	c.ReceiveLists([]fleet.List{{Name: Uses, Version: 1, Text: uses1}, {Name: Plans, Version: 2, Text: text}})
	if got := len(c.Active().Accounts()); got != 2 {
		t.Errorf("got %d active accounts, want 2; findings: %v", got, c.State().Findings)
	}
}

// TestPairWithOlderListIsNotNewer guards against a pair of lists that is activated because one list is newer although
// the other one is older. addList rejects older lists before, so the test calls isNewer directly.
func TestPairWithOlderListIsNotNewer(t *testing.T) {
	c, _ := newConfigurer(t)
	c.ReceiveLists([]fleet.List{{Name: Uses, Version: 1, Text: uses1}, {Name: Plans, Version: 1, Text: plans1}})
	old := [2]fleet.List{{Name: Plans, Version: 0}, {Name: Uses, Version: 2}}
	if c.isNewer(old) {
		t.Error("isNewer is true for a pair with an older list, want false")
	}
}

// TestPeersSendDeltasAndWholeListsAfterAMismatch guards against a change that does not reach a peer. A change of one
// account is sent as a delta. A delta that was altered on its way does not apply, and the whole list is sent next.
func TestPeersSendDeltasAndWholeListsAfterAMismatch(t *testing.T) {
	sender, _ := newConfigurer(t)
	receiver, _ := newConfigurer(t)
	plans := func(version int, rate int) fleet.List {
		return fleet.List{
			Name: Plans, Version: uint64(version),
			Text: fmt.Sprintf("[list]\nversion = %d\n[account a]\nplan = p\nkeys = %s\nrate = %d\nburst = 1\n[account b]\nplan = p\nkeys = %064x\nrate = 1\nburst = 1\n", version, digest, rate, 2),
		}
	}
	sync := func() []fleet.List {
		lists := sender.ListsNewerThan(receiver.Versions())
		receiver.ReceiveLists(lists)
		return lists
	}
	sender.ReceiveLists([]fleet.List{{Name: Uses, Version: 1, Text: uses1}, plans(1, 1)})
	sync()
	sender.ReceiveLists([]fleet.List{plans(2, 7)})
	if lists := sync(); len(lists) != 1 || lists[0].BaseVersion != 1 || len(lists[0].ChangedSections) != 2 ||
		lists[0].Text != "" {
		t.Fatalf("got lists %+v, want one delta of two sections from version 1", lists)
	}
	if a, ok := receiver.Active().Account("a"); !ok || a.TokensPerSecond != 7 {
		t.Errorf("got account a %+v, want rate 7", a)
	}
	sender.ReceiveLists([]fleet.List{plans(3, 8)})
	altered := sender.ListsNewerThan(receiver.Versions())
	altered[0].ChangedSections = altered[0].ChangedSections[:1]
	receiver.ReceiveLists(altered)
	if p, _, _ := receiver.Versions(); p != 0 {
		t.Fatalf("got plans version %d after a delta that does not apply, want 0 to request the whole list", p)
	}
	sync()
	if a, ok := receiver.Active().Account("a"); !ok || a.TokensPerSecond != 8 {
		t.Errorf("got account a %+v, want rate 8", a)
	}
}
