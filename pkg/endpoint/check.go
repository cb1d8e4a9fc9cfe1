package endpoint

import (
	"net/netip"

	"github.com/pkg/errors"
)

// MaxSlots is the largest number of requests that one endpoint can be said to run at a time. It keeps sums of slots far
// from the limits of their type.
const MaxSlots = 1 << 16

// CheckAddress fails if an address is not ip:port, or if no connection can be opened to its port.
func CheckAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return errors.Wrapf(err, "address %q", address)
	}
	if a.Port() == 0 {
		return errors.Errorf("address %q has port 0", address)
	}
	return nil
}

// CheckSlots fails if a number of slots is negative or above MaxSlots.
func CheckSlots(slots int) error {
	if slots < 0 || slots > MaxSlots {
		return errors.Errorf("%d slots, at most %d are possible", slots, MaxSlots)
	}
	return nil
}
