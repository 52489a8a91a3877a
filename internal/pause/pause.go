// Package pause provides a sleep that a context can end early.
package pause

import (
	"context"
	"time"
)

// Sleep sleeps for d or until ctx is done, whichever is first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
