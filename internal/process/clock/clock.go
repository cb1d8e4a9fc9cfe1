// Package clock reads a monotonic clock that also counts the time in which the VM was suspended. Ages and deadlines are
// measured on it.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the time since an arbitrary start. It never decreases.
type Clock func() time.Duration

// SinceBoot returns the time since the VM started. It includes the time in which the VM was suspended, so that an age
// is never measured too short, and it does not depend on changes of the time of day. It panics if the system has no
// such clock.
func SinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic("clock: CLOCK_BOOTTIME is not available: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
