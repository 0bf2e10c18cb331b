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
	waitMost  = 100 * time.Millisecond
	// waitShort is spent instead while more than overloaded of the quick calls
	// are shed. Then the load is above what the slots bear: the queue absorbs no
	// burst any more, and waiting only delays every answer.
	waitShort  = 10 * time.Millisecond
	overloaded = 0.2
	// shedDecay is the weight that one more call leaves to the past ones.
	shedDecay = 0.98
	// waitPoll is how often the first in the queue looks for a slot that another
	// entry VM gave back, of which nothing is heard here.
	waitPoll = 5 * time.Millisecond
)

// queue holds the quick requests of one service that wait for a slot, first
// come first served. It is short: with about as many requests waiting as slots
// are in use, each waits about one run, and a longer queue would add delay to
// every answer and goodput to none.
type queue struct {
	mu      sync.Mutex
	waiters []*waiter
	shed    float64 // decaying share of quick calls that got no slot
}

type waiter struct{ wake chan struct{} }

// length returns the number of waiting requests.
func (q *queue) length() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.waiters)
}

// patience is how long a request that begins to wait now may do so.
func (q *queue) patience(left time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	most := waitMost
	if q.shed > overloaded {
		most = waitShort
	}
	return min(most, time.Duration(float64(left)*waitShare))
}

// ended notes whether a quick call got a slot.
func (q *queue) ended(shed bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.shed *= shedDecay
	if shed {
		q.shed += 1 - shedDecay
	}
}

// join adds a waiter, in front when it waited before; nil when most are waiting.
func (q *queue) join(front bool, most int) *waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) >= most {
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

// wake lets the first waiter try.
func (q *queue) wake() {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiters) > 0 {
		select {
		case q.waiters[0].wake <- struct{}{}:
		default:
		}
	}
}

// turn waits until it is w's turn to try, and takes it out of the queue. False
// means that the time is up.
func (q *queue) turn(ctx context.Context, w *waiter, until time.Time) bool {
	defer q.leave(w)
	poll := time.NewTicker(waitPoll)
	defer poll.Stop()
	for time.Now().Before(until) {
		select {
		case <-ctx.Done():
			return false
		case <-w.wake:
			return true
		case <-poll.C:
			if q.first(w) {
				return true
			}
		}
	}
	return false
}

func (q *queue) first(w *waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiters[0] == w
}

func (q *queue) leave(w *waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiters = slices.DeleteFunc(q.waiters, func(other *waiter) bool { return other == w })
}
