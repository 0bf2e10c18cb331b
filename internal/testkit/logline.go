package testkit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// FaultyLog is a process's way to the log of a stand-in in the test's own process.
// It can be cut, and led to another log. A read that waits goes on.
type FaultyLog struct {
	target atomic.Pointer[platform.Log]
	cut    atomic.Bool
}

// NewFaultyLog returns a line to a log.
func NewFaultyLog(log platform.Log) *FaultyLog {
	l := &FaultyLog{}
	l.Redirect(log)
	return l
}

// Redirect leads the line to another log.
func (l *FaultyLog) Redirect(log platform.Log) { l.target.Store(&log) }

// Cut cuts the line or mends it.
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
