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
	// maxBlind is how long a further call waits for a sign that the store answers
	// others: all answers of a store that has just become slow are late together, and
	// calls that are sent again then only make its queue longer. A slow store answers
	// within it as a rule.
	maxBlind = 700 * time.Millisecond
	// blindCheck is the pause between looks for that sign: small beside the 90 ms after
	// which a call is sent again.
	blindCheck = 20 * time.Millisecond
	// heardWithin is how lately the store must have answered any call for its silence
	// to be a sign: a node makes several calls a second.
	heardWithin = time.Second
	// slowAnswer is how long answers take where the store counts as slow: ten times
	// the 4 to 10 ms that they take as a rule.
	slowAnswer = 100 * time.Millisecond
)

// Hedger knows how long answers of the store take. It is safe for concurrent use.
type Hedger struct {
	mu      sync.Mutex
	typical time.Duration
	// heard is when the store last answered any call, latest when the latest call
	// was sent that it has answered.
	heard, latest time.Time
	// others is what answers to calls of all kinds take.
	others time.Duration
}

// New returns a hedger that takes the store for quick.
func New() *Hedger { return &Hedger{} }

// first is when the second call is sent.
func (h *Hedger) first() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(shortest, patience*h.typical)
}

// Heard notes that the store has answered a call that was sent at a time. waited tells
// that it was told to wait for something: how long it took says nothing then.
func (h *Hedger) Heard(sent time.Time, waited bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.heard = time.Now()
	if !waited {
		h.others = follow(h.others, h.heard.Sub(sent))
	}
	if sent.After(h.latest) {
		h.latest = sent
	}
}

// Slow tells whether the store takes long for answers at present. Nodes that write
// nothing know it by their other calls.
func (h *Hedger) Slow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.typical, h.others) > slowAnswer
}

// blind tells whether nothing speaks for a lost answer to a call that was sent at a
// time: no later call was answered either.
func (h *Hedger) blind(sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sent.Sub(h.heard) > heardWithin || time.Since(sent) > maxBlind {
		return false
	}
	return !h.latest.After(sent)
}

func (h *Hedger) answered(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.typical = follow(h.typical, took)
}

// follow takes one more answer into what answers take.
func follow(typical, took time.Duration) time.Duration {
	if took > typical {
		return took
	}
	return typical - time.Duration(forget*float64(typical-took))
}

// result is the outcome of one call.
type result struct {
	status platform.StoreStatus
	err    error
}

// timed makes one call and takes what its answer took.
func (h *Hedger) timed(ctx context.Context, began time.Time, call Call) result {
	status, err := call(ctx)
	if status == platform.StoreOK {
		h.answered(time.Since(began))
	}
	return result{status, err}
}

// Call is one call of a write.
type Call func(ctx context.Context) (platform.StoreStatus, error)

// Write calls until the outcome is known or all calls have ended. It returns
// StoreRefused only if none of the calls can have had or can have an effect.
func (h *Hedger) Write(ctx context.Context, call Call) (platform.StoreStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan result, maxCalls)
	var latest time.Time // when the latest call was sent
	send := func() {
		latest = time.Now()
		go func(began time.Time) { results <- h.timed(ctx, began, call) }(latest)
	}
	send()
	sent, ended := 1, 0
	var last result
	var unsure bool
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
			switch {
			case h.blind(latest):
				timer.Reset(blindCheck)
			case sent < maxCalls:
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
