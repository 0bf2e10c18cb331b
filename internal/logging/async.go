package logging

import (
	"io"
	"sync/atomic"
)

// maxBufferedLines is how many lines are buffered for a slow reader of standard
// output.
const maxBufferedLines = 2048

// Async is a writer that never blocks. It drops and counts lines that the
// underlying writer is too slow for, so that a blocked log reader can't stall
// the process.
type Async struct {
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Int64
}

// NewAsync returns an Async that writes to out. Close must be called to stop it.
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

// Write buffers one line, or drops it if the buffer is full. It never returns an
// error.
func (a *Async) Write(line []byte) (int, error) {
	copied := append([]byte(nil), line...)
	select {
	case a.lines <- copied:
	default:
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped or could not be written.
func (a *Async) Dropped() int64 { return a.dropped.Load() }

// Close writes the buffered lines and waits for that. Write must not be called
// afterwards.
func (a *Async) Close() {
	close(a.lines)
	<-a.done
}
