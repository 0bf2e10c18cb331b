// Package wait provides sleeps that end early when their context is done.
package wait

import (
	"context"
	"time"
)

// Sleep waits for d. It ends early, with the context's error, once ctx is done.
func Sleep(ctx context.Context, d time.Duration) error {
	return SleepUntil(ctx, d, nil)
}

// SleepUntil is like Sleep, but also ends, without an error, when early is closed or
// receives a value. A nil early is ignored.
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

// Pause is like Sleep, for loops that check their context themselves.
func Pause(ctx context.Context, d time.Duration) {
	if err := Sleep(ctx, d); err != nil {
		return // the caller's loop checks ctx
	}
}
