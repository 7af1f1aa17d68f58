package clock

import (
	"context"
	"time"
)

// Pause waits for a duration or until the context is done.
func Pause(ctx context.Context, span time.Duration) {
	tim := time.NewTimer(span)
	defer tim.Stop()
	select {
	case <-ctx.Done():
	case <-tim.C:
	}
}
