// Package supervise runs the duties of a daemon, its long-running components,
// under suture. Each duty runs in its own goroutine and is restarted when it
// returns an error. A panic, such as a broken invariant, ends the process.
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

// Restart policy of one duty: the first failure restarts it at once; while the
// decaying count of failures exceeds failureThreshold, a restart waits for
// restartBackoff.
const (
	failureThreshold = 1.0
	failureDecay     = 10 // half-life of the failure count, in seconds
	restartBackoff   = time.Second
)

// DefaultStopTimeout is how long a duty may take to return after its context
// ended.
const DefaultStopTimeout = 5 * time.Second

// stopMargin is how much longer the root supervisor waits than the supervisor of
// the slowest duty, so that the latter reports the overdue duty by name first.
const stopMargin = time.Second

var (
	// ErrStop is returned by a duty to shut all duties down gracefully, for
	// example after a drain. Run then returns nil.
	ErrStop = errors.New("duty requests a graceful shutdown")
	// ErrDone is returned by a duty that has nothing left to do. The duty is not
	// restarted; the other duties keep running.
	ErrDone = errors.New("duty is done")

	errReturnedEarly = errors.New("duty returned before its context ended")
)

// fatalError is an error that a restart cannot fix.
type fatalError struct{ cause error }

func (e fatalError) Error() string { return e.cause.Error() }
func (e fatalError) Unwrap() error { return e.cause }

// Fatal marks an error that a restart cannot fix, such as an address in use. All
// duties are stopped and Run returns the error.
func Fatal(err error) error { return fatalError{cause: err} }

// Duty is one long-running component of a daemon.
type Duty struct {
	Name string
	// Serve runs until ctx ends. It is restarted after any error except ErrStop,
	// ErrDone and Fatal errors, and also after a nil return before ctx ended,
	// since the duty's work would otherwise stop unnoticed. A panic ends the
	// process.
	Serve func(ctx context.Context) error
	// StopTimeout bounds the time from the end of ctx to the return of Serve; 0
	// means DefaultStopTimeout.
	StopTimeout time.Duration
}

func (d Duty) stopTimeout() time.Duration {
	if d.StopTimeout == 0 {
		return DefaultStopTimeout
	}
	return d.StopTimeout
}

// Run runs the duties until ctx ends or a duty returns ErrStop or a Fatal error.
// It returns the Fatal error, or an error that names the duties that did not
// stop in time, or nil after ErrStop or when ctx was canceled.
func Run(ctx context.Context, name string, logger hclog.Logger, duties ...Duty) error {
	tree := &tree{logger: logger}
	longestStop := time.Duration(0)
	for _, d := range duties {
		longestStop = max(longestStop, d.stopTimeout())
	}
	root := suture.New(name, tree.spec(longestStop+stopMargin))
	for _, d := range duties {
		// Each duty has its own supervisor. With a shared one, a duty that keeps
		// failing would delay the restarts of the others.
		child := suture.New(d.Name, tree.spec(d.stopTimeout()))
		child.Add(&service{duty: d, tree: tree})
		root.Add(child)
	}
	err := root.Serve(ctx)
	return tree.result(err)
}

// tree is the state that the supervisors of one Run share.
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
		// After a recovered panic, a process with a broken invariant would answer
		// callers from an undefined state.
		PassThroughPanics: true,
	}
}

// logEvent logs suture's events and records the duties that did not stop in time.
func (t *tree) logEvent(e suture.Event) {
	switch e := e.(type) {
	case suture.EventServiceTerminate:
		t.logger.Warn("duty failed", "duty", e.ServiceName, "error", e.Err, "restarting", e.Restarting)
	case suture.EventBackoff:
		t.logger.Warn("duty fails repeatedly, delaying its restart", "duty", e.SupervisorName)
	case suture.EventResume:
		t.logger.Info("restarting duty after the delay", "duty", e.SupervisorName)
	case suture.EventStopTimeout:
		t.logger.Error("duty did not stop in time", "duty", e.ServiceName)
		t.mu.Lock()
		t.overdue = append(t.overdue, e.ServiceName)
		t.mu.Unlock()
	default:
		t.logger.Warn("supervisor event", "event", e.String())
	}
}

// setFatal records the error that Run returns. Later errors are ignored.
func (t *tree) setFatal(duty string, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.fatal == nil {
		t.fatal = errors.Wrap(err, duty)
	}
}

// result returns Run's result, where err is the error of the root supervisor.
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

// service adapts a Duty to suture.Service.
type service struct {
	duty Duty
	tree *tree
}

// String returns the duty's name, which suture puts into its events.
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

// logPanic logs the reason of a panic and panics again. On a VM without disks
// the log may be all that survives the process.
func (s *service) logPanic() {
	if reason := recover(); reason != nil {
		s.tree.logger.Error("stopping on a panic", "duty", s.duty.Name, "reason", fmt.Sprint(reason))
		panic(reason)
	}
}
