package testkit

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// LogLine is a process's way to the log of a stand-in in the test's own process.
// It can be cut, and led to another log. A read that waits goes on.
type LogLine struct {
	log atomic.Pointer[platform.Log]
	cut atomic.Bool
}

// NewLogLine returns a line to a log.
func NewLogLine(log platform.Log) *LogLine {
	l := &LogLine{}
	l.Lead(log)
	return l
}

// Lead leads the line to another log.
func (l *LogLine) Lead(log platform.Log) { l.log.Store(&log) }

// Cut cuts the line or mends it.
func (l *LogLine) Cut(cut bool) { l.cut.Store(cut) }

// Append implements platform.Log.
func (l *LogLine) Append(ctx context.Context, stream string, entries [][]byte) (platform.Offset, error) {
	if l.cut.Load() {
		return 0, platform.ErrUnavailable
	}
	return (*l.log.Load()).Append(ctx, stream, entries)
}

// Read implements platform.Log.
func (l *LogLine) Read(ctx context.Context, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Batch, error) {
	if l.cut.Load() {
		return platform.Batch{}, platform.ErrUnavailable
	}
	return (*l.log.Load()).Read(ctx, stream, from, limit, wait)
}
