package entrypeer

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/claim"
)

// maxWaiters bounds the attempts that wait at one owner for others to end.
const maxWaiters = 1024

// started is the origin of the monotonic clock of this process.
var started = time.Now()

// now reads both clocks.
func now() claim.Instant {
	t := time.Now()
	return claim.Instant{Wall: t.Round(0), Mono: t.Sub(started)}
}

// Desk guards this member's claim.Owner and wakes attempts that wait at it.
type Desk struct {
	mu      sync.Mutex
	owner   *claim.Owner
	waiting map[claim.Key][]chan struct{}
	waiters int
}

// NewDesk returns a Desk around owner, which must not be used elsewhere.
func NewDesk(owner *claim.Owner) *Desk {
	return &Desk{owner: owner, waiting: map[claim.Key][]chan struct{}{}}
}

// Claim asks the owner for a decision. See claim.Owner.Claim.
func (d *Desk) Claim(req claim.Request, attempt claim.Attempt, until time.Time) claim.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	// The clock is read with the request in hand: see claim.Owner.
	return d.owner.Claim(now(), req, attempt, until)
}

// Report passes the end of an attempt on and wakes the attempts that wait.
func (d *Desk) Report(res claim.Result) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.owner.Report(now(), res) {
		return false
	}
	d.wake(res.Key)
	return true
}

// Update calls fn with the owner and wakes all waiting attempts, since keys may
// have changed hands.
func (d *Desk) Update(fn func(now claim.Instant, o *claim.Owner)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fn(now(), d.owner)
	for k := range d.waiting {
		d.wake(k)
	}
}

// Look calls fn with the owner, which fn must not change.
func (d *Desk) Look(fn func(o *claim.Owner)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fn(d.owner)
}

func (d *Desk) wake(k claim.Key) {
	for _, ch := range d.waiting[k] {
		close(ch)
	}
	d.waiters -= len(d.waiting[k])
	delete(d.waiting, k)
}

// Await returns when something about the key may have changed, or at ctx's end.
// It returns false at once when too many attempts wait already.
func (d *Desk) Await(ctx context.Context, k claim.Key, attempt claim.Attempt) bool {
	ch, ok := d.enqueue(k, attempt)
	if !ok {
		return false
	}
	if ch == nil {
		return true
	}
	select {
	case <-ch:
	case <-ctx.Done():
		d.dequeue(k, ch)
	}
	return true
}

// enqueue returns nil when the key is not in progress any more.
func (d *Desk) enqueue(k claim.Key, attempt claim.Attempt) (chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.owner.InProgress(now(), k, attempt) {
		return nil, true
	}
	if d.waiters >= maxWaiters {
		return nil, false
	}
	ch := make(chan struct{})
	d.waiting[k] = append(d.waiting[k], ch)
	d.waiters++
	return ch, true
}

func (d *Desk) dequeue(k claim.Key, ch chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, x := range d.waiting[k] {
		if x != ch {
			continue
		}
		d.waiting[k] = append(d.waiting[k][:i], d.waiting[k][i+1:]...)
		d.waiters--
	}
	if len(d.waiting[k]) == 0 {
		delete(d.waiting, k)
	}
}
