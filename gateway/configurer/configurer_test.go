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

type versions struct{ Plans, Uses uint64 }

func newConfigurer(t *testing.T) (c *Configurer, activated *[]versions) {
	t.Helper()
	activated = &[]versions{}
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	c = New(nil, time.Second, logger, func(k *catalog.Catalog) {
		plans, uses := k.Versions()
		*activated = append(*activated, versions{plans, uses})
	}, func(platform.VMs, time.Time, bool) {}, func() bool { return false })
	return c, activated
}

// TestOlderListsAreNotActivated offers lists in every kind of wrong order. A list that does not fit the other one waits for
// the version that it fits.
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
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
	if s := c.State(); s.PlansVersion != 2 || s.UsesVersion != 2 || len(s.Findings) == 0 {
		t.Errorf("state %+v, want versions 2 and the findings of version 9", s)
	}
}

// TestPartsOfOtherVersionsAreRejected reads a list in parts, one of which is of the version before at first.
func TestPartsOfOtherVersionsAreRejected(t *testing.T) {
	service := standin.New()
	server := httptest.NewServer(service.Handler())
	defer server.Close()
	c, _ := newConfigurer(t)
	c.client = platform.New(server.URL, "gw", server.Client())
	manifest := platform.Value{Name: Plans, Version: 2, Text: "[list]\nversion = 2\nparts = plans.1, plans.2\n"}
	account := func(name string, key int) string {
		return fmt.Sprintf("[account %s]\nplan = p\nkeys = %064x\nrate = 1\nburst = 1\n", name, key)
	}
	service.Publish("plans.1", 2, account("a", 1))
	service.Publish("plans.2", 1, account("old", 9))
	var part *PartVersionError
	if _, err := c.joinParts(t.Context(), manifest); !errors.As(err, &part) || part.Part != "plans.2" {
		t.Fatalf("error %v, want one that names plans.2", err)
	}
	service.Publish("plans.2", 2, account("b", 2))
	text, err := c.joinParts(t.Context(), manifest)
	if err != nil {
		t.Fatal(err)
	}
	c.ReceiveLists([]fleet.List{{Name: Uses, Version: 1, Text: uses1}, {Name: Plans, Version: 2, Text: text}})
	if got := len(c.Active().Accounts()); got != 2 {
		t.Errorf("%d accounts in force, want 2; findings: %v", got, c.State().Findings)
	}
}

// TestPairWithOlderListIsNotNewer tries to turn the version in force back past the check of what was offered.
func TestPairWithOlderListIsNotNewer(t *testing.T) {
	c, _ := newConfigurer(t)
	c.ReceiveLists([]fleet.List{{Name: Uses, Version: 1, Text: uses1}, {Name: Plans, Version: 1, Text: plans1}})
	old := [2]fleet.List{{Name: Plans, Version: 0}, {Name: Uses, Version: 2}}
	if c.isNewer(old) {
		t.Error("a pair with an older list counts as newer")
	}
}

// TestPeersSendDeltasAndWholeListsAfterAMismatch lets one gateway learn a change of one account from another, as a delta, and the whole list
// where a delta does not fit.
func TestPeersSendDeltasAndWholeListsAfterAMismatch(t *testing.T) {
	sender, _ := newConfigurer(t)
	receiver, _ := newConfigurer(t)
	plans := func(version int, rate int) fleet.List {
		return fleet.List{Name: Plans, Version: uint64(version), Text: fmt.Sprintf("[list]\nversion = %d\n[account a]\nplan = p\nkeys = %s\nrate = %d\nburst = 1\n[account b]\nplan = p\nkeys = %064x\nrate = 1\nburst = 1\n", version, digest, rate, 2)}
	}
	sync := func() []fleet.List {
		lists := sender.ListsNewerThan(receiver.Versions())
		receiver.ReceiveLists(lists)
		return lists
	}
	sender.ReceiveLists([]fleet.List{{Name: Uses, Version: 1, Text: uses1}, plans(1, 1)})
	sync()
	sender.ReceiveLists([]fleet.List{plans(2, 7)})
	if lists := sync(); len(lists) != 1 || lists[0].From != 1 || len(lists[0].Set) != 2 || lists[0].Text != "" {
		t.Fatalf("news %+v, want a delta of two sections from version 1", lists)
	}
	if a, ok := receiver.Active().Account("a"); !ok || a.Rate != 7 {
		t.Errorf("account a is %+v, want rate 7", a)
	}
	sender.ReceiveLists([]fleet.List{plans(3, 8)})
	forged := sender.ListsNewerThan(receiver.Versions())
	forged[0].Set = forged[0].Set[:1]
	receiver.ReceiveLists(forged)
	if p, _, _ := receiver.Versions(); p != 0 {
		t.Fatalf("after a delta that does not fit version %d is asked for, want 0 for the whole list", p)
	}
	sync()
	if a, ok := receiver.Active().Account("a"); !ok || a.Rate != 8 {
		t.Errorf("account a is %+v, want rate 8", a)
	}
}
