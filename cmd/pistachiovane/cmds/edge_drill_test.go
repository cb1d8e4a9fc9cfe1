package cmds

import (
	"net/http"
	"testing"
	"time"

	"github.com/pistachiovane/pistachiovane/internal/soak/proxier"
	"github.com/pistachiovane/pistachiovane/platform/standin"
)

const (
	// maxApplyTime is the time within which a gateway must follow what the store has confirmed.
	maxApplyTime = 2 * time.Second
	// awayTime is how long the store is away in a drill.
	awayTime = 300 * time.Millisecond
	// settleTime is the time after a drill from which that binds.
	settleTime = 3 * time.Second
)

// addDrillGateways starts two further gateways, which know how often endpoints write their entries, and returns them.
func (env *testEnv) addDrillGateways() []*testGateway {
	env.t.Helper()
	env.settings.HeartbeatInterval = 1200 * time.Millisecond
	env.addGateway()
	env.addGateway()
	return env.gateways[1:]
}

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
	env.restore(copied)
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

// restore makes the store go away and come back from a copy.
func (env *testEnv) restore(copied standin.Copy) {
	env.store.SetDown(true)
	time.Sleep(awayTime)
	env.store.Restore(copied)
}

// waitForEra waits until gateways have read the restored list.
func (env *testEnv) waitForEra(gateways []*testGateway, era uint64) {
	env.t.Helper()
	for _, g := range gateways {
		env.waitFor(func() bool { return g.state().List.Era == era }, "all gateways should have read the restored list")
	}
}

// restoreWithEntries is restore, and what the endpoints wrote is written again.
func (env *testEnv) restoreWithEntries(copied standin.Copy) {
	env.restore(copied)
	for _, e := range env.serviceEndpoints {
		env.store.Put(e.StoreEntry("ready"))
	}
	for _, e := range env.modelEndpoints {
		env.store.Put(e.StoreEntry("ready"))
	}
}

// After a drill, the removal of an endpoint has a lower number than its entry had in the old era. It was dropped, and the endpoint
// got requests until it exited (review/8).
func TestEdgeSendsRequestsToEndpointThatLeftAfterDrill(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	gateways := env.addDrillGateways()
	copied := env.store.Copy()
	env.writeFiller(50)
	for _, e := range env.serviceEndpoints {
		env.store.Put(e.StoreEntry("ready"))
	}
	env.waitForRevision()
	env.restoreWithEntries(copied)
	env.waitForEra(env.gateways, 2)
	time.Sleep(settleTime)
	env.store.Remove("servers/s2")
	time.Sleep(maxApplyTime)
	for n, g := range gateways {
		if g.lists("s2") {
			t.Errorf("gateway %d lists an endpoint that was removed %v ago; log:\n%s", n, maxApplyTime, env.linesWith("list:", "store:"))
		}
	}
}

// A gateway that the store turned away during a drill, and one that asked again only when the store had passed its revision, watched
// on from the old era. They missed a version for good (review/9).
func TestEdgeMissesVersionWrittenWhileTurnedAway(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	path := env.addGatewayBehind()
	copied := env.store.Copy()
	env.writeFiller(20)
	env.waitForRevision()
	path.SetFault(proxier.Silence)
	env.restoreWithEntries(copied)
	env.putConfig(4, `"key","other"`)
	env.writeFiller(30)
	time.Sleep(time.Second)
	path.SetFault(proxier.None)
	time.Sleep(settleTime + maxApplyTime)
	for n, g := range env.gateways {
		if v := g.state().ConfigVersion; v != 4 {
			t.Errorf("gateway %d has version %d, want 4; log:\n%s", n, v, env.linesWith("config:", "store:"))
		}
	}
}

// After a drill, what the operator and the endpoints write at once may take the store past the revision from which gateways
// watched, so that no watch is refused. All gateways missed the version.
func TestEdgeMissesVersionOfDrillWithoutRefusedWatch(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	gateways := env.addDrillGateways()
	for drill := range uint64(2) {
		copied := env.store.Copy()
		env.writeFiller(20)
		env.waitForRevision()
		env.restore(copied)
		env.putConfig(int(5+drill), `"key","other"`) //nolint:gosec // a small number
		env.writeFiller(30)
		time.Sleep(maxApplyTime)
		for n, g := range gateways {
			if v := g.state().ConfigVersion; v != 5+drill {
				t.Errorf("drill %d: gateway %d has version %d, want %d; log:\n%s", drill, n, v, 5+drill, env.linesWith("config:", "store:"))
			}
		}
	}
}

// A drill may lose that an endpoint leaves or has been removed. The restored entry says that it runs, and gateways that knew better
// sent requests to it again.
func TestEdgeSendsRequestsToEndpointThatRestoredEntryBringsBack(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	gateways := env.addDrillGateways()
	copied := env.store.Copy()
	leaving, removed := env.serviceEndpoints[0], env.modelEndpoints["d2"]
	env.store.Put(leaving.StoreEntry("draining"))
	env.store.Remove("servers/d2")
	for _, g := range env.gateways {
		env.waitFor(func() bool { return !g.lists(removed.ID) && g.listsLeaving(leaving.ID) }, "all gateways should know")
	}
	env.restore(copied)
	env.waitForEra(gateways, 2)
	time.Sleep(time.Second)
	for n, g := range gateways {
		if g.lists(removed.ID) || !g.listsLeaving(leaving.ID) {
			t.Errorf("gateway %d: got endpoints %+v, want none that has left; log:\n%s", n, g.state().Endpoints, env.linesWith("list:", "store:"))
		}
	}
	time.Sleep(4 * time.Second)
	for _, g := range gateways {
		env.waitFor(func() bool { return g.lists(removed.ID) && !g.listsLeaving(leaving.ID) }, "entries that stay should count")
	}
}

// A gateway that starts after a drill reads the version before the newest one, which the drill has lost. It used it, though its peers
// told it of the newer one, and accepted a key that had been withdrawn (review, play newcomer). Its peers must stay ready.
func TestEdgeServesByVersionThatDrillBroughtBack(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	gateways := env.addDrillGateways()
	copied := env.store.Copy()
	env.putConfig(4, `"other"`)
	env.waitForVersion(4)
	env.restore(copied)
	started := env.startGateway(env.settings)
	env.useGateway(len(env.gateways) - 1)
	for restoredAt := time.Now(); time.Since(restoredAt) < 4*time.Second; time.Sleep(20 * time.Millisecond) {
		for _, path := range []string{"/read/1", "/open/1"} {
			if resp := env.call(http.MethodGet, path); resp.status != http.StatusServiceUnavailable || resp.header.Get("Retry-After") == "" {
				t.Fatalf("got %+v for %s by the old version, want status 503 with Retry-After; log:\n%s", resp, path, env.linesWith("config:"))
			}
		}
		for n, g := range gateways {
			if !g.daemon.Ready() {
				t.Fatalf("gateway %d, which has the newest version, is not ready; log:\n%s", n, env.linesWith("config:", "store:"))
			}
		}
	}
	env.putConfig(4, `"other"`)
	env.waitFor(started.daemon.Ready, "the started gateway should be ready once the version is written again")
	if resp := env.call(http.MethodGet, "/read/1"); resp.status != http.StatusUnauthorized {
		t.Errorf("got %+v for the withdrawn key, want status 401", resp)
	}
}

// A drill that loses the newest version and an endpoint, which are written again, must cost callers nothing: no gateway may cease to
// be ready, and no request may be refused.
func TestEdgeRefusesCallersInDrill(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	gateways := env.addDrillGateways()
	copied := env.store.Copy()
	env.putConfig(4, `"key","other"`)
	env.serviceEndpoints = append(env.serviceEndpoints, env.addEndpoint("s3", "desk", ""))
	env.waitForVersion(4)
	env.waitForRevision()
	restored := make(chan struct{})
	go func() {
		defer close(restored)
		env.restoreWithEntries(copied)
		time.Sleep(settleTime)
		env.putConfig(4, `"key","other"`)
	}()
	served := 0
	for startedAt := time.Now(); time.Since(startedAt) < settleTime+maxApplyTime; time.Sleep(10 * time.Millisecond) {
		env.useGateway(1 + served%len(gateways))
		if resp := env.call(http.MethodGet, "/read/1"); resp.status != http.StatusOK || !env.daemon.Ready() {
			t.Fatalf("got %+v as request %d in a drill, want status 200 of a ready gateway; log:\n%s", resp, served, env.linesWith("config:", "store:", "list:"))
		}
		served++
	}
	<-restored
}
