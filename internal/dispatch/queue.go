package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Limits on the wait for a slot.
const (
	// A request waits for at most waitShare of the time to its deadline and at most
	// maxWait, so that a shed caller still has time to try another entry VM.
	waitShare = 0.25
	maxWait   = 100 * time.Millisecond
	// maxWaitOverloaded replaces maxWait while more than overloadedShedRate of the
	// quick calls are shed. The load then exceeds the slots for longer than a burst,
	// and waiting only delays every answer.
	maxWaitOverloaded  = 10 * time.Millisecond
	overloadedShedRate = 0.2
	// shedDecay is the weight of past calls in shedRate after one more call.
	shedDecay = 0.98
	// waitPollInterval is how often the first waiter tries to get a slot. Slots
	// freed by other entry VMs don't wake it.
	waitPollInterval = 5 * time.Millisecond
)

// queue is the FIFO queue of one service's quick requests that wait for a slot.
// It is short: with about as many waiters as slots in use, each waits for about
// one run. A longer queue would add latency and no throughput.
type queue struct {
	mu       sync.Mutex
	waiters  []*waiter
	shedRate float64 // decaying share of quick calls that got no slot, 0 to 1
}

type waiter struct{ wake chan struct{} }

// length returns the number of waiting requests.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// waitLimit returns how long a request may wait that has left until its deadline.
func (q *queue) waitLimit(left time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := maxWait
	if q.shedRate > overloadedShedRate {
		limit = maxWaitOverloaded
	}
	return min(limit, time.Duration(float64(left)*waitShare))
}

// recordResult records whether a quick call was shed.
func (q *queue) recordResult(shed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shedRate *= shedDecay
	if shed {
		q.shedRate += 1 - shedDecay
	}
}

// add adds a waiter, at the front if it waited before. It returns nil if
// maxWaiters are waiting already.
func (q *queue) add(front bool, maxWaiters int) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= maxWaiters {
		return nil
	}
	w := &waiter{wake: make(chan struct{}, 1)}
	if front {
		q.waiters = slices.Insert(q.waiters, 0, w)
	} else {
		q.waiters = append(q.waiters, w)
	}
	return w
}

// wakeFirst wakes the first waiter.
func (q *queue) wakeFirst() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) > 0 {
		select {
		case q.waiters[0].wake <- struct{}{}:
		default:
		}
	}
}

// awaitTurn waits until w may try to get a slot and removes w from the queue. It
// returns false if until passed or ctx ended first.
func (q *queue) awaitTurn(ctx context.Context, w *waiter, until time.Time) bool {
	defer q.remove(w)
	poll := time.NewTicker(waitPollInterval)
	defer poll.Stop()
	for time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return false
		case <-w.wake:
			return true
		case <-poll.C:
			if q.isFirst(w) {
				return true
			}
		}
	}
	return false
}

func (q *queue) isFirst(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters[0] == w
}

func (q *queue) remove(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters = slices.DeleteFunc(q.waiters, func(other *waiter) bool { return other == w })
}
