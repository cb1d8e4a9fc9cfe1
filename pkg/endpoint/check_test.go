package endpoint_test

import (
	"math"
	"testing"

	"github.com/pistachiovane/pistachiovane/pkg/endpoint"
)

// Requests would be sent to addresses to which no connection can be opened.
func TestImpossibleAddressIsAccepted(t *testing.T) {
	for address, valid := range map[string]bool{
		"10.0.0.1:1": true, "10.0.0.1:65535": true, "[::1]:80": true,
		"10.0.0.1:0": false, "10.0.0.1:-1": false, "10.0.0.1:65536": false, "10.0.0.1:70000": false,
		"10.0.0.1:100000000000000000000": false, "10.0.0.1": false, "10.0.0.1:": false, ":80": false, "host:80": false, "": false,
		"10.0.0.256:80": false, "10.0.0.1:0x50": false,
	} {
		if err := endpoint.CheckAddress(address); (err == nil) != valid {
			t.Errorf("%q: got error %v, want valid %t", address, err, valid)
		}
	}
}

// Sums of impossible numbers of slots would overflow.
func TestImpossibleSlotsAreAccepted(t *testing.T) {
	for slots, valid := range map[int]bool{
		0: true, 1: true, endpoint.MaxSlots: true, endpoint.MaxSlots + 1: false, math.MaxInt64: false, -1: false,
	} {
		if err := endpoint.CheckSlots(slots); (err == nil) != valid {
			t.Errorf("%d: got error %v, want valid %t", slots, err, valid)
		}
	}
}
