package cmds

import (
	"fmt"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/platform/standin"
)

// Changes of the endpoint list are sent a few times only. Each gateway must learn all of them, also those that read the
// store seldom, and no gateway may keep asking the store because its list seems to differ.
func TestEdgeMissesListChanges(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	for range 6 {
		env.addGateway()
	}
	const added = 40
	for i := range added {
		e, err := standin.NewEndpoint(fmt.Sprintf("x%d", i), "desk", "a", "")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Close)
		env.store.Put(e.StoreEntry("ready"))
	}
	allListed := func(want int) func() bool {
		return func() bool {
			for _, g := range env.gateways {
				if len(g.state().Endpoints) != want {
					return false
				}
			}
			return true
		}
	}
	changedAt := time.Now()
	env.waitFor(allListed(5+added), "all gateways should list the new endpoints")
	for i := range added {
		env.store.Remove(fmt.Sprintf("servers/x%d", i))
	}
	env.waitFor(allListed(5), "no gateway should list the removed endpoints")
	if took := time.Since(changedAt); took > 4*time.Second {
		t.Errorf("got all changes after %v, want both rounds within the 2 s that gateways have for each", took)
	}
	calls := env.store.CallCount()
	time.Sleep(3 * time.Second)
	if extra := env.store.CallCount() - calls; extra > 90 {
		t.Errorf("got %d calls to the store in 3 s, want the usual watches of 7 gateways", extra)
	}
}
