package dispatch

import (
	"context"
	"maps"
	"strconv"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// run is the state of one call's tries.
type run struct {
	d      *Dispatcher
	call   *Call
	svc    *service
	cancel context.CancelFunc

	tried    []string
	lease    routing.Lease // of last
	last     backend.Answer
	answer   backend.Answer  // the latest complete answer, Status 0 if none
	shed     routing.Refusal // why no further try was made
	maybeRan bool            // a try ended with outcome unknown
}

// again makes one try and reports whether another one should follow.
func (r *run) again(ctx context.Context) bool {
	if !r.d.current(ctx) {
		r.shed = refusedStale
		return false
	}
	query := routing.Query{Class: r.call.Route.Class, Tried: r.tried}
	lease, refusal := r.svc.pool.Pick(time.Now(), r.d.cfg.Rand, query)
	if refusal != routing.Admitted {
		r.shed = refusal
		return false
	}
	r.lease = lease
	r.tried = append(r.tried, lease.VM)
	began := time.Now()
	r.last = r.send(ctx, began)
	if r.last.Rest == nil {
		r.svc.pool.Done(time.Now(), lease, evidence(&r.last, r.call, time.Since(began)))
	}
	switch r.last.Outcome {
	case outcome.Ran:
		r.answer = r.last
	case outcome.Unknown:
		r.maybeRan = true
	}
	return r.mayRetry(ctx)
}

// send makes the try. A hung backend server takes half of a repeatable call's
// time at most, so that the rest is left for another one.
func (r *run) send(ctx context.Context, now time.Time) backend.Answer {
	left := r.call.Deadline.Sub(now)
	if r.call.Route.Repeatable && len(r.tried) == 1 {
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

// header returns the call's header with the time that is left. A later try gets
// a copy, as the goroutine that wrote an earlier one may still read it.
func (r *run) header(left time.Duration) backend.Header {
	h := r.call.Header
	if len(r.tried) > 1 {
		h = maps.Clone(h)
	}
	h[outcome.HeaderDeadline] = []string{strconv.FormatInt(max(1, left.Milliseconds()), 10)}
	return h
}

func (r *run) mayRetry(ctx context.Context) bool {
	if ctx.Err() != nil || len(r.tried) >= maxTries {
		return false
	}
	if !r.safe() {
		return false
	}
	budget := r.svc.retries
	if r.last.Failure == backend.FailureRefused {
		budget = r.svc.refusals
	}
	if !budget.Spend() {
		return false
	}
	r.d.cfg.Observer.Retried(r.call.Service, r.last.Failure)
	return true
}

// safe reports whether a further try can do no harm and may do good.
func (r *run) safe() bool {
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

// result makes one answer of all tries. Once a try may have run, a later one
// that did not run cannot turn the call into not-run.
func (r *run) result() Result {
	res := Result{Tries: len(r.tried), Close: func(bool) { r.cancel() }}
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
	if r.shed != routing.Admitted {
		res.Reason = outcome.Reason(r.shed)
		r.d.cfg.Observer.Shed(r.call.Service, r.call.Route.Class, r.shed)
	}
	res.RetryAfter = retryShed
	return res
}

func (r *run) closeStream(whole bool) {
	_ = r.answer.Rest.Close()
	r.cancel()
	ev := routing.EvidenceNone
	if whole {
		ev = answerEvidence(&r.answer)
	}
	r.svc.pool.Done(time.Now(), r.lease, ev)
}

// evidence says what a try showed of its backend server. A caller's short
// deadline must not speak against a backend server that is only as slow as its
// route allows.
func evidence(ans *backend.Answer, call *Call, took time.Duration) routing.Evidence {
	switch ans.Failure {
	case backend.FailureRefused:
		return routing.EvidenceFull
	case backend.FailureUnsent:
		return routing.EvidenceNone
	case backend.FailureTimeout, backend.FailureCanceled:
		if float64(took) < slowShare*float64(call.Route.Deadline) {
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
