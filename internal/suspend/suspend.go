// Package suspend measures how long this machine has been suspended. The monotonic clock,
// which drives all timers of a process, stands still during a suspension.
package suspend

import (
	"time"

	"golang.org/x/sys/unix"
)

// Total returns how long the machine has been suspended since boot. It is the difference
// between the Linux clocks CLOCK_BOOTTIME, which counts suspensions, and CLOCK_MONOTONIC,
// which does not; neither can be set. It returns 0 if the system lacks either clock.
func Total() time.Duration {
	monotonic, ok := readClock(unix.CLOCK_MONOTONIC)
	if !ok {
		return 0
	}
	boottime, ok := readClock(unix.CLOCK_BOOTTIME)
	if !ok {
		return 0
	}
	return boottime - monotonic
}

// readClock returns the value of a clock, or false if the system lacks it.
func readClock(clock int32) (time.Duration, bool) {
	var t unix.Timespec
	if err := unix.ClockGettime(clock, &t); err != nil {
		return 0, false
	}
	return time.Duration(t.Nano()), true
}
