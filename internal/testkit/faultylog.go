package testkit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// FaultyLog is a platform.Log that forwards calls to another log in the test's process. It can be
// cut off or redirected. A read that is already waiting is not affected.
type FaultyLog struct {
	target atomic.Pointer[platform.Log]
	cut    atomic.Bool
}

// NewFaultyLog returns a FaultyLog that forwards calls to log.
func NewFaultyLog(log platform.Log) *FaultyLog {
	l := &FaultyLog{}
	l.Redirect(log)
	return l
}

// Redirect forwards later calls to log.
func (l *FaultyLog) Redirect(log platform.Log) { l.target.Store(&log) }

// Cut makes later calls fail with platform.ErrUnavailable, or ends that if cut is false.
func (l *FaultyLog) Cut(cut bool) { l.cut.Store(cut) }

// Append implements platform.Log.
func (l *FaultyLog) Append(ctx context.Context, stream string, entries [][]byte) (platform.Offset, error) {
	if l.cut.Load() {
		return 0, platform.ErrUnavailable
	}
	return (*l.target.Load()).Append(ctx, stream, entries)
}

// Read implements platform.Log.
func (l *FaultyLog) Read(ctx context.Context, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if l.cut.Load() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return (*l.target.Load()).Read(ctx, stream, from, limit, wait)
}
