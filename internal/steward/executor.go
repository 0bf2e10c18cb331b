package steward

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
)

// Pauses of the executor.
const (
	// lookInterval is the pause between looks for VMs with a step due.
	lookInterval = 200 * time.Millisecond
	// rememberFor is for how long undone work is remembered for a takeover.
	rememberFor = 10 * time.Minute
)

// executor carries out the effective drains and joins, one step at a time. It
// holds no state of its own that matters: any steward can go on from the
// folded phase, and the platform carries out an operation ID once.
type executor struct {
	*Steward
	work chan string

	mu   sync.Mutex
	busy map[string]bool
}

func newExecutor(s *Steward) *executor {
	return &executor{Steward: s, work: make(chan string, s.cfg.MaxActions), busy: map[string]bool{}}
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
			e.mu.Lock()
			delete(e.busy, id)
			e.mu.Unlock()
		}
	}
}

// look hands out the VMs whose step falls to this steward. A full channel is
// met by the next look.
func (e *executor) look(ctx context.Context) {
	now := time.Now()
	var due []string
	e.cfg.Follower.View(func(st *ledger.State) {
		e.shares.follow(st, e.cfg.Peers)
		for id, vm := range st.VMs {
			if maintenance.Next(vm) == maintenance.StepNone {
				continue
			}
			if e.shares.mine(id, fmt.Sprintf("act/%s/%d", id, vm.Revision), now) {
				due = append(due, id)
			}
		}
	})
	e.shares.forget(now.Add(-rememberFor))
	for _, id := range due {
		if !e.offer(id) {
			return
		}
	}
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
