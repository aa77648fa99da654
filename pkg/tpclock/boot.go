package tpclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// BootTime is the system clock plus the time for which the machine has been
// suspended. The monotonic reading of System does not advance during a
// suspension, so an authority that it bounds would outlast its lease. Times of
// BootTime and System must not be compared with each other. The zero value is
// ready to use.
type BootTime struct {
	// Suspended returns the total time for which the machine has been suspended
	// since it booted. If it is nil, BootTime reads that time from the kernel.
	Suspended func() (time.Duration, error)

	lastSuspended atomic.Int64 // last value that Suspended returned without an error, in nanoseconds
}

// Now returns the current time. Its monotonic reading includes suspensions. If
// Suspended returns an error, Now uses the last value without one.
func (b *BootTime) Now() time.Time {
	read := b.Suspended
	if read == nil {
		read = kernelSuspended
	}
	if s, err := read(); err == nil {
		b.lastSuspended.Store(int64(s))
	}
	return time.Now().Add(time.Duration(b.lastSuspended.Load()))
}

// After returns time.After(d), which does not count suspensions.
func (b *BootTime) After(d time.Duration) <-chan time.Time { return time.After(d) }

// kernelSuspended returns the difference between the kernel's CLOCK_BOOTTIME,
// which includes suspensions, and CLOCK_MONOTONIC, which does not.
func kernelSuspended() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
