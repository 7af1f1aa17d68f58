package clock

import (
	"context"
	"time"
)

// Pause waits for a span unless the context is done before.
func Pause(ctx context.Context, span time.Duration) {
	tim := time.NewTimer(span)
	defer tim.Stop()
	select {
	case <-ctx.Done():
	case <-tim.C:
	}
}
