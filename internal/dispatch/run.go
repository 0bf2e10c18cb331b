package dispatch

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// callState is the state of the tries of one call.
type callState struct {
	d      *Dispatcher
	call   *Call
	svc    *service
	cancel context.CancelFunc

	tried     []string // VMs not to be tried again
	tries     int
	refusals  int  // tries that a backend server refused
	queued    bool // whether the call must queue for a slot, until waitUntil at most
	waitUntil time.Time
	lease     routing.Lease // lease of the last try
	last      backend.Answer
	answer    backend.Answer  // answer of the latest try that ran; Status is 0 if none
	refusal   routing.Refusal // why no further try was made
	maybeRan  bool            // whether a try ended with outcome Unknown
}

// tryNext makes one try and reports whether another try should follow.
func (r *callState) tryNext(ctx context.Context) bool {
	if !r.d.awaitCurrentTable(ctx) {
		r.refusal = refusalStaleTable
		return false
	}
	lease, refusal := r.acquire(ctx)
	if refusal != routing.Admitted {
		r.refusal = refusal
		return false
	}
	r.lease = lease
	r.tries++
	r.tried = append(r.tried, lease.VM)
	began := time.Now()
	r.last = r.send(ctx, began)
	if r.last.Rest == nil {
		r.releaseLease(attemptEvidence(&r.last, r.call, time.Since(began)))
	}
	switch r.last.Outcome {
	case outcome.Ran:
		r.answer = r.last
	case outcome.Unknown:
		r.maybeRan = true
	}
	return r.mayRetry(ctx)
}

// acquire picks a backend server. A quick call queues for a short time if all
// slots are in use or other calls are waiting.
func (r *callState) acquire(ctx context.Context) (routing.Lease, routing.Refusal) {
	if !r.isQuick() {
		return r.pick()
	}
	if !r.queued && r.svc.queue.length() == 0 {
		lease, refusal := r.pick()
		if refusal != routing.Busy {
			return lease, refusal
		}
	}
	return r.acquireQueued(ctx)
}

func (r *callState) acquireQueued(ctx context.Context) (routing.Lease, routing.Refusal) {
	if r.waitUntil.IsZero() {
		now := time.Now()
		r.waitUntil = now.Add(r.svc.queue.waitLimit(r.call.Deadline.Sub(now)))
	}
	for {
		w := r.svc.queue.add(r.queued, (r.svc.pool.Share()+1)/2)
		if w == nil {
			return routing.Lease{}, routing.Busy
		}
		r.queued = true
		if !r.svc.queue.awaitTurn(ctx, w, r.waitUntil) {
			return routing.Lease{}, routing.Busy
		}
		r.clearTriedAfterRefusal()
		if lease, refusal := r.pick(); refusal != routing.Busy {
			return lease, refusal
		}
	}
}

func (r *callState) isQuick() bool { return r.call.Route.Class == document.ClassQuick }

func (r *callState) pick() (routing.Lease, routing.Refusal) {
	return r.svc.pool.Pick(time.Now(), r.d.cfg.Rand, routing.Query{Class: r.call.Route.Class, Tried: r.tried})
}

// clearTriedAfterRefusal allows backend servers to be picked again if the last try
// was refused because no slot was free.
func (r *callState) clearTriedAfterRefusal() {
	if r.last.Failure == backend.FailureRefused && !r.maybeRan {
		r.tried = r.tried[:0]
	}
}

// releaseLease ends the lease of the last try and wakes the first waiter for the
// slot, unless the backend server refused because it is full.
func (r *callState) releaseLease(ev routing.Evidence) {
	r.svc.pool.Done(time.Now(), r.lease, ev)
	if ev != routing.EvidenceFull {
		r.svc.queue.wakeFirst()
	}
}

// send makes the try. The first try of a repeatable call, refused ones aside, gets
// at most half of the time left, so that a hung backend server leaves time for a
// try at another one.
func (r *callState) send(ctx context.Context, now time.Time) backend.Answer {
	left := r.call.Deadline.Sub(now)
	if r.call.Route.Repeatable && r.tries-r.refusals == 1 {
		tryCtx, cancelTry := context.WithCancel(ctx)
		slow := time.AfterFunc(left/2, cancelTry)
		defer slow.Stop()
		ctx = tryCtx
	}
	return r.d.cfg.Backends.Do(ctx, &backend.Request{
		Method:      r.call.Method,
		URL:         r.call.URL,
		Host:        r.call.Host,
		Header:      r.header(left),
		Body:        r.call.Body,
		Address:     r.lease.Address,
		BeforeWrite: r.d.beforeWrite,
	})
}

// header returns the call's header with the remaining time. Later tries get a
// copy, since the goroutine that writes an earlier try may still read the header.
func (r *callState) header(left time.Duration) backend.Header {
	h := r.call.Header
	if r.tries > 1 {
		h = maps.Clone(h)
	}
	h[outcome.HeaderDeadline] = []string{strconv.FormatInt(max(1, left.Milliseconds()), 10)}
	return h
}

func (r *callState) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || !r.retryIsSafe() {
		return false
	}
	if r.last.Failure == backend.FailureRefused {
		return r.mayRetryRefused()
	}
	if r.tries-r.refusals >= maxTries || !r.svc.retries.Spend() {
		return false
	}
	r.d.cfg.Observer.Retried(r.call.Service, r.last.Failure)
	return true
}

// mayRetryRefused reports whether to try again after a backend server had no
// slot. The first tries go to other backend servers at once, within a budget.
// After that a quick call queues, and the queue limits the rate of its tries.
func (r *callState) mayRetryRefused() bool {
	r.refusals++
	if r.refusals <= immediateRefusalTries && !r.queued && r.svc.refusals.Spend() {
		return true
	}
	if !r.isQuick() || r.refusals >= maxRefusals {
		return false
	}
	r.queued = true
	return r.waitUntil.IsZero() || time.Now().Before(r.waitUntil)
}

// retryIsSafe reports whether a further try can't run a not-repeatable call twice
// and may get a better result.
func (r *callState) retryIsSafe() bool {
	if r.last.Outcome == outcome.NotRun {
		return true
	}
	if !r.call.Route.Repeatable {
		return false
	}
	if r.last.Outcome == outcome.Unknown {
		return r.last.Failure != backend.FailureUnframed
	}
	return r.last.ServerError() && r.last.Rest == nil
}

// result returns the result of all tries. Once a try may have run, the call is
// never reported as not run, even if later tries did not run.
func (r *callState) result() Result {
	r.recordDemand()
	res := Result{Tries: r.tries, Close: func(bool) { r.cancel() }}
	if r.answer.Status != 0 {
		res.Answer = r.answer
		res.Outcome = outcome.Ran
		if r.answer.Rest != nil {
			res.Close = r.closeStream
		}
		return res
	}
	res.Outcome = outcome.NotRun
	res.Reason = outcome.Reason(r.last.Failure)
	if r.maybeRan {
		res.Outcome = outcome.Unknown
		return res
	}
	if r.refusal != routing.Admitted {
		res.Reason = outcome.Reason(r.refusal)
		r.d.cfg.Observer.Shed(r.call.Service, r.call.Route.Class, r.refusal)
	}
	res.RetryAfter = r.retryAfter()
	return res
}

func (r *callState) retryAfter() time.Duration {
	least := shedRetryAfterLong
	if r.isQuick() {
		least = shedRetryAfter
	}
	return least + time.Duration(r.d.cfg.Rand.IntN(retryAfterJitterSeconds))*time.Second
}

// recordDemand records in the queue, and in the pool if the call was shed, whether
// a quick call got a slot.
func (r *callState) recordDemand() {
	if !r.isQuick() {
		return
	}
	shed := r.answer.Status == 0 && (r.refusal == routing.Busy || r.last.Failure == backend.FailureRefused)
	r.svc.queue.recordResult(shed)
	if shed {
		r.svc.pool.RecordShed(time.Now())
	}
}

func (r *callState) closeStream(whole bool) {
	_ = r.answer.Rest.Close()
	r.cancel()
	ev := routing.EvidenceNone
	if whole {
		ev = answerEvidence(&r.answer)
	}
	r.releaseLease(ev)
}

// attemptEvidence returns the evidence of a try about its backend server. A
// timeout because of a caller's short deadline is no evidence against a backend
// server that is within its route's deadline.
func attemptEvidence(ans *backend.Answer, call *Call, took time.Duration) routing.Evidence {
	switch ans.Failure {
	case backend.FailureRefused:
		return routing.EvidenceFull
	case backend.FailureUnsent:
		return routing.EvidenceNone
	case backend.FailureTimeout, backend.FailureCanceled:
		if float64(took) < slowAttemptShare*float64(call.Route.Deadline) {
			return routing.EvidenceNone
		}
		return routing.EvidenceBad
	case backend.FailureNone:
		return answerEvidence(ans)
	}
	return routing.EvidenceBad
}

func answerEvidence(ans *backend.Answer) routing.Evidence {
	if ans.ServerError() {
		return routing.EvidenceBad
	}
	return routing.EvidenceGood
}
