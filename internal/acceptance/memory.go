package acceptance

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// maxAttempts bounds the attempts in each half of a Memory: 400 a second, twice what all callers of the
// largest deployment send at their peak, in some 1 MB.
const maxAttempts = 8192

// Outcome is the outcome of an attempt to store a request's record.
type Outcome int

// The outcomes.
const (
	// Refused: the record certainly is not and will not be stored.
	Refused Outcome = iota
	// Stored: the record is stored.
	Stored
	// Unknown: the record may be stored, or be stored later.
	Unknown
)

// attempts is what is known of the attempts of one request.
type attempts struct {
	inFlight int
	isOpen   bool // the outcome of an attempt is unknown
	isStored bool
	by       workload.Requester // of the stored record
}

// Memory remembers the attempts of the last AttemptMemory at least, and of twice that time at most. If
// there are too many it forgets earlier ones, and states a shorter time. It is not safe for concurrent
// use.
type Memory struct {
	recent, older map[Request]attempts
	rotatedAt     time.Time
	completeSince time.Time // attempts since then are remembered, unless they are older than AttemptMemory
}

// NewMemory returns an empty memory.
func NewMemory(now time.Time) *Memory {
	return &Memory{recent: map[Request]attempts{}, older: map[Request]attempts{}, rotatedAt: now, completeSince: now}
}

// Begin records that an attempt is in flight. End must follow.
func (m *Memory) Begin(r Request, now time.Time) {
	a := m.lookUp(r, now)
	a.inFlight++
	m.recent[r] = a
}

// End records the outcome of an attempt that was in flight. by has sent the record.
func (m *Memory) End(r Request, o Outcome, by workload.Requester, now time.Time) {
	a := m.lookUp(r, now)
	a.inFlight = max(0, a.inFlight-1)
	switch o {
	case Stored:
		a.isStored, a.by = true, by
	case Unknown:
		a.isOpen = true
	}
	m.recent[r] = a
	if a == (attempts{}) {
		delete(m.recent, r)
	}
}

// AddOpen records that another node has made an attempt whose outcome is unknown.
func (m *Memory) AddOpen(r Request, now time.Time) {
	a := m.lookUp(r, now)
	a.isOpen = true
	m.recent[r] = a
}

// IsOpen reports whether an attempt is in flight or has an unknown outcome.
func (m *Memory) IsOpen(r Request, now time.Time) bool {
	a := m.find(r, now)
	return a.inFlight > 0 || a.isOpen
}

// IsStored reports whether a record of the request by this requester is stored.
func (m *Memory) IsStored(r Request, by workload.Requester, now time.Time) bool {
	a := m.find(r, now)
	return a.isStored && a.by == by
}

// CompleteFor returns for how long all attempts were remembered, with the present ones.
func (m *Memory) CompleteFor(now time.Time) time.Duration { return now.Sub(m.completeSince) }

// find returns what is known of a request.
func (m *Memory) find(r Request, now time.Time) attempts {
	m.rotateIfDue(now)
	if a, ok := m.recent[r]; ok {
		return a
	}
	return m.older[r]
}

// lookUp returns what is known of a request and moves it to the recent ones.
func (m *Memory) lookUp(r Request, now time.Time) attempts {
	m.rotateIfDue(now)
	if len(m.recent) >= maxAttempts {
		m.completeSince = now
		m.rotate(now)
	}
	if a, ok := m.older[r]; ok {
		delete(m.older, r)
		m.recent[r] = a
	}
	return m.recent[r]
}

// rotateIfDue rotates every AttemptMemory. After a longer time without a call both halves are too old.
func (m *Memory) rotateIfDue(now time.Time) {
	if now.Sub(m.rotatedAt) >= 2*AttemptMemory {
		m.rotate(now)
		m.rotate(now)
	}
	if due := m.rotatedAt.Add(AttemptMemory); !now.Before(due) {
		m.rotate(due)
	}
}

// rotate forgets the older attempts but those in flight.
func (m *Memory) rotate(now time.Time) {
	forgotten := m.older
	m.older, m.recent, m.rotatedAt = m.recent, map[Request]attempts{}, now
	for r, a := range forgotten {
		if a.inFlight > 0 {
			m.recent[r] = a
		}
	}
}
