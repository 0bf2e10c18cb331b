// Package supervise runs the duties of a daemon under suture: one goroutine
// for each duty, restarted when it returns an error, and a process that ends
// when an invariant is broken.
package supervise

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/thejerf/suture/v4"
)

// Restart policy of one duty: a first failure restarts it at once, further ones
// within failureDecay wait for restartPause.
const (
	failureThreshold = 1.0
	failureDecay     = 10 // seconds in which the count of failures halves
	restartBackoff   = time.Second
)

// DefaultStopWithin is how long a duty may take to return once it was told to
// stop.
const DefaultStopWithin = 5 * time.Second

// stopMargin is what the tree waits longer than its slowest duty, so that the
// duty's own supervisor can name it first.
const stopMargin = time.Second

var (
	// ErrStop is returned by a duty to stop all duties in good order, as after
	// a drain. Run then returns nil.
	ErrStop = errors.New("duty asks for an orderly stop")
	// ErrDone is returned by a duty that has nothing left to do. It is not
	// started again; the others go on.
	ErrDone = errors.New("duty is done")

	errReturnedEarly = errors.New("duty ended without a reason")
)

// fatalError is an error that a restart cannot mend.
type fatalError struct{ cause error }

func (e fatalError) Error() string { return e.cause.Error() }
func (e fatalError) Unwrap() error { return e.cause }

// Fatal marks an error that a restart cannot mend, such as an address in use.
// All duties stop and Run returns the error.
func Fatal(err error) error { return fatalError{cause: err} }

// Duty is one job of a daemon.
type Duty struct {
	Name string
	// Serve runs until ctx ends. Any error but ErrStop, ErrDone and a Fatal one
	// restarts it, and so does a nil return before ctx ended: a duty that
	// silently stopped would leave its work undone. A panic ends the process.
	Serve func(ctx context.Context) error
	// StopWithin bounds the time from the end of ctx to the return of Serve; 0
	// stands for DefaultStopWithin.
	StopWithin time.Duration
}

func (d Duty) stopWithin() time.Duration {
	if d.StopWithin == 0 {
		return DefaultStopWithin
	}
	return d.StopWithin
}

// Run runs the duties until ctx ends, a duty returns ErrStop (nil is returned)
// or a duty fails for good (its error is returned). Duties that did not stop in
// time are named in the error.
func Run(ctx context.Context, name string, logger hclog.Logger, duties ...Duty) error {
	tree := &tree{logger: logger}
	longestStop := time.Duration(0)
	for _, d := range duties {
		longestStop = max(longestStop, d.stopWithin())
	}
	root := suture.New(name, tree.spec(longestStop+stopMargin))
	for _, d := range duties {
		// A supervisor for each duty keeps one that fails again and again from
		// holding back the restarts of the others.
		child := suture.New(d.Name, tree.spec(d.stopWithin()))
		child.Add(&service{duty: d, tree: tree})
		root.Add(child)
	}
	err := root.Serve(ctx)
	return tree.result(err)
}

// tree is what the supervisors of one Run share.
type tree struct {
	logger hclog.Logger

	mu      sync.Mutex
	fatal   error
	overdue []string
}

func (t *tree) spec(timeout time.Duration) suture.Spec {
	return suture.Spec{
		EventHook:        t.logEvent,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay,
		FailureBackoff:   restartBackoff,
		Timeout:          timeout,
		// A recovered panic would let a process with a broken invariant answer
		// callers from a state that nobody knows.
		PassThroughPanics: true,
	}
}

// logEvent logs what suture reports.
func (t *tree) logEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServiceTerminate:
		t.logger.Warn("duty failed", "duty", e.ServiceName, "error", e.Err, "restarting", e.Restarting)
	case suture.EventBackoff:
		t.logger.Warn("duty fails repeatedly, pausing its restart", "duty", e.SupervisorName)
	case suture.EventResume:
		t.logger.Info("restarting duty after a pause", "duty", e.SupervisorName)
	case suture.EventStopTimeout:
		t.logger.Error("duty did not stop in time", "duty", e.ServiceName)
		t.mu.Lock()
		t.overdue = append(t.overdue, e.ServiceName)
		t.mu.Unlock()
	default:
		t.logger.Warn("supervisor event", "event", e.String())
	}
}

// setFatal keeps the first error that ends the tree.
func (t *tree) setFatal(duty string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fatal == nil {
		t.fatal = errors.Wrap(err, duty)
	}
}

// result turns the end of the root supervisor into what Run returns.
func (t *tree) result(err error) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fatal != nil {
		return t.fatal
	}
	if len(t.overdue) > 0 {
		return errors.Errorf("did not stop in time: %s", strings.Join(t.overdue, ", "))
	}
	if errors.Is(err, suture.ErrTerminateSupervisorTree) || errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// service is a duty as suture sees it.
type service struct {
	duty Duty
	tree *tree
}

// String names the duty in suture's events.
func (s *service) String() string { return s.duty.Name }

// Serve implements suture.Service.
func (s *service) Serve(ctx context.Context) error {
	defer s.logPanic()
	err := s.duty.Serve(ctx)
	var fatal fatalError
	switch {
	case errors.As(err, &fatal):
		s.tree.setFatal(s.duty.Name, err)
		return suture.ErrTerminateSupervisorTree
	case errors.Is(err, ErrStop):
		return suture.ErrTerminateSupervisorTree
	case errors.Is(err, ErrDone), ctx.Err() != nil:
		return suture.ErrDoNotRestart
	case err == nil:
		return errReturnedEarly
	default:
		return err
	}
}

// logPanic puts the reason into the log, which may be all that outlives a VM
// without disks, and lets the panic go on.
func (s *service) logPanic() {
	if reason := recover(); reason != nil {
		s.tree.logger.Error("stopping on a panic", "duty", s.duty.Name, "reason", fmt.Sprint(reason))
		panic(reason)
	}
}
