package platform_test

import (
	"net/netip"
	"testing"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
	"github.com/pistachiovane/pistachiovane/service/platform"
)

// An entry of the VM list that is accepted must be one that can be called.
func FuzzDecodeVM(f *testing.F) {
	f.Add([]byte(`{"id":"v","kind":"endpoint","address":"10.0.0.1:80","slots":4}`))
	f.Add([]byte(`{"id":"v","address":"10.0.0.1:70000"}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		v, err := platform.DecodeVM(b)
		if err != nil {
			return
		}
		a, err := netip.ParseAddrPort(v.Address)
		if err != nil || a.Port() == 0 || v.ID == "" || v.Slots < 0 || v.Slots > endpoint.MaxSlots {
			t.Errorf("%q: got %+v, want an error", b, v)
		}
	})
}
