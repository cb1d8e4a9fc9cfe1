package configurer

import (
	"io"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"github.com/pistachiovane/pistachiovane/pkg/catalog"
	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/platform"
)

const (
	digest = "0000000000000000000000000000000000000000000000000000000000000001"
	uses1  = "[list]\nversion = 1\n[plan p]\nroutes = r\n[route r]\nkind = model\ntarget = m\n"
	uses2  = "[list]\nversion = 2\n[plan q]\nroutes = r\n[route r]\nkind = model\ntarget = m\n"
	plans1 = "[list]\nversion = 1\n[account a]\nplan = p\nkeys = " + digest + "\nrate = 1\nburst = 1\n"
	plans2 = "[list]\nversion = 2\n[account a]\nplan = q\nkeys = " + digest + "\nrate = 1\nburst = 1\n"
)

type versions struct{ Plans, Uses uint64 }

func newConfigurer(t *testing.T) (c *Configurer, accepted *[]versions) {
	t.Helper()
	accepted = &[]versions{}
	logger := &log.Logger{Level: log.PanicLevel, Writer: &log.IOWriter{Writer: io.Discard}}
	c = New(nil, time.Second, logger, func(k *catalog.Catalog) {
		plans, uses := k.Versions()
		*accepted = append(*accepted, versions{plans, uses})
	}, func(platform.VMs, time.Time, bool) {}, func() bool { return false })
	return c, accepted
}

// TestVersionsOnlyRise offers lists in every kind of wrong order. A list that does not fit the other one waits for
// the version that it fits.
func TestVersionsOnlyRise(t *testing.T) {
	c, accepted := newConfigurer(t)
	offers := []fleet.List{
		{Name: Plans, Version: 1, Text: plans1},
		{Name: Uses, Version: 1, Text: uses1},
		{Name: Plans, Version: 2, Text: plans2},
		{Name: Plans, Version: 1, Text: plans1},
		{Name: Uses, Version: 2, Text: uses2},
		{Name: Uses, Version: 1, Text: uses1},
		{Name: Plans, Version: 9, Text: "[list]\nversion = 9\n[account"},
		{Name: Plans, Version: 1, Text: plans1},
	}
	for _, l := range offers {
		c.Offer([]fleet.List{l})
	}
	if diff := cmp.Diff([]versions{{1, 1}, {2, 2}}, *accepted); diff != "" {
		t.Errorf("accepted (-want +got):\n%s", diff)
	}
	if s := c.State(); s.Plans != 2 || s.Uses != 2 || len(s.Findings) == 0 {
		t.Errorf("state %+v, want versions 2 and the findings of version 9", s)
	}
}

// TestNeverBack tries to turn the version in force back past the check of what was offered.
func TestNeverBack(t *testing.T) {
	c, _ := newConfigurer(t)
	c.Offer([]fleet.List{{Name: Uses, Version: 1, Text: uses1}, {Name: Plans, Version: 1, Text: plans1}})
	old := [2]fleet.List{{Name: Plans, Version: 0}, {Name: Uses, Version: 2}}
	if c.newer(old) {
		t.Error("a pair with an older list counts as newer")
	}
}
