package cmds

import (
	"net/http"
	"testing"
	"time"
)

// maxApplyTime is the time within which a gateway must follow what the store has confirmed.
const maxApplyTime = 2 * time.Second

// writeFiller writes entries that no gateway uses, so that the number of the store's revision rises.
func (env *testEnv) writeFiller(entries int) {
	for range entries {
		env.store.Put("filler", []byte("{}"))
	}
}

// waitForVersion waits until all gateways have a version of the configuration.
func (env *testEnv) waitForVersion(version uint64) {
	env.t.Helper()
	for _, g := range env.gateways {
		env.waitFor(func() bool { return g.state().ConfigVersion == version }, "all gateways should have the version")
	}
}

// waitForRevision waits until the watches of all gateways have reached the store's present revision, so that those from there are
// refused after a drill.
func (env *testEnv) waitForRevision() {
	env.t.Helper()
	number := env.store.Revision()
	for _, g := range env.gateways {
		env.waitFor(func() bool { return min(g.state().Config.Revision, g.state().List.Revision) >= number },
			"all gateways should have the revision")
	}
}

// After a drill, the newest configuration may get the number that the one before it had in the old era. It was taken for
// unchanged, and a key that it does not hold worked until the next version (review/6).
func TestEdgeAcceptsWithdrawnKeyIfVersionHasNumberOfEarlierEra(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	copied := env.store.Copy()
	env.putConfig(4, `"key"`)
	number := env.store.Revision()
	env.waitForVersion(4)
	env.writeFiller(5)
	env.addGateway()
	env.waitForRevision()
	env.store.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	env.store.Restore(copied)
	env.putConfig(5, `"other"`)
	if got := env.store.Revision(); got != number {
		t.Fatalf("got number %d, want %d again", got, number)
	}
	time.Sleep(maxApplyTime)
	for n := range env.gateways {
		env.useGateway(n)
		if resp := env.call(http.MethodGet, "/read/1"); resp.status == http.StatusOK {
			t.Errorf("gateway %d: got %+v for the withdrawn key; log:\n%s", n, resp, env.linesWith("config:", "store:"))
		}
	}
}
