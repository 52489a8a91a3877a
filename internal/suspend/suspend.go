// Package suspend tells for how long this machine has been suspended: its steady clock, by
// which all timers of a process go, stands still meanwhile.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns for how long the machine has been suspended since it started, as the
// difference of two clocks of Linux: CLOCK_BOOTTIME counts that time, CLOCK_MONOTONIC does
// not, and nobody sets either. It is 0 where the system has no such clocks.
func Total() time.Duration {
	steady, ok := read(unix.CLOCK_MONOTONIC)
	if !ok {
		return 0
	}
	all, ok := read(unix.CLOCK_BOOTTIME)
	if !ok {
		return 0
	}
	return all - steady
}

func read(clock int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, false // No such clock: nothing is known of suspensions.
	}
	return time.Duration(t.Nano()), true
}
