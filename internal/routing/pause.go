package routing

import (
	"sync"
	"time"
)

// Limits of the pause detection.
const (
	// PauseBeat is the interval at which Pause.Beat must be called.
	PauseBeat = 100 * time.Millisecond
	// minPauseGap without a beat means that the process was paused.
	minPauseGap = time.Second
	// maxPauseHold is the longest time that new attempts are held after a pause if the
	// log can't be read: during an outage of the log the last known state must serve.
	maxPauseHold = 1500 * time.Millisecond
)

// Pause detects that the process was paused for a while, for example by SIGSTOP or a
// live migration of its VM. Its table may then list a backend server that has left
// since, so new attempts are held until the log was read again.
//
// Each method checks for the gap, not only Beat: after a resume, a request may run
// before the goroutine that calls Beat. Pause is safe for concurrent use.
type Pause struct {
	mu        sync.Mutex
	lastBeat  time.Time
	resumedAt time.Time // when the resume was detected; zero if not held
}

// NewPause returns a Pause that holds nothing.
func NewPause(now time.Time) *Pause { return &Pause{lastBeat: now} }

// Beat records that the process is running.
func (p *Pause) Beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectResume(now)
	p.lastBeat = now
}

// Held reports whether new attempts must wait at now. fresh is when the latest log
// read that reached the end of the log was sent.
func (p *Pause) Held(now, fresh time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectResume(now)
	if p.resumedAt.IsZero() {
		return false
	}
	if fresh.After(p.resumedAt) || now.Sub(p.resumedAt) > maxPauseHold {
		p.resumedAt = time.Time{}
		return false
	}
	return true
}

func (p *Pause) detectResume(now time.Time) {
	if now.Sub(p.lastBeat) > minPauseGap {
		p.resumedAt = now
		p.lastBeat = now
	}
}
