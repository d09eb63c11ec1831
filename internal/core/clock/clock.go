package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// SinceBoot returns the time since the machine booted, including time in suspend.
//
// The monotonic clock of package time stops while the machine is suspended, so it cannot prove that a lease is valid.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}
