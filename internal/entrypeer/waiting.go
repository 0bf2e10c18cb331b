package entrypeer

import (
	"context"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/claim"
)

// maxWaiters is the maximum number of attempts that wait at one owner for other
// attempts to end.
const maxWaiters = 1024

// waiters holds the attempts that wait for the record of a key to change. The
// mutex of the Member guards it.
type waiters struct {
	keys  map[claim.Key][]chan struct{}
	count int
}

func newWaiters() waiters { return waiters{keys: map[claim.Key][]chan struct{}{}} }

func (w *waiters) add(k claim.Key) chan struct{} {
	ch := make(chan struct{})
	w.keys[k] = append(w.keys[k], ch)
	w.count++
	return ch
}

func (w *waiters) remove(k claim.Key, ch chan struct{}) {
	before := len(w.keys[k])
	w.keys[k] = slices.DeleteFunc(w.keys[k], func(x chan struct{}) bool { return x == ch })
	w.count -= before - len(w.keys[k])
	if len(w.keys[k]) == 0 {
		delete(w.keys, k)
	}
}

func (w *waiters) wake(k claim.Key) {
	for _, ch := range w.keys[k] {
		close(ch)
	}
	w.count -= len(w.keys[k])
	delete(w.keys, k)
}

func (w *waiters) wakeAll() {
	for k := range w.keys {
		w.wake(k)
	}
}

// claim lets the owner decide. It reads the clock only now, so that a request
// which waited while the process was paused is judged by the time after the
// pause.
func (m *Member) claim(req claim.Request, attempt claim.Attempt, until time.Time) claim.Reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owner.Claim(Now(), req, attempt, until)
}

// report records the end of an attempt and wakes the attempts that wait for it.
// It returns false if another member owns the key.
func (m *Member) report(res claim.Result) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.owner.Report(Now(), res) {
		return false
	}
	m.waiters.wake(res.Key)
	return true
}

// await returns when the record of the key may have changed, or at the end of
// ctx. It returns false at once if too many attempts wait already.
func (m *Member) await(ctx context.Context, k claim.Key, attempt claim.Attempt) bool {
	ch, ok := m.enqueue(k, attempt)
	if ch == nil {
		return ok
	}
	select {
	case <-ch:
	case <-ctx.Done():
		m.mu.Lock()
		defer m.mu.Unlock()
		m.waiters.remove(k, ch)
	}
	return true
}

// enqueue adds a waiter. It returns a nil channel with true if the key is no
// longer in progress, and with false if too many attempts wait.
func (m *Member) enqueue(k claim.Key, attempt claim.Attempt) (chan struct{}, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.owner.InProgress(Now(), k, attempt) {
		return nil, true
	}
	if m.waiters.count >= maxWaiters {
		return nil, false
	}
	return m.waiters.add(k), true
}
