package dispatch

import (
	"context"
	"io"
	"net/url"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// reasonDeadline means that the caller's deadline passed before anything was sent.
const reasonDeadline outcome.Reason = "deadline"

// refusalStaleTable means that the process was paused and the caller's deadline
// passed before the log was read again.
const refusalStaleTable routing.Refusal = "table-not-current"

// Limits on the tries for one request.
const (
	maxTries = 4
	// The first immediateRefusalTries refusals are followed by a try at another
	// backend server at once; maxRefusals bounds all tries that were refused.
	immediateRefusalTries = 2
	maxRefusals           = 20
	// refusalShare is the number of tries after a refusal that each new request
	// adds to the budget.
	refusalShare = 1.0
	// An attempt that took slowAttemptShare of the route's deadline without an
	// answer counts as a failure of the backend server.
	slowAttemptShare = 0.25
	// shedRetryAfter is the minimum Retry-After of a shed quick request,
	// shedRetryAfterLong that of a long one. Up to retryAfterJitterSeconds-1 random
	// seconds are added, so that callers shed in one burst don't return together.
	shedRetryAfter          = time.Second
	shedRetryAfterLong      = 5 * time.Second
	retryAfterJitterSeconds = 3
	// staleTablePollInterval is how often a held request checks for a current table.
	staleTablePollInterval = 5 * time.Millisecond
)

// Call is one caller's request, with its complete body.
type Call struct {
	Service string
	Limits  document.Limits
	Route   document.Route
	Key     string // key of a not-repeatable request
	First   bool   // whether the caller marked this as its first attempt
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Method   string
	URL      *url.URL
	Host     string
	Header   backend.Header
	Body     []byte
}

// Result is the result of a call. Answer.Status is 0 when there is no answer of
// a backend server to pass on. Close must be called once the answer was passed
// on; whole states whether all of it arrived from the backend server.
type Result struct {
	Answer     backend.Answer
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	// DeniedByClaim is true when the call was not run because of an earlier call with
	// its key.
	DeniedByClaim bool
	Tries         int
	Close         func(whole bool)
}

func noAnswer(o outcome.Outcome, reason outcome.Reason, retryAfter time.Duration) Result {
	return Result{Outcome: o, Reason: reason, RetryAfter: retryAfter, Close: func(bool) {}}
}

// Do sends a call to a backend server. ctx ends when the caller disconnects; a
// not-repeatable call that was sent continues until its deadline, so that its
// outcome can be recorded.
func (d *Dispatcher) Do(ctx context.Context, call *Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	if call.Route.Repeatable {
		return d.doTries(ctx, cancel, call)
	}
	return d.doWithClaim(ctx, cancel, call)
}

// awaitCurrentTable waits until the table may be used (see routing.Pause) and
// reports whether that happened before ctx ended.
func (d *Dispatcher) awaitCurrentTable(ctx context.Context) bool {
	for d.holdsNewAttempts() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(staleTablePollInterval):
		}
	}
	return true
}

// errPausedSincePick prevents an attempt from being sent.
var errPausedSincePick = errors.New("the process was paused since the backend server was picked")

// beforeWrite is called right before an attempt's first byte is written. It
// returns an error if the process was paused between the pick and the write.
func (d *Dispatcher) beforeWrite() error {
	if d.holdsNewAttempts() {
		return errPausedSincePick
	}
	return nil
}

func (d *Dispatcher) holdsNewAttempts() bool {
	return d.pause.Held(time.Now(), d.view.Load().fresh)
}

// doWithClaim runs a not-repeatable call if its claim is granted.
func (d *Dispatcher) doWithClaim(ctx context.Context, cancel context.CancelFunc, call *Call) Result {
	permit, denial := d.cfg.Claims.Begin(ctx, call)
	if permit == nil {
		cancel()
		result := noAnswer(denial.Outcome, denial.Reason, denial.RetryAfter)
		result.DeniedByClaim = denial.Outcome != outcome.NotRun
		result.Answer = denial.Answer
		return result
	}
	expired := ctx.Err() != nil
	cancel()
	if expired {
		permit.End(outcome.NotRun, nil)
		return noAnswer(outcome.NotRun, reasonDeadline, 0)
	}
	ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	return d.endPermit(d.doTries(ctx, cancel, call), permit)
}

// endPermit ends the permit once the call's outcome is known. If the caller
// disconnects in the middle of a streamed answer, the remainder is still read,
// since only the end of the answer shows that the call ran.
func (d *Dispatcher) endPermit(res Result, permit Permit) Result {
	if res.Answer.Rest == nil {
		permit.End(res.Outcome, &res.Answer)
		return res
	}
	closeResult := res.Close
	res.Close = func(whole bool) {
		if !whole {
			_, err := io.Copy(io.Discard, res.Answer.Rest)
			whole = err == nil
		}
		closeResult(whole)
		if whole {
			permit.End(outcome.Ran, nil)
			return
		}
		permit.End(outcome.Unknown, nil)
	}
	return res
}

// doTries makes tries until the result is final.
func (d *Dispatcher) doTries(ctx context.Context, cancel context.CancelFunc, call *Call) Result {
	v := d.view.Load()
	svc := v.services[call.Service]
	if svc == nil {
		cancel()
		return noAnswer(outcome.NotRun, outcome.Reason(routing.NoBackends), shedRetryAfter)
	}
	svc.retries.Earn(call.Limits.RetryShare)
	svc.refusals.Earn(refusalShare)
	run := &callState{d: d, call: call, svc: svc, cancel: cancel}
	for run.tryNext(ctx) {
	}
	return run.result()
}
