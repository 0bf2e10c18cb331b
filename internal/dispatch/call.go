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

// reasonDeadline is given when the caller's time was up before anything was sent.
const reasonDeadline outcome.Reason = "deadline"

// refusalStaleTable: the process was paused, and its time was up before the log was
// read again.
const refusalStaleTable routing.Refusal = "table-not-current"

// Bounds of the tries for one request.
const (
	maxTries = 4
	// immediateRefusalTries refusals are followed by a try elsewhere at once, and
	// maxRefusals in all.
	immediateRefusalTries = 2
	maxRefusals           = 20
	// refusalShare is the share of fresh requests that may be tried again after
	// a refusal of a backend server.
	refusalShare = 1.0
	// slowAttemptShare: an attempt that took this share of the route's deadline without
	// an answer speaks against the backend server.
	slowAttemptShare = 0.25
	// shedRetryAfter is the least that a caller is told to wait after being shed, and
	// retryShedLong for a long request. retrySpread seconds are drawn on top: told
	// the same time, all that were shed in a burst would return as one.
	shedRetryAfter          = time.Second
	shedRetryAfterLong      = 5 * time.Second
	retryAfterJitterSeconds = 3
	// staleTablePollInterval is how often a held request looks for a current table.
	staleTablePollInterval = 5 * time.Millisecond
)

// Call is one caller's request, read completely.
type Call struct {
	Service string
	Limits  document.Limits
	Route   document.Route
	Key     string // of a not-repeatable request
	First   bool   // the caller says that this is its first attempt
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	Method   string
	URL      *url.URL
	Host     string
	Header   backend.Header
	Body     []byte
}

// Result is what became of a call. Answer.Status is 0 when there is no answer
// of a backend server to pass on. Close must be called once the answer was
// passed on, with whether all of it arrived from the backend server.
type Result struct {
	Answer     backend.Answer
	Outcome    outcome.Outcome
	Reason     outcome.Reason
	RetryAfter time.Duration
	// Denied: the call was not run because of an earlier one with its key.
	Denied bool
	Tries  int
	Close  func(whole bool)
}

func noAnswer(o outcome.Outcome, reason outcome.Reason, retryAfter time.Duration) Result {
	return Result{Outcome: o, Reason: reason, RetryAfter: retryAfter, Close: func(bool) {}}
}

// Do sends a call on. ctx ends when the caller went away; a not-repeatable call
// that was sent goes on until its deadline, so that its end is known.
func (d *Dispatcher) Do(ctx context.Context, call *Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	if call.Route.Repeatable {
		return d.doTries(ctx, cancel, call)
	}
	return d.doWithClaim(ctx, cancel, call)
}

// awaitCurrentTable waits until the table may be used, see routing.Pause.
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

// errPausedSincePick keeps an attempt from being sent.
var errPausedSincePick = errors.New("the process was paused since the backend server was picked")

// beforeWrite is asked right before an attempt's first byte: the process may
// have been paused between the pick and the write.
func (d *Dispatcher) beforeWrite() error {
	if d.holdsNewAttempts() {
		return errPausedSincePick
	}
	return nil
}

func (d *Dispatcher) holdsNewAttempts() bool {
	return d.pause.Held(time.Now(), d.view.Load().fresh)
}

// doWithClaim runs a not-repeatable call under a claim.
func (d *Dispatcher) doWithClaim(ctx context.Context, cancel context.CancelFunc, call *Call) Result {
	permit, denial := d.cfg.Claims.Begin(ctx, call)
	if permit == nil {
		cancel()
		result := noAnswer(denial.Outcome, denial.Reason, denial.RetryAfter)
		result.Denied = denial.Outcome != outcome.NotRun
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

// endPermit ends the permit once the call's end is known. When the caller leaves
// in the middle of a long answer, the remainder is still read: only then is it
// known that the call ran to its end.
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

// doTries sends the call until an answer is final.
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
