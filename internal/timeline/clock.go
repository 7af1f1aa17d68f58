package timeline

import (
	"sync"
	"time"
)

// Stamp is a timestamp of a hybrid logical clock: milliseconds since 1970 in the
// upper 48 bits, and a counter in the lower 16.
type Stamp uint64

// counterBits is the width of a stamp's counter.
const counterBits = 16

// maxAhead bounds how far a peer's stamp may be ahead of the wall clock. Stamps
// further ahead are ignored, so that one wrong clock does not advance the others.
const maxAhead = time.Minute

// Time returns the wall-clock part of a stamp.
func (stm Stamp) Time() time.Time {
	return time.UnixMilli(int64(stm >> counterBits))
}

// Clock issues strictly increasing stamps. It is safe for concurrent use.
type Clock struct {
	mu   sync.Mutex
	last Stamp
}

// Now returns a new stamp for an event at a given wall-clock time.
func (clk *Clock) Now(now time.Time) Stamp {
	clk.mu.Lock()
	defer clk.mu.Unlock()
	clk.last = max(clk.last+1, wallStamp(now))
	return clk.last
}

// Observe advances the clock to a stamp received with a message.
func (clk *Clock) Observe(now time.Time, stm Stamp) {
	clk.mu.Lock()
	defer clk.mu.Unlock()
	if stm <= wallStamp(now.Add(maxAhead)) {
		clk.last = max(clk.last, stm)
	}
}

// wallStamp returns the lowest stamp of a wall-clock time.
func wallStamp(now time.Time) Stamp {
	return Stamp(now.UnixMilli()) << counterBits
}
