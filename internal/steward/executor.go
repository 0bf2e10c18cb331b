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

// Pauses of the executor.
const (
	// lookInterval is the pause between looks for VMs with a step due.
	lookInterval = 200 * time.Millisecond
	// maxStepPause bounds the pause before a step that was not through is done
	// again. It doubles from lookInterval: a drain or reboot that takes minutes
	// would else ask the platform and every entry process five times a second.
	maxStepPause = time.Second
	// rememberFor is for how long undone work is remembered for a takeover.
	rememberFor = 10 * time.Minute
)

// executor carries out the effective drains and joins, one step at a time. It
// holds no state of its own that matters: any steward can go on from the
// folded phase, and the platform carries out an operation ID once.
type executor struct {
	*Steward
	work chan string

	mu    sync.Mutex
	busy  map[string]bool
	rests map[string]rest
}

// rest is the pause before a VM's step is tried again.
type rest struct {
	revision record.Revision // of the VM; the pause ends when it changes
	pause    time.Duration
	until    time.Time
}

func newExecutor(s *Steward) *executor {
	return &executor{
		Steward: s,
		work:    make(chan string, s.cfg.MaxActions),
		busy:    map[string]bool{},
		rests:   map[string]rest{},
	}
}

// serve looks for due steps and hands them to a fixed number of workers over a
// bounded channel.
func (e *executor) serve(ctx context.Context) error {
	var wg sync.WaitGroup
	for range e.cfg.MaxActions {
		wg.Go(func() { e.worker(ctx) })
	}
	defer wg.Wait()
	return every(ctx, lookInterval, e.look)
}

func (e *executor) worker(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case id := <-e.work:
			for e.step(ctx, id) && ctx.Err() == nil {
			}
			e.finish(id, time.Now())
		}
	}
}

// look hands out the VMs whose step falls to this steward. A full channel is
// met by the next look. A steward that was paused or cut off acts only once it
// has caught up: what it holds for the next step may be long done.
func (e *executor) look(ctx context.Context) {
	if !e.MayDecide() {
		return
	}
	now := time.Now()
	var due []string
	e.cfg.Follower.View(func(st *ledger.State) {
		e.shares.follow(st, e.cfg.Peers)
		for id, vm := range st.VMs {
			if maintenance.Next(vm) == maintenance.StepNone {
				continue
			}
			if !e.resting(vm, now) && e.shares.mine(id, fmt.Sprintf("act/%s/%d", id, vm.Revision), now) {
				due = append(due, id)
			}
		}
	})
	e.shares.forget(now.Add(-rememberFor))
	e.forget(now.Add(-rememberFor))
	for _, id := range due {
		if !e.offer(id) {
			return
		}
	}
}

// finish ends the work on a VM and lets it rest.
func (e *executor) finish(id string, now time.Time) {
	vm, _ := e.vm(id)
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.busy, id)
	r := e.rests[id]
	if r.revision != vm.Revision {
		r = rest{revision: vm.Revision}
	}
	r.pause = min(max(2*r.pause, lookInterval), maxStepPause)
	r.until = now.Add(r.pause)
	e.rests[id] = r
}

// forget drops the rests that ended before the time.
func (e *executor) forget(before time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	maps.DeleteFunc(e.rests, func(_ string, r rest) bool { return r.until.Before(before) })
}

// resting reports whether the VM's step is to be left for now.
func (e *executor) resting(vm *ledger.VM, now time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, ok := e.rests[vm.ID]
	return ok && r.revision == vm.Revision && now.Before(r.until)
}

func (e *executor) offer(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.busy[id] {
		return true
	}
	select {
	case e.work <- id:
		e.busy[id] = true
		return true
	default:
		return false
	}
}
