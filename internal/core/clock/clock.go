package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Boot returns the time since the machine started, counting the time during which it was suspended.
//
// The monotonic clock of package time stands still while a machine is suspended, so it proves no lease.
func Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		panic(fmt.Sprintf("read CLOCK_BOOTTIME: %v", err))
	}
	return time.Duration(t.Nano())
}
