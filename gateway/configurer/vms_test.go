package configurer

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/pistachiovane/pistachiovane/service/fleet"
	"github.com/pistachiovane/pistachiovane/service/platform"
)

// soundVM is a sound entry of a VM list.
const soundVM = `{"id":"v","kind":"endpoint","address":"10.0.0.1:80","domain":"a","role":"plain","model":"s","slots":4}`

// oddVMs are entries that another writer might leave in a VM list.
func oddVMs() []string {
	out := []string{`null`, `7`, `"v"`, `{}`, `{"id":"odd"}`, `{"id":"odd","address":7}`, strings.Repeat("[", 9000) + strings.Repeat("]", 9000)}
	for _, odd := range []string{
		`"10.0.0.1:0","slots":4`, `"10.0.0.1:70000","slots":4`, `"10.0.0.1","slots":4`, `"10.0.0.1:1","slots":-1`,
		`"10.0.0.1:1","slots":9223372036854775807`, `"10.0.0.1:1","slots":1e400`,
	} {
		out = append(out, `{"id":"odd","kind":"endpoint","domain":"a","role":"plain","model":"s","address":`+odd+`}`)
	}
	return out
}

// One odd entry hid the whole VM list, and an impossible port became an endpoint. The others must hold, whether the
// platform or a peer sends the list.
func TestOddEntryHidesVMList(t *testing.T) {
	var want platform.VM
	want, err := platform.DecodeVM([]byte(soundVM))
	if err != nil {
		t.Fatal(err)
	}
	for i, odd := range oddVMs() {
		body := fmt.Sprintf(`{"version":3,"vms":[%s,%s]}`, odd, soundVM)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }))
		read, err := platform.New(server.URL, "test", server.Client()).ReadVMList(context.Background())
		server.Close()
		if err != nil {
			t.Errorf("%.100s: got error %v, want the other entry", odd, err)
		}
		received := parseVMs(fleet.List{Name: VMs, Version: 3, Text: fmt.Sprintf("[odd%d]\n%s\n[v]\n%s\n", i, odd, soundVM)})
		for from, got := range map[string]platform.VMList{"platform": read, "peer": received} {
			if d := cmp.Diff([]platform.VM{want}, got.VMs); d != "" || got.Version != 3 || len(got.Malformed) == 0 {
				t.Errorf("%.100s from the %s: got version %d, %d malformed and VMs (-want +got):\n%s",
					odd, from, got.Version, len(got.Malformed), d)
			}
		}
	}
}
