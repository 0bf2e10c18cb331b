// Package owner runs the scheduler core of one partition: it reads the partition's jobs,
// applies all events to the core one after the other, and carries out the core's orders.
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

// Intervals, timeouts and sizes of an owner.
const (
	// stepPause is the pause after each step. Events that arrive meanwhile share the next
	// step, which bounds the processor time under load.
	stepPause = 3 * time.Millisecond
	// tickInterval is the interval of steps without events.
	tickInterval = 50 * time.Millisecond
	inboxSize    = 1024
	// tailReadWait is how long a read of the partition waits for a record.
	tailReadWait      = time.Second
	readRetryInterval = 100 * time.Millisecond
	// tailReadPause is the pause after a read that returned records. It saves calls: without
	// it each record, also the owner's own, would cost a read. Most jobs are stored through
	// this node and known before they are read.
	tailReadPause = 100 * time.Millisecond
	// writeRetryInterval is the pause before a write is sent again.
	writeRetryInterval = 100 * time.Millisecond
	// workerListTimeout is how long a new owner waits for a list of workers that was read
	// after it fenced earlier owners.
	workerListTimeout = 3 * time.Second
	fenceTimeout      = 10 * time.Second
)

// ErrOwnershipLost is returned by Run if a later owner has fenced this one or the owner has
// stepped down.
var ErrOwnershipLost = errors.New("ownership is lost")

// Workers sends orders to workers.
type Workers interface {
	Start(ctx context.Context, w workload.Worker, s workload.Start) workload.WorkerAnswer
	Stop(ctx context.Context, w workload.Worker, task workload.TaskKey, run, token int64) workload.WorkerAnswer
	Throttle(ctx context.Context, w workload.Worker, task workload.TaskKey, run int64, percent int, token int64) workload.WorkerAnswer
	Poll(ctx context.Context, w workload.Worker, h workload.Poll) (workload.PollReport, workload.WorkerAnswer)
}

// Adviser requests tickets for the workers that may run a step.
type Adviser interface {
	RequestTickets(ctx context.Context, step workload.TaskKey, workers []string) ([]platform.Ticket, time.Duration, error)
}

// VMLister lists the VMs.
type VMLister interface {
	List(ctx context.Context) ([]workload.VM, error)
}

// Deps are the dependencies and settings that all owners of a node share.
type Deps struct {
	Store     joblog.Store
	Hedger    *hedge.Hedger
	Workers   Workers
	Adviser   Adviser
	VMs       VMLister
	Published *published.Follower
	Registry  *registry.Follower
	Logger    hclog.Logger
	Metrics   *Metrics
	Bounds    platform.Bounds
	// ConfirmingJoinSentAt returns when the latest join that confirmed the ownership of a
	// partition was sent: no other node had taken the partition over before.
	ConfirmingJoinSentAt func(partition int) time.Time
	// OwnedUntil returns the time until which no other node can own a partition, unless the
	// group reassigns all partitions.
	OwnedUntil func(partition int) time.Time
	// AuthorityUntil returns the time until which the owner of a partition may start tasks
	// and renew leases.
	AuthorityUntil func(partition int) time.Time
	// MaxOwnerOverlap is how long the authority may last after a successor has begun.
	MaxOwnerOverlap time.Duration
	// RequestJoin requests a join, which confirms the ownership, at once.
	RequestJoin func()
	// Address is this node's address for other nodes.
	Address string
	// ReleasePredecessor asks the node at an address to stop an owner of a partition with a
	// lower epoch than epoch. It returns the records that this owner could not store, nil if
	// the node knows no such owner.
	ReleasePredecessor func(ctx context.Context, address string, partition int, epoch int64) ([]workload.Record, error)
	// Partitions is the number of partitions of the topic of jobs.
	Partitions int
	// LeaseDuration is how long a run lives without a renewal of its lease.
	LeaseDuration time.Duration
}

// event is a change to be applied to the core.
type event struct {
	occurredAt time.Time
	apply      func(c *scheduler.Core, now time.Time)
}

// newEvent returns an event that occurred now.
func newEvent(apply func(c *scheduler.Core, now time.Time)) event {
	return event{occurredAt: time.Now(), apply: apply}
}

// Owner owns one partition and schedules its jobs while Run runs.
type Owner struct {
	deps      Deps
	partition int
	epoch     int64
	log       *joblog.Log
	logger    hclog.Logger
	inbox     chan event
	executor  *executor
	// loaded is closed once the core knows all stored records.
	loaded            chan struct{}
	workerList        confirmedWorkers
	config            *workload.Config
	observedCounts    scheduler.Counts
	load              loadStats
	countsAtLoadStart scheduler.Counts // when the interval of load began
	// lastReadSentAt is when the latest read of the partition was sent whose records were
	// applied.
	lastReadSentAt time.Time
	// membershipUnconfirmed is set while the membership may have lapsed, authorityLapsed while
	// nothing may be started or renewed.
	membershipUnconfirmed, authorityLapsed bool
	// lastWrite is the latest write, which may be in flight.
	lastWrite      scheduler.WriteOrder
	handoverReport *HandoverReport // set before Run returns if the handover could not be stored
}

// New returns the owner of a partition. epoch must be greater than the epochs of all earlier
// owners.
func New(deps Deps, partition int, epoch int64) *Owner {
	return &Owner{
		deps:      deps,
		partition: partition,
		epoch:     epoch,
		log:       joblog.New(deps.Store, deps.Hedger, joblog.JobsTopic, partition),
		logger:    deps.Logger.With("partition", partition, "epoch", epoch),
		inbox:     make(chan event, inboxSize),
		executor:  newExecutor(),
		loaded:    make(chan struct{}),
	}
}

// Run takes the partition over and runs its jobs until ctx ends or the ownership is lost.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	beganAt := time.Now()
	o.workerList.ownedSince = beganAt
	if err := o.fence(ctx); err != nil {
		return err
	}
	fencedAt := time.Now()
	o.lastReadSentAt = beganAt
	batch, predecessor, err := o.readPartition(ctx)
	if err != nil {
		return err
	}
	core := o.newCore(ctx, fencedAt, predecessor.handover != nil)
	o.applyBatch(core, batch, time.Now())
	restoreProgress(core, batch, predecessor.unstoredProgress)
	predecessor.apply(core, time.Now())
	go o.tail(ctx, batch.Next)
	close(o.loaded)
	o.logger.Info("partition taken over", "records", len(batch.Records), "took", time.Since(beganAt).String(), "handed_over", predecessor.handover != nil, "reported_jobs", len(predecessor.unstoredProgress))
	err = o.loop(ctx, core)
	o.preserveHandover(ctx, core)
	return err
}

// fence rejects further writes of earlier owners. It must precede the snapshot, which then
// has all that they stored.
func (o *Owner) fence(ctx context.Context) error {
	deadline := time.Now().Add(fenceTimeout)
	for ctx.Err() == nil {
		status, err := o.log.Fence(ctx, o.epoch)
		switch status {
		case platform.StoreOK:
			return nil
		case platform.StoreFenced:
			return errors.Wrap(ErrOwnershipLost, "a later owner has fenced the partition")
		}
		o.logger.Warn("partition can't be fenced yet", "status", status.String(), "error", err)
		if time.Now().After(deadline) {
			return errors.Wrap(err, "fence the partition")
		}
		wait.Pause(ctx, readRetryInterval)
	}
	return ctx.Err()
}

func (o *Owner) readSnapshot(ctx context.Context) (platform.Batch, error) {
	for ctx.Err() == nil {
		batch, status, err := o.log.Snapshot(ctx)
		if status == platform.StoreOK {
			return batch, nil
		}
		o.logger.Warn("stored jobs can't be read yet", "status", status.String(), "error", err)
		wait.Pause(ctx, readRetryInterval)
	}
	return platform.Batch{}, ctx.Err()
}

// newCore returns the scheduler core. Without a handover the core starts with unresolved
// workers: the registered workers and those on the list of VMs, which may run what an
// earlier owner started.
func (o *Owner) newCore(ctx context.Context, fencedAt time.Time, hasHandover bool) *scheduler.Core {
	cfg := scheduler.Settings{
		Address:            o.deps.Address,
		Epoch:              o.epoch,
		LeaseDuration:      o.deps.LeaseDuration,
		MaxOwnerOverlap:    o.deps.MaxOwnerOverlap,
		MaxLeaseDuration:   o.deps.Bounds.MaxLeaseDuration,
		JobRetention:       o.deps.Bounds.JobRetention,
		RemoteDataSlowdown: o.deps.Bounds.RemoteDataSlowdown,
		MaxStopDuration:    o.deps.Bounds.MaxStopDuration,
		GangTimeout:        o.deps.Bounds.GangTimeout,
	}
	if hasHandover {
		return scheduler.New(cfg, fencedAt, nil, false)
	}
	snap := o.awaitWorkerList(ctx, fencedAt)
	mayBeIncomplete := !snap.IsComplete || snap.ReadSentAt.Before(fencedAt)
	vms, err := o.deps.VMs.List(ctx)
	if err != nil {
		o.logger.Warn("VMs can't be listed at takeover, all registered workers count as unresolved", "error", err)
	} else {
		mayBeIncomplete = false
	}
	unresolved := unresolvedWorkers(snap.Workers, vms, o.sparePool(), o.ownsService)
	return scheduler.New(cfg, fencedAt, unresolved, mayBeIncomplete)
}

// sparePool returns the name of the spare pool, "" if there is none.
func (o *Owner) sparePool() string {
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

func (o *Owner) awaitWorkerList(ctx context.Context, since time.Time) registry.Snapshot {
	deadline := since.Add(workerListTimeout)
	for {
		snap := o.deps.Registry.Snapshot(time.Now())
		if !snap.ReadSentAt.Before(since) || ctx.Err() != nil || time.Now().After(deadline) {
			return snap
		}
		wait.Pause(ctx, readRetryInterval/4)
	}
}

// ownsService reports whether a service's jobs are in the partition. A service that the
// configuration doesn't name has none: a foreign registry entry may name it, and waiting for
// a worker that never answers would delay a takeover by a lease.
func (o *Owner) ownsService(service string) bool {
	if config := o.deps.Published.Config(); config != nil && !config.HasService(service) {
		return false
	}
	return joblog.PartitionOf(service, o.deps.Partitions) == o.partition
}

// enqueue puts an event into the inbox. It blocks while the inbox is full, which slows
// senders down to the rate of the loop.
func (o *Owner) enqueue(ctx context.Context, apply func(c *scheduler.Core, now time.Time)) {
	select {
	case o.inbox <- newEvent(apply):
	case <-ctx.Done():
	}
}

// loop applies events and steps the core.
func (o *Owner) loop(ctx context.Context, core *scheduler.Core) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case e := <-o.inbox:
			o.load.recordEventDelay(e.occurredAt, time.Now())
			e.apply(core, time.Now())
			o.applyQueuedEvents(core)
		case <-tick.C:
		}
		o.refreshInputs(core)
		core.SetAuthority(o.refreshAuthority())
		began := time.Now()
		orders := core.Step(began)
		o.load.recordStepTime(time.Since(began))
		if reason := core.StepDownReason(); reason != "" {
			return errors.Wrap(ErrOwnershipLost, reason)
		}
		o.execute(ctx, orders)
		o.deps.Metrics.observeCounts(core.Counts, &o.observedCounts)
		o.logOverload(core)
		wait.Pause(ctx, stepPause)
	}
}

// applyQueuedEvents applies the events that are in the inbox already.
func (o *Owner) applyQueuedEvents(core *scheduler.Core) {
	for range inboxSize {
		select {
		case e := <-o.inbox:
			e.apply(core, time.Now())
		default:
			return
		}
	}
}

// refreshInputs gives the core a new configuration or list of workers.
func (o *Owner) refreshInputs(core *scheduler.Core) {
	if config := o.deps.Published.Config(); config != nil && config != o.config {
		o.config = config
		core.SetConfig(config)
	}
	now := time.Now()
	read := func() registry.Snapshot { return o.deps.Registry.Snapshot(now) }
	if list, ok := o.workerList.next(read, o.deps.ConfirmingJoinSentAt(o.partition)); ok {
		own, otherAddresses := o.splitWorkers(list)
		core.SetForeignAddresses(otherAddresses)
		core.SetWorkers(own, now)
	}
	if o.workerList.shouldRequestConfirmation() {
		o.deps.RequestJoin()
	}
}

// splitWorkers returns the workers of the partition's services, and the addresses of all
// other workers.
func (o *Owner) splitWorkers(list []workload.Worker) (own []workload.Worker, otherAddresses []string) {
	for _, w := range list {
		if o.ownsService(w.Service) {
			own = append(own, w)
		} else {
			otherAddresses = append(otherAddresses, w.Address)
		}
	}
	return own, otherAddresses
}
