// Package hedge repeats idempotent writes to the platform's store whose answers
// are late. An answer that was lost never comes, and its call would hold up all
// that waits for it until the time-out; a second call after a short pause has the
// answer within milliseconds. As the writes are idempotent, several may arrive.
package hedge

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/platform"
)

// Delays of further calls, counted from the first.
const (
	// shortest is the first one where the store answers as a rule, within 10 ms.
	shortest = 90 * time.Millisecond
	// patience times what answers take is the first one where they take longer. A
	// store that is slow takes each call one after the other: calls that are only
	// slow must not be sent again, as that makes it slower still, until nothing
	// is answered in time.
	patience = 3
	// growth is how many times as late each further call is.
	growth = 2.5
	// maxCalls bounds the calls for one write.
	maxCalls = 4
	// forget is the share of what is known of the time that answers take that each
	// shorter one takes off; a longer one counts at once.
	forget = 0.1
)

// Hedger knows how long answers of the store take. It is safe for concurrent use.
type Hedger struct {
	mu      sync.Mutex
	typical time.Duration
}

// New returns a hedger that takes the store for quick.
func New() *Hedger { return &Hedger{} }

// first is when the second call is sent.
func (h *Hedger) first() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(shortest, patience*h.typical)
}

func (h *Hedger) answered(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if took > h.typical {
		h.typical = took
		return
	}
	h.typical -= time.Duration(forget * float64(h.typical-took))
}

// result is the outcome of one call.
type result struct {
	status platform.StoreStatus
	err    error
}

// Write calls until the outcome is known or all calls have ended. It returns
// StoreRefused only if none of the calls can have had or can have an effect.
func (h *Hedger) Write(ctx context.Context, call func(ctx context.Context) (platform.StoreStatus, error)) (platform.StoreStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, maxCalls)
	send := func() {
		go func() {
			began := time.Now()
			status, err := call(ctx)
			if status == platform.StoreOK {
				h.answered(time.Since(began))
			}
			results <- result{status, err}
		}()
	}
	send()
	sent, ended, unsure := 1, 0, false
	var last result
	delay := h.first()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for ended < sent {
		select {
		case last = <-results:
			ended++
			switch last.status {
			case platform.StoreRefused:
			case platform.StoreUnknown:
				unsure = true
			default:
				return last.status, last.err
			}
		case <-timer.C:
			if sent < maxCalls {
				send()
				sent++
				delay = time.Duration(growth * float64(delay))
				timer.Reset(delay)
			}
		case <-ctx.Done():
			return platform.StoreUnknown, ctx.Err()
		}
	}
	if unsure {
		return platform.StoreUnknown, last.err
	}
	return platform.StoreRefused, last.err
}
