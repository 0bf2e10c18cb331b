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
	// minHedgeDelay is the first one where the store answers as a rule, within 10 ms.
	minHedgeDelay = 90 * time.Millisecond
	// hedgeDelayFactor times what answers take is the first one where they take longer. A
	// store that is slow takes each call one after the other: calls that are only
	// slow must not be sent again, as that makes it slower still, until nothing
	// is answered in time.
	hedgeDelayFactor = 3
	// hedgeDelayGrowth is how many times as late each further call is.
	hedgeDelayGrowth = 2.5
	// maxCalls bounds the calls for one write.
	maxCalls = 4
	// latencyDecay is the share of what is known of the time that answers take that each
	// shorter one takes off; a longer one counts at once.
	latencyDecay = 0.1
	// maxHedgeDeferral is how long a further call waits for a sign that the store answers
	// others: all answers of a store that has just become slow are late together, and
	// calls that are sent again then only make its queue longer. A slow store answers
	// within it as a rule.
	maxHedgeDeferral = 700 * time.Millisecond
	// deferralCheckInterval is the pause between looks for that sign: small beside the 90 ms after
	// which a call is sent again.
	deferralCheckInterval = 20 * time.Millisecond
	// recentAnswerWindow is how lately the store must have answered any call for its silence
	// to be a sign: a node makes several calls a second.
	recentAnswerWindow = time.Second
	// slowLatency is how long answers take where the store counts as slow: ten times
	// the 4 to 10 ms that they take as a rule.
	slowLatency = 100 * time.Millisecond
)

// Hedger knows how long answers of the store take. It is safe for concurrent use.
type Hedger struct {
	mu           sync.Mutex
	writeLatency time.Duration
	// lastAnswerAt is when the store last answered any call, latest when the latest call
	// was sent that it has answered.
	lastAnswerAt, lastAnsweredSentAt time.Time
	// callLatency is what answers to calls of all kinds take.
	callLatency time.Duration
}

// New returns a hedger that takes the store for quick.
func New() *Hedger { return &Hedger{} }

// firstHedgeDelay is when the second call is sent.
func (h *Hedger) firstHedgeDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(minHedgeDelay, hedgeDelayFactor*h.writeLatency)
}

// RecordAnswer notes that the store has answered a call that was sent at a time. waited tells
// that it was told to wait for something: how long it took says nothing then.
func (h *Hedger) RecordAnswer(sentAt time.Time, wasLongPoll bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lastAnswerAt = time.Now()
	if !wasLongPoll {
		h.callLatency = updateLatency(h.callLatency, h.lastAnswerAt.Sub(sentAt))
	}
	if sentAt.After(h.lastAnsweredSentAt) {
		h.lastAnsweredSentAt = sentAt
	}
}

// IsSlow tells whether the store takes long for answers at present. Nodes that write
// nothing know it by their other calls.
func (h *Hedger) IsSlow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.writeLatency, h.callLatency) > slowLatency
}

// isHedgeDeferred tells whether nothing speaks for a lost answer to a call that was sent at a
// time: no later call was answered either.
func (h *Hedger) isHedgeDeferred(sentAt time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sentAt.Sub(h.lastAnswerAt) > recentAnswerWindow || time.Since(sentAt) > maxHedgeDeferral {
		return false
	}
	return !h.lastAnsweredSentAt.After(sentAt)
}

func (h *Hedger) recordWriteLatency(took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.writeLatency = updateLatency(h.writeLatency, took)
}

// updateLatency takes one more answer into what answers take.
func updateLatency(latency, took time.Duration) time.Duration {
	if took > latency {
		return took
	}
	return latency - time.Duration(latencyDecay*float64(latency-took))
}

// callResult is the outcome of one call.
type callResult struct {
	status platform.StoreStatus
	err    error
}

// timedCall makes one call and takes what its answer took.
func (h *Hedger) timedCall(ctx context.Context, sentAt time.Time, call Call) callResult {
	status, err := call(ctx)
	if status == platform.StoreOK {
		h.recordWriteLatency(time.Since(sentAt))
	}
	return callResult{status, err}
}

// Call is one call of a write.
type Call func(ctx context.Context) (platform.StoreStatus, error)

// Write calls until the outcome is known or all calls have ended. It returns
// StoreRefused only if none of the calls can have had or can have an effect.
func (h *Hedger) Write(ctx context.Context, call Call) (platform.StoreStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, maxCalls)
	var latestSentAt time.Time // when the latest call was sent
	send := func() {
		latestSentAt = time.Now()
		go func(began time.Time) { results <- h.timedCall(ctx, began, call) }(latestSentAt)
	}
	send()
	sent, finished := 1, 0
	var last callResult
	var mayHaveEffect bool
	delay := h.firstHedgeDelay()
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for finished < sent {
		select {
		case last = <-results:
			finished++
			switch last.status {
			case platform.StoreRefused:
			case platform.StoreUnknown:
				mayHaveEffect = true
			default:
				return last.status, last.err
			}
		case <-timer.C:
			switch {
			case h.isHedgeDeferred(latestSentAt):
				timer.Reset(deferralCheckInterval)
			case sent < maxCalls:
				send()
				sent++
				delay = time.Duration(hedgeDelayGrowth * float64(delay))
				timer.Reset(delay)
			}
		case <-ctx.Done():
			return platform.StoreUnknown, ctx.Err()
		}
	}
	if mayHaveEffect {
		return platform.StoreUnknown, last.err
	}
	return platform.StoreRefused, last.err
}
