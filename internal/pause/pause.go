// Package pause waits in a way that a context can end.
package pause

import (
	"context"
	"time"
)

// For waits for d or the end of ctx.
func For(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
