// Package clock reads the time of a clock that goes on while the VM is
// suspended, which Go's monotonic clock does not.
package clock

import (
	"fmt"
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells times that never go back. Its first time is the time of day when
// it was made; steps of the time of day after that don't show.
type Clock struct {
	wall time.Time
	boot time.Duration
}

// New returns a clock.
func New() (clo *Clock, err error) {
	boot, err := sinceBoot()
	if err != nil {
		return nil, err
	}
	return &Clock{wall: time.Now().Round(0), boot: boot}, nil
}

// Now returns the time.
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
		return 0, fmt.Errorf("read the clock since boot: %w", err)
	}
	return time.Duration(tsp.Nano()), nil
}
