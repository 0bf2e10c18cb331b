package logging

import (
	"io"
	"sync/atomic"
)

// maxBufferedLines is how many lines wait for a slow reader of standard output.
const maxBufferedLines = 2048

// Async is a writer that never blocks: lines that come faster than the reader
// takes them are dropped and counted, so that a log that nobody reads can't hold
// up the work that it tells of.
type Async struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsync returns a writer that hands lines to out.
func NewAsync(out io.Writer) *Async {
	a := &Async{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go a.writeLoop(out)
	return a
}

func (a *Async) writeLoop(out io.Writer) {
	defer close(a.done)
	for line := range a.lines {
		if _, err := out.Write(line); err != nil {
			a.dropped.Add(1)
		}
	}
}

// Write takes one line.
func (a *Async) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case a.lines <- copied:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is how many lines were lost.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes what waits. Write must not be called any more.
func (a *Async) Close() {
	close(a.lines)
	<-a.done
}
