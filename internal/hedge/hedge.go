// Package hedge repeats idempotent writes to the platform's store whose answers are late. If
// an answer is lost, everything that waits for the call is blocked until its timeout; a
// second call after a short delay is answered within milliseconds if the store is fast.
// While the store is slow, repeated calls would lengthen its queue, so they are deferred. The
// writes are idempotent, so several calls may arrive.
package hedge

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/platform"
)

// Delays and limits of hedged calls.
const (
	// minHedgeDelay is the shortest delay of the second call. The store usually answers a
	// call of this node in 4 to 10 ms.
	minHedgeDelay = 90 * time.Millisecond
	// hedgeDelayFactor: the delay of the second call is hedgeDelayFactor times the write
	// latency, at least minHedgeDelay. A slow store processes calls one at a time: repeating
	// calls that are only slow makes it slower still, until no call is answered in time.
	hedgeDelayFactor = 3
	// hedgeDelayGrowth is the factor between the delays of successive calls.
	hedgeDelayGrowth = 2.5
	// MaxCalls bounds the calls for one write.
	MaxCalls = 4
	// latencyDecay is the share of the difference by which a shorter latency lowers the
	// estimate. A longer latency replaces the estimate.
	latencyDecay = 0.1
	// maxHedgeDeferral is the time after the latest call of a write beyond which a further
	// call is no longer deferred. Before, it is deferred unless the store has answered any
	// call of this node that was sent after that one. When the store has just become slow, all
	// answers are late together and repeated calls only lengthen its queue. A slow store
	// usually answers within this time.
	maxHedgeDeferral = 700 * time.Millisecond
	// deferralCheckInterval is the interval of checks whether the deferral has ended: short
	// compared with minHedgeDelay.
	deferralCheckInterval = 20 * time.Millisecond
	// recentAnswerWindow limits deferral: a further call is deferred only if the store had
	// answered some call within this time before the latest call was sent. Otherwise its
	// silence says nothing about its latency. A node makes several calls a second.
	recentAnswerWindow = time.Second
	// minSilence is the time without any answer of the store after which calls that were sent before
	// the next answer count as lost: much longer than between two answers to a node that is in touch.
	minSilence = time.Second
	// slowLatency is the latency above which the store counts as slow: ten times the longest
	// of the usual 4 to 10 ms.
	slowLatency = 100 * time.Millisecond
)

// Hedger hedges writes and estimates the latency of the store. It is safe for concurrent use.
type Hedger struct {
	mu           sync.Mutex
	writeLatency time.Duration
	// lastAnswerAt is when the store last answered a call, lastAnsweredSentAt when the latest
	// answered call was sent.
	lastAnswerAt, lastAnsweredSentAt time.Time
	// silenceEndedAt is when the store answered again after the latest silence of minSilence.
	silenceEndedAt time.Time
	// callLatency is the latency of calls of all kinds except long polls.
	callLatency time.Duration
}

// New returns a hedger that assumes a fast store.
func New() *Hedger { return &Hedger{} }

// firstHedgeDelay returns the delay of the second call after the first.
func (h *Hedger) firstHedgeDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(minHedgeDelay, hedgeDelayFactor*h.writeLatency)
}

// RecordAnswer records that the store has answered a call that was sent at sentAt. The
// latency of a long poll is ignored, since the store was asked to wait.
func (h *Hedger) RecordAnswer(sentAt time.Time, wasLongPoll bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if !h.lastAnswerAt.IsZero() && now.Sub(h.lastAnswerAt) > minSilence {
		h.silenceEndedAt = now
	}
	h.lastAnswerAt = now
	if !wasLongPoll {
		h.callLatency = updateLatency(h.callLatency, h.lastAnswerAt.Sub(sentAt))
	}
	if sentAt.After(h.lastAnsweredSentAt) {
		h.lastAnsweredSentAt = sentAt
	}
}

// IsPresumedLost reports whether a call that was sent at sentAt and has no answer is probably lost: the
// store was silent after it, and has answered another call since.
func (h *Hedger) IsPresumedLost(sentAt time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sentAt.Before(h.silenceEndedAt)
}

// IsSlow reports whether the store is slow to answer. Other calls than writes count as well,
// so nodes that write nothing can detect it.
func (h *Hedger) IsSlow() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.writeLatency, h.callLatency) > slowLatency
}

// isHedgeDeferred reports whether a further call should wait: no call sent after sentAt was
// answered, so the store is probably slow and the answer is not lost. It returns false after
// maxHedgeDeferral, and if the store had answered nothing for recentAnswerWindow before
// sentAt.
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

// updateLatency returns the latency estimate after one more answer.
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

// timedCall makes one call and records its latency if it succeeds.
func (h *Hedger) timedCall(ctx context.Context, sentAt time.Time, call Call) callResult {
	status, err := call(ctx)
	if status == platform.StoreOK {
		h.recordWriteLatency(time.Since(sentAt))
	}
	return callResult{status, err}
}

// Call is one call of a write.
type Call func(ctx context.Context) (platform.StoreStatus, error)

// combinedStatus returns the status of a write whose calls have all ended without success.
func combinedStatus(mayHaveEffect, isInvalid bool) platform.StoreStatus {
	switch {
	case mayHaveEffect:
		return platform.StoreUnknown
	case isInvalid:
		return platform.StoreInvalid
	default:
		return platform.StoreRefused
	}
}

// Write repeats call, up to MaxCalls calls in all, until the outcome is known or all calls
// have ended. It returns StoreRefused or StoreInvalid only if no call had or can still have an effect.
func (h *Hedger) Write(ctx context.Context, call Call) (platform.StoreStatus, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan callResult, MaxCalls)
	var latestSentAt time.Time // of the latest call
	send := func() {
		latestSentAt = time.Now()
		go func(began time.Time) { results <- h.timedCall(ctx, began, call) }(latestSentAt)
	}
	send()
	sent, finished := 1, 0
	var last callResult
	var mayHaveEffect, isInvalid bool
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
			case platform.StoreInvalid:
				isInvalid = true // another call may have an effect all the same
			default:
				return last.status, last.err
			}
		case <-timer.C:
			switch {
			case h.isHedgeDeferred(latestSentAt):
				timer.Reset(deferralCheckInterval)
			case sent < MaxCalls:
				send()
				sent++
				delay = time.Duration(hedgeDelayGrowth * float64(delay))
				timer.Reset(delay)
			}
		case <-ctx.Done():
			return platform.StoreUnknown, ctx.Err()
		}
	}
	return combinedStatus(mayHaveEffect, isInvalid), last.err
}
