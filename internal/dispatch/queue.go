package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Bounds of the wait for a slot.
const (
	// waitShare of the time left, and at most waitMost, is spent waiting: a shed
	// caller must have time to try elsewhere.
	waitShare = 0.25
	maxWait   = 100 * time.Millisecond
	// maxWaitOverloaded is spent instead while more than overloaded of the quick calls
	// are shed. Then the load is above what the slots bear: the queue absorbs no
	// burst any more, and waiting only delays every answer.
	maxWaitOverloaded  = 10 * time.Millisecond
	overloadedShedRate = 0.2
	// shedDecay is the weight that one more call leaves to the past ones.
	shedDecay = 0.98
	// waitPollInterval is how often the first in the queue looks for a slot that another
	// entry VM gave back, of which nothing is heard here.
	waitPollInterval = 5 * time.Millisecond
)

// queue holds the quick requests of one service that wait for a slot, first
// come first served. It is short: with about as many requests waiting as slots
// are in use, each waits about one run, and a longer queue would add delay to
// every answer and goodput to none.
type queue struct {
	mu       sync.Mutex
	waiters  []*waiter
	shedRate float64 // decaying share of quick calls that got no slot
}

type waiter struct{ wake chan struct{} }

// length returns the number of waiting requests.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// waitLimit is how long a request that begins to wait now may do so.
func (q *queue) waitLimit(left time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	limit := maxWait
	if q.shedRate > overloadedShedRate {
		limit = maxWaitOverloaded
	}
	return min(limit, time.Duration(float64(left)*waitShare))
}

// recordResult notes whether a quick call got a slot.
func (q *queue) recordResult(shed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shedRate *= shedDecay
	if shed {
		q.shedRate += 1 - shedDecay
	}
}

// add adds a waiter, in front when it waited before; nil when most are waiting.
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

// wakeFirst lets the first waiter try.
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

// awaitTurn waits until it is w's turn to try, and takes it out of the queue. False
// means that the time is up.
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
