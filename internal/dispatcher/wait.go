package dispatcher

import (
	"context"
	"time"
)

// WaitUntil waits until the given time or until the context is done.
func WaitUntil(ctx context.Context, until time.Time) {
	select {
	case <-time.After(time.Until(until)):
	case <-ctx.Done():
	}
}
