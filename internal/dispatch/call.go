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

// reasonGone is given when the caller's time was up before anything was sent.
const reasonGone outcome.Reason = "deadline"

// refusedStale: the process was paused, and its time was up before the log was
// read again.
const refusedStale routing.Refusal = "table-not-current"

// Bounds of the tries for one request.
const (
	maxTries = 4
	// refusedTries refusals are followed by a try elsewhere at once, and
	// maxRefusals in all.
	refusedTries = 2
	maxRefusals  = 20
	// refusalShare is the share of fresh requests that may be tried again after
	// a refusal of a backend server.
	refusalShare = 1.0
	// slowShare: an attempt that took this share of the route's deadline without
	// an answer speaks against the backend server.
	slowShare = 0.25
	// retryShed is the least that a caller is told to wait after being shed, and
	// retryShedLong for a long request. retrySpread seconds are drawn on top: told
	// the same time, all that were shed in a burst would return as one.
	retryShed     = time.Second
	retryShedLong = 5 * time.Second
	retrySpread   = 3
	// staleCheck is how often a held request looks for a current table.
	staleCheck = 5 * time.Millisecond
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

func noAnswer(o outcome.Outcome, why outcome.Reason, after time.Duration) Result {
	return Result{Outcome: o, Reason: why, RetryAfter: after, Close: func(bool) {}}
}

// Do sends a call on. ctx ends when the caller went away; a not-repeatable call
// that was sent goes on until its deadline, so that its end is known.
func (d *Dispatcher) Do(ctx context.Context, call *Call) Result {
	ctx, cancel := context.WithDeadline(ctx, call.Deadline)
	if call.Route.Repeatable {
		return d.tries(ctx, cancel, call)
	}
	return d.once(ctx, cancel, call)
}

// current waits until the table may be used, see routing.Pause.
func (d *Dispatcher) current(ctx context.Context) bool {
	for d.held() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(staleCheck):
		}
	}
	return true
}

// errStale keeps an attempt from being sent.
var errStale = errors.New("the process was paused since the backend server was picked")

// beforeWrite is asked right before an attempt's first byte: the process may
// have been paused between the pick and the write.
func (d *Dispatcher) beforeWrite() error {
	if d.held() {
		return errStale
	}
	return nil
}

func (d *Dispatcher) held() bool {
	return d.pause.Held(time.Now(), d.view.Load().fresh)
}

// once runs a not-repeatable call under a claim.
func (d *Dispatcher) once(ctx context.Context, cancel context.CancelFunc, call *Call) Result {
	permit, denial := d.cfg.Claims.Begin(ctx, call)
	if permit == nil {
		cancel()
		res := noAnswer(denial.Outcome, denial.Reason, denial.RetryAfter)
		res.Denied = denial.Outcome != outcome.NotRun
		res.Answer = denial.Answer
		return res
	}
	gone := ctx.Err() != nil
	cancel()
	if gone {
		permit.End(outcome.NotRun, nil)
		return noAnswer(outcome.NotRun, reasonGone, 0)
	}
	ctx, cancel = context.WithDeadline(context.WithoutCancel(ctx), call.Deadline)
	return d.report(d.tries(ctx, cancel, call), permit)
}

// report ends the permit once the call's end is known. When the caller leaves
// in the middle of a long answer, the remainder is still read: only then is it
// known that the call ran to its end.
func (d *Dispatcher) report(res Result, permit Permit) Result {
	if res.Answer.Rest == nil {
		permit.End(res.Outcome, &res.Answer)
		return res
	}
	end := res.Close
	res.Close = func(whole bool) {
		if !whole {
			_, err := io.Copy(io.Discard, res.Answer.Rest)
			whole = err == nil
		}
		end(whole)
		if whole {
			permit.End(outcome.Ran, nil)
			return
		}
		permit.End(outcome.Unknown, nil)
	}
	return res
}

// tries sends the call until an answer is final.
func (d *Dispatcher) tries(ctx context.Context, cancel context.CancelFunc, call *Call) Result {
	v := d.view.Load()
	svc := v.services[call.Service]
	if svc == nil {
		cancel()
		return noAnswer(outcome.NotRun, outcome.Reason(routing.NoBackends), retryShed)
	}
	svc.retries.Earn(call.Limits.RetryShare)
	svc.refusals.Earn(refusalShare)
	run := &run{d: d, call: call, svc: svc, cancel: cancel}
	for run.again(ctx) {
	}
	return run.result()
}
