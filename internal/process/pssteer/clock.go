package pssteer

import (
	"time"

	"golang.org/x/sys/unix"
)

// sinceBoot returns the time since the VM's boot, including that for which it was suspended. It is 0 where the system has no such
// clock.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return 0
	}
	return time.Duration(t.Nano())
}
