package steward

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Times of the executor.
const (
	// enqueueInterval is the pause between searches for VMs with a step due.
	enqueueInterval = 200 * time.Millisecond
	// maxBackoff bounds the pause before an unfinished step is tried again. The
	// pause doubles from enqueueInterval: without a backoff, a drain or reboot
	// that takes minutes would call the platform and every entry process five
	// times a second.
	maxBackoff = time.Second
	// pendingWorkTTL is how long undone work is remembered for a takeover.
	pendingWorkTTL = 10 * time.Minute
)

// executor carries out effective drains and joins, one step at a time. Its own
// state may be lost: any steward can continue from the folded phase, and the
// platform carries out an operation ID once.
type executor struct {
	*Steward
	queue chan string

	mu       sync.Mutex
	queued   map[string]bool
	backoffs map[string]backoff
}

// backoff is the pause before a VM's step is tried again.
type backoff struct {
	revision record.Revision // of the VM; the pause ends when it changes
	delay    time.Duration
	until    time.Time
}

func newExecutor(s *Steward) *executor {
	return &executor{
		Steward:  s,
		queue:    make(chan string, s.cfg.MaxActions),
		queued:   map[string]bool{},
		backoffs: map[string]backoff{},
	}
}

// serve enqueues due steps for a fixed number of workers.
func (e *executor) serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for range e.cfg.MaxActions {
		wg.Go(func() { e.runWorker(ctx) })
	}
	defer wg.Wait()
	return every(ctx, enqueueInterval, e.enqueueDue)
}

func (e *executor) runWorker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-e.queue:
			for e.step(ctx, id) && ctx.Err() == nil {
			}
			e.backOff(id, time.Now())
		}
	}
}

// enqueueDue enqueues the VMs whose step falls to this steward. VMs that do not
// fit into the queue are enqueued by a later call. A steward that was paused or
// cut off enqueues nothing until it has caught up, since its state may show
// steps as due that were finished long ago.
func (e *executor) enqueueDue(ctx context.Context) {
	if !e.MayDecide() {
		return
	}
	now := time.Now()
	var due []string
	e.cfg.Follower.View(func(st *ledger.State) {
		e.shares.updateNodes(st, e.cfg.Peers)
		for id, vm := range st.VMs {
			if maintenance.Next(vm) == maintenance.StepNone {
				continue
			}
			if !e.backingOff(vm, now) && e.shares.responsibleFor(id, fmt.Sprintf("act/%s/%d", id, vm.Revision), now) {
				due = append(due, id)
			}
		}
	})
	e.shares.dropBefore(now.Add(-pendingWorkTTL))
	e.dropExpiredBackoffs(now.Add(-pendingWorkTTL))
	for _, id := range due {
		if !e.tryEnqueue(id) {
			return
		}
	}
}

// backOff ends the work on a VM and delays its next step.
func (e *executor) backOff(id string, now time.Time) {
	vm, _ := e.vm(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.queued, id)
	r := e.backoffs[id]
	if r.revision != vm.Revision {
		r = backoff{revision: vm.Revision}
	}
	r.delay = min(max(2*r.delay, enqueueInterval), maxBackoff)
	r.until = now.Add(r.delay)
	e.backoffs[id] = r
}

// dropExpiredBackoffs drops the backoffs that ended before the given time.
func (e *executor) dropExpiredBackoffs(before time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.backoffs, func(_ string, r backoff) bool { return r.until.Before(before) })
}

// backingOff reports whether the VM's step must wait.
func (e *executor) backingOff(vm *ledger.VM, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.backoffs[vm.ID]
	return ok && r.revision == vm.Revision && now.Before(r.until)
}

func (e *executor) tryEnqueue(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.queued[id] {
		return true
	}
	select {
	case e.queue <- id:
		e.queued[id] = true
		return true
	default:
		return false
	}
}
