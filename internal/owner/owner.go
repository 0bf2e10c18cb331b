// Package owner runs the scheduler core of one partition: it reads the partition's jobs,
// applies all events to the core one after the other, and carries out the core's orders.
//
// A partition has one owner after the other. The owners before and after an owner are its
// predecessor and its successor; "earlier" and "later" mean any owner with a lower or higher
// epoch. An owner's authority is its right to start tasks and renew leases;
// Deps.AuthorityUntil returns when it ends.
package owner

import (
	"context"
	"sync/atomic"
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
	// stepPause is the pause after each step of the core. Events that arrive meanwhile share
	// the next step, which bounds the processor time under load.
	stepPause = 3 * time.Millisecond
	// tickInterval is the interval of steps of the core without events.
	tickInterval = 50 * time.Millisecond
	inboxSize    = 1024
	// tailReadWait is how long a read of the partition waits for a record.
	tailReadWait      = time.Second
	readRetryInterval = 100 * time.Millisecond
	// tailReadPause is the pause after a read that returned records. It batches the reads of a
	// busy partition: without it each record, also the owner's own, would cost a read. The
	// delay rarely matters, since most jobs are stored through this node, which applies them
	// directly.
	tailReadPause = 100 * time.Millisecond
	fenceTimeout  = 10 * time.Second
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
	// OwnedUntil returns the time until which the membership group can't give a partition to
	// another node because of missed joins. The group may still reassign it in a rebalance.
	OwnedUntil func(partition int) time.Time
	// AuthorityUntil returns when the authority of the owner of a partition ends.
	AuthorityUntil func(partition int) time.Time
	// MaxOwnerOverlap is how long the authority may last after a successor has learned that
	// the partition is assigned to it.
	MaxOwnerOverlap time.Duration
	// RequestJoin requests an immediate join, which confirms the ownership.
	RequestJoin func()
	// Address is this node's address for other nodes.
	Address string
	// ReleasePredecessor asks the node at address to stop its owner of the partition if that
	// owner's epoch is lower than epoch. It returns the records that the stopped owner did
	// not store, nil if the node has none.
	ReleasePredecessor func(ctx context.Context, address string, partition int, epoch int64) ([]workload.Record, error)
	// RequestLoan sends a loan request to the owner of a partition. It returns nil if no owner has
	// answered or the owner has refused it.
	RequestLoan func(ctx context.Context, lender int, req workload.LoanRequest) *workload.LoanResponse
	Assignments Assignments
	// StoreLimits are the store's limits of the owners' writes.
	StoreLimits joblog.Limits
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
	tailWake  chan struct{}
	executor  *executor
	writer    *logWriter
	// loaded is closed once the core knows all stored records.
	loaded     chan struct{}
	workerList confirmedWorkers
	config     *workload.Config
	// assignedServices is how many services had a known partition when the core got config.
	assignedServices  int
	observedCounts    scheduler.Counts
	load              loadStats
	countsAtLoadStart scheduler.Counts // when the interval of load began
	// lastReadSentAt is the time as of which the partition is known: when the latest applied
	// read was sent, initially when Run began.
	lastReadSentAt time.Time
	// loadedAt is when loaded was closed.
	loadedAt time.Time
	// tailPosition is the offset up to which the tail has passed all records on to the core.
	tailPosition atomic.Int64
	rechecks     rechecks
	// membershipUnconfirmed is set while the membership may have lapsed, authorityLapsed while
	// the owner has no authority.
	membershipUnconfirmed, authorityLapsed bool
	// lastWrite is the latest write, which may be in flight.
	lastWrite      scheduler.WriteOrder
	loanReplies    loanReplies
	handoverReport *HandoverReport // set before Run returns if the handover was not stored
}

// New returns the owner of a partition. epoch must be greater than the epochs of all earlier
// owners.
func New(deps Deps, partition int, epoch int64) *Owner {
	log := joblog.New(deps.Store, deps.Hedger, joblog.JobsTopic, partition)
	logger := deps.Logger.With("partition", partition, "epoch", epoch)
	return &Owner{
		deps:      deps,
		partition: partition,
		epoch:     epoch,
		log:       log,
		writer:    &logWriter{log: log, epoch: epoch, partition: partition, limits: deps.StoreLimits, logger: logger, metrics: deps.Metrics},
		logger:    logger,
		inbox:     make(chan event, inboxSize),
		tailWake:  make(chan struct{}),
		executor:  newExecutor(),
		loaded:    make(chan struct{}),

		loanReplies: loanReplies{waiting: map[int64]chan<- *workload.LoanResponse{}},
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
	core := o.newCore(fencedAt, batch, predecessor.handover != nil)
	if predecessor.handover == nil {
		go o.findUnresolvedWorkers(ctx, core.EarlierLeasesExpireAt())
	}
	o.assignedServices = o.deps.Assignments.Count()
	if config := o.deps.Published.Config(); config != nil {
		o.config = config
		core.SetConfig(config) // the weights of workspaces count when jobs are added
	}
	records := o.decode(batch)
	restoreLoans(core, records)
	restoreLongLeases(core, append(records, predecessor.unstored...))
	core.SetLogEnd(batch.Next)
	applyRecords(core, records, core.AddSnapshotJob, time.Now())
	if reason := core.StepDownReason(); reason != "" {
		return errors.Wrap(ErrOwnershipLost, reason)
	}
	restoreProgress(core, records, predecessor.unstoredProgress)
	predecessor.apply(core, time.Now())
	o.tailPosition.Store(batch.Next)
	go o.tail(ctx, batch.Next)
	o.loadedAt = time.Now()
	close(o.loaded)
	o.logger.Info("partition taken over", "records", len(batch.Records), "took", time.Since(beganAt).String(), "handed_over", predecessor.handover != nil, "reported_jobs", len(predecessor.unstoredProgress))
	err = o.loop(ctx, core)
	o.deps.Metrics.observeHeldBack(o.partition, 0)
	o.deps.Metrics.observeHolds(o.partition, scheduler.Holds{})
	o.preserveHandover(ctx, core)
	return err
}

// fence rejects further writes of earlier owners. It must precede the snapshot, which then
// has all that they stored.
func (o *Owner) fence(ctx context.Context) error {
	records, err := joblog.Encode([]workload.Record{{Fence: &workload.Fence{Epoch: o.epoch}}}, nil)
	if err != nil {
		return err
	}
	deadline := time.Now().Add(fenceTimeout)
	for ctx.Err() == nil {
		status, err := o.log.Fence(ctx, o.epoch, records...)
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

// newCore returns the scheduler core for a partition that was read as batch. Without a handover any
// worker may run tasks of an earlier owner until findUnresolvedWorkers has found those that do.
func (o *Owner) newCore(fencedAt time.Time, batch platform.Batch, hasHandover bool) *scheduler.Core {
	_, lastTakeover := predecessorHandover(batch)
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
		Partition:          o.partition,
		PartitionOf:        o.deps.Assignments.PartitionOf,
		ConfigApplyTime:    o.deps.Bounds.MaxConfigApplyTime,
		AllowancesFrom:     o.allowancesFrom(lastTakeover, fencedAt),

		EarlierOwnersInLogOrder: hasHandover || lastTakeover == nil || lastTakeover.InLogOrder,
	}
	return scheduler.New(cfg, fencedAt, nil, !hasHandover)
}

// enqueue puts an event into the inbox. It blocks while the inbox is full, which slows
// senders down to the rate of the loop.
func (o *Owner) enqueue(ctx context.Context, apply func(c *scheduler.Core, now time.Time)) {
	select {
	case o.inbox <- newEvent(apply):
	case <-ctx.Done():
	}
}

// loop applies events and steps the core until ctx ends or the core steps down.
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
		o.wakeTail(core)
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
	assigned := o.deps.Assignments.Count()
	if config := o.deps.Published.Config(); config != nil && (config != o.config || assigned != o.assignedServices) {
		o.config, o.assignedServices = config, assigned
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
