package owner

import "context"

// maxIdleGoroutines is how many goroutines without a call are kept: some 8 KB each.
const maxIdleGoroutines = 128

// executor runs calls beside the loop, each at once, on goroutines that it keeps.
// A goroutine made for each call has its stack grown anew each time, which took a
// twelfth of the processor time of an owner at its peak.
type executor struct {
	calls     chan func()
	idleSlots chan struct{} // an entry for each goroutine that waits for a call
}

func newExecutor() *executor {
	return &executor{calls: make(chan func()), idleSlots: make(chan struct{}, maxIdleGoroutines)}
}

// run runs a call. Their number is bounded by who orders them. Goroutines without a
// call end with ctx.
func (e *executor) run(ctx context.Context, call func()) {
	select {
	case e.calls <- call:
	default:
		go e.serve(ctx, call)
	}
}

// serve runs a call and then those that come.
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
