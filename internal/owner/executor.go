package owner

import "context"

// maxIdleGoroutines bounds the goroutines kept without a call, some 8 KB of memory each.
const maxIdleGoroutines = 128

// executor runs each call immediately on a goroutine of its own and reuses idle goroutines.
// A new goroutine for each call grows its stack anew each time, which took a twelfth of an
// owner's processor time at peak load.
type executor struct {
	calls     chan func()
	idleSlots chan struct{} // an entry for each goroutine that waits for a call
}

func newExecutor() *executor {
	return &executor{calls: make(chan func()), idleSlots: make(chan struct{}, maxIdleGoroutines)}
}

// run starts a call and returns without waiting for it. The caller bounds the number of
// calls. Idle goroutines end with ctx.
func (e *executor) run(ctx context.Context, call func()) {
	select {
	case e.calls <- call:
	default:
		go e.serve(ctx, call)
	}
}

// serve runs a call, and further calls as long as an idle slot is free.
func (e *executor) serve(ctx context.Context, call func()) {
	for {
		call()
		select {
		case e.idleSlots <- struct{}{}:
		default:
			return
		}
		select {
		case call = <-e.calls:
			<-e.idleSlots
		case <-ctx.Done():
			return
		}
	}
}
