// Package clock reads the time that ages and bounds are counted in.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start. It never goes back.
type Clock func() time.Duration

// SinceBoot returns the time since the VM started. It also counts the time in which the VM was suspended, so that an
// age never looks younger than it is, and it does not follow changes of the time of day.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
