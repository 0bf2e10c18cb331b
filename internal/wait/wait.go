// Package wait holds pauses that end early with their context.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It ends early, with the context's error, once ctx is done.
func Sleep(ctx context.Context, d time.Duration) error {
	return SleepUntil(ctx, d, nil)
}

// SleepUntil is Sleep that also ends, without an error, once early is closed or
// sends. A nil early never does.
func SleepUntil(ctx context.Context, d time.Duration, early <-chan struct{}) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-early:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// Pause is Sleep for loops that look at their context themselves.
func Pause(ctx context.Context, d time.Duration) {
	if err := Sleep(ctx, d); err != nil {
		return // the loop's condition sees it
	}
}
