// Package boottime reads a clock that is never set and that counts the time for which the
// machine is suspended, unlike the monotonic readings of package time.
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
	"k8s.io/klog/v2"
)

// Now returns the time since the machine was started, as a time after 1970. It can be
// compared only with other results of Now in the same process.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// The kernel has had this clock since version 2.6.39.
		klog.Fatalf("read the clock: %v", err)
	}
	return time.Unix(t.Unix())
}
