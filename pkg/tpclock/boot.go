package tpclock

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the clock of the operating system with the time for which the machine
// was suspended. The monotonic readings of System stand still meanwhile, so an
// authority that is bounded by them would outlast its lease. Readings of Boot
// and System must not be compared with each other. The zero value is ready to
// use.
type Boot struct {
	// Suspended returns how long the machine has been suspended since it was
	// booted. Nil reads it from the kernel.
	Suspended func() (time.Duration, error)

	last atomic.Int64 // last value of Suspended that could be read
}

// Now returns the current time. Its monotonic reading includes suspensions.
func (b *Boot) Now() time.Time {
	read := b.Suspended
	if read == nil {
		read = suspended
	}
	if s, err := read(); err == nil {
		b.last.Store(int64(s))
	}
	return time.Now().Add(time.Duration(b.last.Load()))
}

// After waits for d on the system clock.
func (b *Boot) After(d time.Duration) <-chan time.Time { return time.After(d) }

// suspended returns the difference of the kernel's two steady clocks.
func suspended() (time.Duration, error) {
	var monotonic, boot unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic); err != nil {
		return 0, err
	}
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot); err != nil {
		return 0, err
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), nil
}
