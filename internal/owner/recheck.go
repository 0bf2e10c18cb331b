package owner

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	// recheckPause is the pause between two rechecks. All questions that arrive meanwhile share the
	// next read: a peak of refusals costs the store 50 reads a second at most for each partition.
	recheckPause = 20 * time.Millisecond
	// recheckTimeout bounds a recheck. No caller waits longer.
	recheckTimeout = 500 * time.Millisecond
)

// rechecks are reads of the partition from the tail's position on, which prove that a job is not
// stored. Each begins after all questions that it answers.
type rechecks struct {
	mu      sync.Mutex
	running bool
	next    *recheck // not sent yet, nil if nobody has asked
}

// recheck is one such read.
type recheck struct {
	done chan struct{} // closed once err is set
	err  error
}

// Stands reports whether the owner knows a job of the requester or, if cancels is set, that such a job
// is cancelled, whatever the state of its ownership: what was accepted once stays so. ok is false if the
// partition is not taken over yet or ctx ends.
func (o *Owner) Stands(ctx context.Context, id workload.JobID, cancels bool, by workload.Requester) (stands, ok bool) {
	return queryCore(ctx, o, func(c *scheduler.Core, _ time.Time) bool {
		state, known := c.JobState(id)
		return known && by.MayAccess(c.JobAccess(id)) && (!cancels || state == workload.Cancelled)
	})
}

// Recheck makes the owner know all records that were acknowledged before the call. It returns an
// error if it can't.
func (o *Owner) Recheck(ctx context.Context) error {
	r := o.joinRecheck()
	select {
	case <-r.done:
		return r.err
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "recheck the partition")
	}
}

// IsCurrent reports whether no other node can own the partition.
func (o *Owner) IsCurrent() bool { return !o.mayHaveBeenReplaced() }

// OwnedFor returns how long the owner has run, 0 before it has taken the partition over.
func (o *Owner) OwnedFor(now time.Time) time.Duration {
	select {
	case <-o.loaded:
		return now.Sub(o.loadedAt)
	default:
		return 0
	}
}

func (o *Owner) joinRecheck() *recheck {
	o.rechecks.mu.Lock()
	defer o.rechecks.mu.Unlock()
	if o.rechecks.next == nil {
		o.rechecks.next = &recheck{done: make(chan struct{})}
	}
	if !o.rechecks.running {
		o.rechecks.running = true
		go o.runRechecks()
	}
	return o.rechecks.next
}

// runRechecks runs rechecks until nobody asks for one.
func (o *Owner) runRechecks() {
	for {
		o.rechecks.mu.Lock()
		r := o.rechecks.next
		o.rechecks.next = nil
		o.rechecks.running = r != nil
		o.rechecks.mu.Unlock()
		if r == nil {
			return
		}
		r.err = o.recheckNow(context.Background())
		close(r.done)
		wait.Pause(context.Background(), recheckPause)
	}
}

// recheckNow reads from the tail's position to the end of the partition and applies what it finds. It fails
// at a later owner's record, as what lies behind it is not applied.
// The tail reads the same records again, which has no effect.
func (o *Owner) recheckNow(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, recheckTimeout)
	defer cancel()
	for from := o.tailPosition.Load(); ; {
		batch, status, err := o.log.Read(ctx, from, 0)
		if status != platform.StoreOK {
			return errors.Errorf("recheck the partition: %s: %v", status, err)
		}
		records := o.decode(batch)
		isOwner, ok := queryCore(ctx, o, func(c *scheduler.Core, now time.Time) bool {
			return applyRead(c, records, from, batch.Next, now)
		})
		switch {
		case !ok:
			return errors.New("recheck the partition: the owner doesn't apply what was read")
		case !isOwner:
			return errors.New("recheck the partition: a later owner has taken it over")
		}
		if batch.Next >= batch.End {
			return nil
		}
		from = batch.Next
	}
}
