package membudget

import (
	"sync"
	"time"

	"github.com/pkg/errors"
)

// admissionLag is how long it may take until the memory of an admitted item is measured.
const admissionLag = time.Second

// Items of more than a 64th of the limit leave an eighth of it to smaller ones.
const (
	largeItemShare = 64
	smallItemShare = 8
)

// ErrNoRoom is returned for an item that was not admitted.
var ErrNoRoom = errors.New("no memory for another job")

// State bounds what a process keeps for clients after their requests were answered. It is safe for concurrent use.
type State struct {
	limit int

	mu       sync.Mutex
	admitted []admission // of the last admissionLag
	pending  int         // their bytes
}

type admission struct {
	at    time.Time
	bytes int
}

// NewState returns the bound of a number of bytes.
func NewState(limit int) *State { return &State{limit: limit} }

// Admit reports whether an item may be added to the measured bytes that the process keeps.
func (s *State) Admit(bytes, measured int, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.admitted) > 0 && now.Sub(s.admitted[0].at) > admissionLag {
		s.pending -= s.admitted[0].bytes
		s.admitted = s.admitted[1:]
	}
	limit := s.limit
	if bytes > s.limit/largeItemShare {
		limit -= s.limit / smallItemShare
	}
	if measured+s.pending+bytes > limit {
		return false
	}
	s.admitted = append(s.admitted, admission{now, bytes})
	s.pending += bytes
	return true
}
