package jobrunner

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// Pauses and timeouts of the duties.
const (
	// stepInterval is the pause between steps while nothing changes.
	stepInterval = 200 * time.Millisecond
	// minStepGap is the minimum pause between two steps: one step handles all
	// changes within it.
	minStepGap = 10 * time.Millisecond
	// proposeTimeout bounds the wait for the outcome of a record.
	proposeTimeout = 10 * time.Second
	// catchUpTimeout bounds one read to the end of the log after a pause.
	catchUpTimeout = 2 * time.Second
	// shutdownTimeout bounds the starts of own placements when the process
	// stops; stopWithin also covers the calls in flight.
	shutdownTimeout = 3 * time.Second
	stopTimeout     = shutdownTimeout + DefaultCallTimeout
	// DefaultCallTimeout bounds one call to the platform.
	DefaultCallTimeout = 2 * time.Second
)

// Config configures a Runner.
type Config struct {
	Core     CoreConfig
	Follower *follower.Follower
	Tasks    platform.Tasks
	Logger   hclog.Logger
	Metrics  *Metrics // nil: none
	// CallTimeout bounds one call to the platform; 0 means DefaultCallTimeout.
	CallTimeout time.Duration
}

// Runner executes the actions of a Core.
type Runner struct {
	cfg           Config
	core          *Core
	lanes         [laneCount]chan Action
	results       chan Result
	decideStopped chan struct{} // closed when the deciding duty has stopped
}

// New returns a Runner. The caller must supervise its Duties.
func New(cfg Config) *Runner {
	if cfg.CallTimeout <= 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	r := &Runner{cfg: cfg, decideStopped: make(chan struct{}), core: NewCore(cfg.Core, time.Now())}
	total := 0
	for lane, limit := range laneLimits {
		r.lanes[lane] = make(chan Action, limit)
		total += limit
	}
	r.results = make(chan Result, total)
	return r
}

// Duties returns the runner's duties: one that decides, and one for each lane,
// which runs as many actions concurrently as the lane admits. The channel of a
// lane holds as many actions as may be in flight, so the deciding duty never
// waits for an executor.
func (r *Runner) Duties() []supervise.Duty {
	names := [laneCount]string{LaneLog: "job records", LaneTasks: "job tasks", LaneUrgent: "urgent job tasks"}
	duties := []supervise.Duty{{Name: "jobs", Serve: r.runSteps, StopTimeout: stopTimeout}}
	for lane, name := range names {
		duties = append(duties, supervise.Duty{Name: name, Serve: r.serveLane(Lane(lane)), StopTimeout: stopTimeout})
	}
	return duties
}

// runSteps steps the core after each change and result, and at each interval.
func (r *Runner) runSteps(ctx context.Context) error {
	changed := r.cfg.Follower.Changed()
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			r.shutDown(ctx)
			return ctx.Err()
		case <-ticker.C:
		case <-changed:
		case res := <-r.results:
			r.handleResult(res)
		}
		r.collectResults(ctx)
		r.step(ctx)
	}
}

// shutDown starts what this process has placed, within shutdownTimeout. The
// follower's own duty may have ended already, so the log is read here.
func (r *Runner) shutDown(ctx context.Context) {
	defer close(r.decideStopped)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	r.core.BeginShutdown()
	for ctx.Err() == nil {
		r.catchUp(ctx)
		r.step(ctx)
		if r.core.ShutdownComplete() {
			return
		}
		r.collectResults(ctx)
	}
}

// collectResults handles further results for minStepGap, so that one step
// covers all of them.
func (r *Runner) collectResults(ctx context.Context) {
	gap := time.NewTimer(minStepGap)
	defer gap.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-gap.C:
			return
		case res := <-r.results:
			r.handleResult(res)
		}
	}
}

func (r *Runner) handleResult(res Result) {
	if res.Err != nil && !errors.Is(res.Err, context.Canceled) {
		r.cfg.Logger.Debug("an action failed", "verb", res.Action.Verb, "key", res.Action.Key, "error", res.Err)
	}
	r.core.Done(res, time.Now())
}

func (r *Runner) step(ctx context.Context) {
	fresh := r.cfg.Follower.Fresh()
	var actions []Action
	r.cfg.Follower.View(func(st *ledger.State) {
		actions = r.core.Step(st, fresh, time.Now())
	})
	for _, a := range actions {
		r.lanes[a.Lane] <- a
	}
	if !r.core.ReadSinceResume(fresh) {
		r.catchUp(ctx)
	}
	r.cfg.Metrics.observe(&r.core.Stats)
}

// catchUp reads the log to its end after a start or a pause. If the log cannot
// be read, the follower's own reads update the state later.
func (r *Runner) catchUp(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
	defer cancel()
	if err := r.cfg.Follower.CatchUp(ctx); err != nil && ctx.Err() == nil {
		r.cfg.Logger.Warn("cannot read the log; no job is started or renewed until it is read", "error", err)
	}
}

// serveLane returns the duty of a lane. Its executors run beyond the end of
// ctx, until the deciding duty has stopped.
func (r *Runner) serveLane(lane Lane) func(context.Context) error {
	return func(ctx context.Context) error {
		executorCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
		defer stop()
		var executors sync.WaitGroup
		for range laneLimits[lane] {
			executors.Go(func() { r.runExecutor(executorCtx, r.lanes[lane]) })
		}
		<-r.decideStopped
		stop()
		executors.Wait()
		return ctx.Err()
	}
}

// runExecutor executes actions one at a time until ctx ends.
func (r *Runner) runExecutor(ctx context.Context, lane <-chan Action) {
	for {
		select {
		case <-ctx.Done():
			return
		case a := <-lane:
			res := r.execute(ctx, a)
			res.Action = a
			r.results <- res // never full: it holds as many results as actions may be in flight
		}
	}
}

func (r *Runner) execute(ctx context.Context, a Action) Result {
	if time.Now().After(a.NotAfter) {
		return Result{Err: ErrOutdated}
	}
	if a.Verb == VerbPropose {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		outcome, err := r.cfg.Follower.Propose(ctx, a.Record)
		return Result{Outcome: outcome, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, r.cfg.CallTimeout)
	defer cancel()
	return r.call(ctx, a)
}

func (r *Runner) call(ctx context.Context, a Action) (res Result) {
	tasks := r.cfg.Tasks
	switch a.Verb {
	case VerbStart:
		res.Status, res.Err = tasks.Start(ctx, a.Spec, a.Op)
	case VerbStop:
		res.Status, res.Err = tasks.Stop(ctx, a.Task, a.Op)
	case VerbCheckpoint:
		res.Status, res.Err = tasks.Checkpoint(ctx, a.Task, a.Op)
	case VerbThrottle:
		res.Status, res.Err = tasks.Throttle(ctx, a.Task, a.Share, a.Op)
	case VerbRenew:
		res.Err = tasks.Renew(ctx, a.Worker, a.Tasks, a.Lease, a.Fence)
	case VerbStatus:
		res.Statuses, res.Err = tasks.Status(ctx, a.Worker)
	case VerbUsage:
		res.Usage, res.Err = tasks.Usage(ctx)
	}
	return res
}
