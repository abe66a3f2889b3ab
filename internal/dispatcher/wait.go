package dispatcher

import (
	"context"
	"time"
)

// WaitUntil returns at the given time, or when the context ends.
func WaitUntil(ctx context.Context, until time.Time) {
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}
