// Package owner runs the scheduling machine of one partition: it reads the
// partition's jobs, hands all that happens to the machine in turn, and carries
// its orders out.
package owner

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/published"
	"github.com/yuccadrift/yuccadrift/internal/registry"
	"github.com/yuccadrift/yuccadrift/internal/scheduler"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Times and sizes of an owner.
const (
	// stepPause is the shortest time between two steps: what happens meanwhile is
	// decided on together, which bounds the processor time under load.
	stepPause = 3 * time.Millisecond
	// tickInterval is the longest time between two steps.
	tickInterval = 50 * time.Millisecond
	inboxSize    = 1024
	// readWait is how long a read of the partition waits for a record.
	readWait  = time.Second
	readRetry = 100 * time.Millisecond
	// tailPause is the pause after a read that brought records. Jobs come to this node
	// as a rule and are known without it; each record that is read by itself costs a
	// call, and the owner's own records come back this way, too.
	tailPause = 100 * time.Millisecond
	// writeRetry is the pause before a write is sent again.
	writeRetry = 100 * time.Millisecond
	// registryWait is how long a new owner waits for a list of workers that was
	// read after it fenced earlier ones.
	registryWait = 3 * time.Second
	fenceWait    = 10 * time.Second
)

// ErrLost is returned by Run when a later owner was seen.
var ErrLost = errors.New("ownership is lost")

// Workers carries orders to workers.
type Workers interface {
	Start(ctx context.Context, w workload.Worker, s workload.Start) workload.WorkerAnswer
	Stop(ctx context.Context, w workload.Worker, task workload.TaskKey, run, token int64) workload.WorkerAnswer
	Pace(ctx context.Context, w workload.Worker, task workload.TaskKey, run int64, percent int, token int64) workload.WorkerAnswer
	Hold(ctx context.Context, w workload.Worker, h workload.Poll) (workload.PollReport, workload.WorkerAnswer)
}

// Adviser asks which workers may run a step.
type Adviser interface {
	Ask(ctx context.Context, step workload.TaskKey, workers []string) ([]platform.Ticket, time.Duration, error)
}

// Fleet lists the VMs.
type Fleet interface {
	List(ctx context.Context) ([]workload.VM, error)
}

// Deps is what all owners of a node share.
type Deps struct {
	Store     joblog.Store
	Hedger    *hedge.Hedger
	Workers   Workers
	Adviser   Adviser
	Fleet     Fleet
	Published *published.Follower
	Registry  *registry.Follower
	Logger    hclog.Logger
	Metrics   *Metrics
	Bounds    platform.Bounds
	// Confirmed is when it was last certain that no other node owns a partition.
	Confirmed func(partition int) time.Time
	// OwnedUntil is until when no other node can own a partition unless the group deals
	// all anew.
	OwnedUntil func(partition int) time.Time
	// AuthorityUntil is until when the owner of a partition may start tasks and renew
	// leases.
	AuthorityUntil func(partition int) time.Time
	// Overlap is for how long that may be after a successor has begun.
	Overlap time.Duration
	// Confirm asks for a confirmation at once.
	Confirm func()
	// Address is where the node answers others.
	Address string
	// Release asks the node at an address to stop an owner of a partition with a lower epoch,
	// and returns what that one has left and could not store: nil if nothing is known there.
	Release func(ctx context.Context, address string, partition int, epoch int64) ([]workload.Record, error)
	// Partitions is how many the topic has.
	Partitions int
	// Lease of all runs.
	Lease time.Duration
}

// event is something that happened, to be handed to the machine.
type event struct {
	happened time.Time
	apply    func(c *scheduler.Core, now time.Time)
}

// newEvent returns an event that happens now.
func newEvent(apply func(c *scheduler.Core, now time.Time)) event {
	return event{happened: time.Now(), apply: apply}
}

// Owner owns one partition while Run runs.
type Owner struct {
	deps      Deps
	partition int
	epoch     int64
	log       *joblog.Log
	logger    hclog.Logger
	inbox     chan event
	calls     *executor
	// loaded is closed once the machine knows all that is stored.
	loaded  chan struct{}
	workers confirmedList
	config  *workload.Config
	counts  scheduler.Counts
	lag     lag
	planned scheduler.Counts // when the lag's interval began
	// readAt is when the latest read of the partition was sent whose records the
	// machine has.
	readAt time.Time
	// unconfirmed is set while the membership may have lapsed, and idle while nothing may be
	// started or renewed for that.
	unconfirmed, idle bool
	// unfinished is the latest write; it may be under way.
	unfinished scheduler.WriteOrder
	report     *Report // what is left and could not be stored, once Run has returned
}

// New returns the owner of a partition. epoch is unique and above all earlier
// owners' ones.
func New(deps Deps, partition int, epoch int64) *Owner {
	return &Owner{
		deps:      deps,
		partition: partition,
		epoch:     epoch,
		log:       joblog.New(deps.Store, deps.Hedger, joblog.Topic, partition),
		logger:    deps.Logger.With("partition", partition, "epoch", epoch),
		inbox:     make(chan event, inboxSize),
		calls:     newExecutor(),
		loaded:    make(chan struct{}),
	}
}

// Run takes the partition over and runs its jobs until ctx ends or a later owner
// is seen.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	began := time.Now()
	o.workers.since = began
	if err := o.fence(ctx); err != nil {
		return err
	}
	fenced := time.Now()
	o.readAt = began
	batch, left, err := o.read(ctx)
	if err != nil {
		return err
	}
	core := o.takeOver(ctx, fenced, left.handover != nil)
	o.apply(core, batch, time.Now())
	recall(core, batch, left.unstored)
	left.apply(core, time.Now())
	go o.tail(ctx, batch.Next)
	close(o.loaded)
	o.logger.Info("partition taken over", "records", len(batch.Records), "took", time.Since(began).String(), "handed_over", left.handover != nil, "reported_jobs", len(left.unstored))
	err = o.loop(ctx, core)
	o.leave(ctx, core)
	return err
}

// fence keeps earlier owners from writing. It comes before the snapshot: what
// they stored before it is in the snapshot, and nothing comes after.
func (o *Owner) fence(ctx context.Context) error {
	deadline := time.Now().Add(fenceWait)
	for ctx.Err() == nil {
		status, err := o.log.Fence(ctx, o.epoch)
		switch status {
		case platform.StoreOK:
			return nil
		case platform.StoreFenced:
			return errors.Wrap(ErrLost, "a later owner has fenced the partition")
		}
		o.logger.Warn("partition can't be fenced yet", "status", status.String(), "error", err)
		if time.Now().After(deadline) {
			return errors.Wrap(err, "fence the partition")
		}
		wait.Pause(ctx, readRetry)
	}
	return ctx.Err()
}

func (o *Owner) snapshot(ctx context.Context) (platform.Batch, error) {
	for ctx.Err() == nil {
		batch, status, err := o.log.Snapshot(ctx)
		if status == platform.StoreOK {
			return batch, nil
		}
		o.logger.Warn("stored jobs can't be read yet", "status", status.String(), "error", err)
		wait.Pause(ctx, readRetry)
	}
	return platform.Batch{}, ctx.Err()
}

// takeOver makes the machine. Where the last owner left no report of its runs, it
// begins with the workers that may run what an earlier
// owner started: those registered, and those that the list of VMs names.
func (o *Owner) takeOver(ctx context.Context, fenced time.Time, told bool) *scheduler.Core {
	cfg := scheduler.Settings{
		Address:            o.deps.Address,
		Epoch:              o.epoch,
		LeaseDuration:      o.deps.Lease,
		MaxOwnerOverlap:    o.deps.Overlap,
		MaxLeaseDuration:   o.deps.Bounds.MaxLease,
		JobRetention:       o.deps.Bounds.StateKept,
		RemoteDataSlowdown: o.deps.Bounds.RemoteFactor,
		MaxStopDuration:    o.deps.Bounds.Stop,
		GangTimeout:        o.deps.Bounds.GangTimeout,
	}
	if told {
		return scheduler.New(cfg, fenced, nil, false)
	}
	snap := o.freshWorkers(ctx, fenced)
	doubtful := !snap.Settled || snap.SentAt.Before(fenced)
	vms, err := o.deps.Fleet.List(ctx)
	if err != nil {
		o.logger.Warn("VMs can't be listed at takeover, runs on unlisted workers are waited for", "error", err)
	} else {
		doubtful = false
	}
	unheld := unheldOf(snap.Workers, vms, o.standby(), o.owns)
	return scheduler.New(cfg, fenced, unheld, doubtful)
}

// standby is the name of the spare pool, "" if there is none.
func (o *Owner) standby() string {
	config := o.deps.Published.Config()
	if config == nil {
		return ""
	}
	for _, s := range config.Services {
		if s.Standby {
			return s.Name
		}
	}
	return ""
}

func (o *Owner) freshWorkers(ctx context.Context, since time.Time) registry.Snapshot {
	deadline := since.Add(registryWait)
	for {
		snap := o.deps.Registry.Snapshot(time.Now())
		if !snap.SentAt.Before(since) || ctx.Err() != nil || time.Now().After(deadline) {
			return snap
		}
		wait.Pause(ctx, readRetry/4)
	}
}

// owns tells whether a service's jobs lie in the partition. One that the
// configuration doesn't name has none: another writer's entry may name it, and a
// worker that never answers would hold a takeover up for a lease.
func (o *Owner) owns(service string) bool {
	if config := o.deps.Published.Config(); config != nil && !config.HasService(service) {
		return false
	}
	return joblog.PartitionOf(service, o.deps.Partitions) == o.partition
}

// send hands an event over; it waits while the inbox is full, which slows what
// sends to the pace of the machine.
func (o *Owner) send(ctx context.Context, apply func(c *scheduler.Core, now time.Time)) {
	select {
	case o.inbox <- newEvent(apply):
	case <-ctx.Done():
	}
}

// loop steps the machine after each event.
func (o *Owner) loop(ctx context.Context, core *scheduler.Core) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-o.inbox:
			o.lag.taken(e.happened, time.Now())
			e.apply(core, time.Now())
			o.drain(core)
		case <-tick.C:
		}
		o.refresh(core)
		core.SetAuthority(o.authority())
		began := time.Now()
		orders := core.Step(began)
		o.lag.stepped(time.Since(began))
		if reason := core.StepDownReason(); reason != "" {
			return errors.Wrap(ErrLost, reason)
		}
		o.carryOut(ctx, orders)
		o.deps.Metrics.observe(core.Counts, &o.counts)
		o.watchLag(core)
		wait.Pause(ctx, stepPause)
	}
}

// drain applies the events that are there already.
func (o *Owner) drain(core *scheduler.Core) {
	for range inboxSize {
		select {
		case e := <-o.inbox:
			e.apply(core, time.Now())
		default:
			return
		}
	}
}

// refresh hands over a new configuration and list of workers.
func (o *Owner) refresh(core *scheduler.Core) {
	if config := o.deps.Published.Config(); config != nil && config != o.config {
		o.config = config
		core.SetConfig(config)
	}
	now := time.Now()
	read := func() registry.Snapshot { return o.deps.Registry.Snapshot(now) }
	if list, ok := o.workers.next(read, o.deps.Confirmed(o.partition)); ok {
		own, elsewhere := o.split(list)
		core.SetForeignAddresses(elsewhere)
		core.SetWorkers(own, now)
	}
	if o.workers.wants() {
		o.deps.Confirm()
	}
}

// split picks the workers of the partition's services, and the addresses of all others.
func (o *Owner) split(list []workload.Worker) (own []workload.Worker, elsewhere []string) {
	for _, w := range list {
		if o.owns(w.Service) {
			own = append(own, w)
		} else {
			elsewhere = append(elsewhere, w.Address)
		}
	}
	return own, elsewhere
}
