// Package clock reads a clock that keeps running while the VM of the process is
// suspended, unlike Go's monotonic clock.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns times that never go back. It starts at the time of day when it
// was made; later steps of the time of day have no effect.
type Clock struct {
	wall time.Time
	boot time.Duration
}

// New returns a clock that starts now.
func New() (clo *Clock, err error) {
	boot, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	return &Clock{wall: time.Now().Round(0), boot: boot}, nil
}

// Now returns the clock's time.
func (clo *Clock) Now() time.Time {
	boot, err := sinceBoot()
	if err != nil {
		// New has read the same clock before.
		panic(err)
	}
	return clo.wall.Add(boot - clo.boot)
}

func sinceBoot() (span time.Duration, err error) {
	var tsp unix.Timespec
	if err = unix.ClockGettime(unix.CLOCK_BOOTTIME, &tsp); err != nil {
		return 0, fmt.Errorf("read CLOCK_BOOTTIME: %w", err)
	}
	return time.Duration(tsp.Nano()), nil
}
