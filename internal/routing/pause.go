package routing

import (
	"sync"
	"time"
)

// Bounds of the check for a paused process.
const (
	// PauseBeat is how often Pause.Beat is to be called.
	PauseBeat = 100 * time.Millisecond
	// minPauseGap between beats means that the process did not run meanwhile.
	minPauseGap = time.Second
	// maxPauseHold is the longest time without new work after a pause when the log
	// cannot be read: in an outage the last accepted state must go on serving.
	maxPauseHold = 1500 * time.Millisecond
)

// Pause notices that the process was stopped for a while, as by SIGSTOP or a
// migration of its VM. Its table may then send work to a backend server that
// left meanwhile, so no new work is sent until the log was read again.
//
// The gap is looked for at each use, not only by the duty that beats: after a
// resume a request may run before that duty does. It is safe for concurrent use.
type Pause struct {
	mu        sync.Mutex
	lastBeat  time.Time
	resumedAt time.Time // when the resume was noticed; zero when not held
}

// NewPause returns a Pause that is not held.
func NewPause(now time.Time) *Pause { return &Pause{lastBeat: now} }

// Beat notes that the process runs.
func (p *Pause) Beat(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.detectResume(now)
	p.lastBeat = now
}

// Held reports whether new work must wait at now. fresh is when the latest read
// that reached the end of the log was sent.
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
