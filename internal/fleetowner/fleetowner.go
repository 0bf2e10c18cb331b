// Package fleetowner carries out the decisions of package fleet on the one node that owns the
// fleet.
//
// A node owns the fleet while it owns the fleet's partition (package ownership), which runs an
// Owner with the epoch of that ownership. The epoch is above the epochs of all earlier owners and
// is the fencing token of this owner's writes and orders. At the takeover the Owner fences the
// fleet's log with it, so that the store refuses writes of earlier owners, and restores the waves
// and orders that they stored. Each order for a VM carries the token, and a VM that has seen a
// higher one refuses the order. When a write or an order is refused because of its token, Run
// returns ErrOwnershipLost.
//
// An order for a VM is stored before it is sent. For a while after it, a later owner gives no order
// for that VM, and counts it toward the MaxConcurrent of the wave that it was ordered for. An order
// is not sent once the VM's drain state is too old or another node may own the fleet.
package fleetowner

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/published"
	"github.com/yuccadrift/yuccadrift/internal/rejections"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Intervals and limits of an Owner.
const (
	stepInterval = 100 * time.Millisecond
	// vmListIntervalBusy is the pause between lists of VMs while operations are under way,
	// vmListIntervalIdle otherwise. Each list is a call with a cost.
	vmListIntervalBusy = 400 * time.Millisecond
	vmListIntervalIdle = 2 * time.Second
	// loadInterval is the pause between requests for the loads of the pools.
	loadInterval          = 200 * time.Millisecond
	takeoverRetryInterval = 200 * time.Millisecond
	inboxSize             = 256
	maxOrdersInFlight     = 32
)

// ErrOwnershipLost is returned by Run when the store or a VM has seen a later owner, or the owner's records
// can no longer be stored.
var ErrOwnershipLost = errors.New("ownership of the fleet is lost")

// VMs lists VMs and sends orders for them.
type VMs interface {
	// List returns all VMs. With a platform.PartialListError it returns those whose entries are usable.
	List(ctx context.Context) ([]workload.VM, error)
	Move(ctx context.Context, h platform.OrderIssuer, vm, pool string) (platform.VMOrderStatus, error)
	Maintain(ctx context.Context, h platform.OrderIssuer, vm string, wave int64) (platform.VMOrderStatus, error)
}

// Services calls the owners of the services' jobs. A service and its pool of VMs have the same name.
type Services interface {
	// RequestDrains requests drains of a service's workers and returns their states in the same order.
	RequestDrains(ctx context.Context, service string, workers []string) (states []workload.DrainState, ok bool)
	LoadsOf(ctx context.Context, service string, leaving []string, incoming workload.Resources) ([]workload.ServiceLoad, bool)
}

// Store is the part of the platform's store that an Owner uses.
type Store interface {
	joblog.Store
	WriteWaveState(ctx context.Context, wave int64, state workload.WaveState) (platform.StoreStatus, error)
}

// Deps are the dependencies of an Owner.
type Deps struct {
	Node      string
	Store     Store
	Hedger    *hedge.Hedger
	VMs       VMs
	Services  Services
	Published *published.Follower
	Bounds    platform.Bounds
	// Assignments are the known partitions of services; nil if services are assigned elsewhere.
	Assignments Assignments
	// Partitions is the number of partitions of the topic of jobs.
	Partitions int
	// OwnedUntil returns until when no other node can own the fleet; nil means no limit.
	OwnedUntil func() time.Time
	Logger     hclog.Logger
	Metrics    *Metrics
}

type coreEvent func(c *fleet.Core, now time.Time)

// Owner owns the fleet while Run runs.
type Owner struct {
	deps   Deps
	epoch  int64
	log    *joblog.Log
	logger hclog.Logger
	inbox  chan coreEvent
	// orderSlots has an entry for each order for a VM in flight.
	orderSlots chan struct{}

	writer         *writer
	ownershipLost  chan error
	drainsInFlight map[string]bool // pools with a drain request in flight
	// waveStoresInFlight are the waves whose progress is being stored, nextWaveStores the later progress that waits
	// for that.
	waveStoresInFlight map[int64]bool
	nextWaveStores     map[int64]fleet.Action

	assigner       *assigner
	assignInFlight bool

	routeRecorder  *routeRecorder
	recordsRoutes  bool             // a record of routes is under way
	routesRecorded *workload.Config // the configuration whose routes were stored last

	pipelineReport pipelineReport
	overdueReasons overdueReasons
	unusableVMs    *rejections.Log
	vmListInFlight bool
	vmListSentAt   time.Time
	loadsInFlight  bool
	loadsSentAt    time.Time
}

// New returns the owner of the fleet. epoch must be above the epochs of all earlier owners; it is the
// fencing token of the owner's writes and orders.
func New(deps Deps, partition int, epoch int64) *Owner {
	log := joblog.New(deps.Store, deps.Hedger, joblog.FleetTopic, partition)
	return &Owner{
		deps:           deps,
		epoch:          epoch,
		log:            log,
		writer:         newWriter(log, epoch, deps.Logger),
		logger:         deps.Logger.With("epoch", epoch),
		inbox:          make(chan coreEvent, inboxSize),
		orderSlots:     make(chan struct{}, maxOrdersInFlight),
		ownershipLost:  make(chan error, 1),
		assigner:       newAssigner(deps, epoch),
		routeRecorder:  newRouteRecorder(deps, epoch),
		drainsInFlight: map[string]bool{},
		unusableVMs:    rejections.New(deps.Logger, "entry of the list of VMs can't be used and is left out"),

		waveStoresInFlight: map[int64]bool{},
		nextWaveStores:     map[int64]fleet.Action{},
	}
}

// waveKeyPrefix begins the keys of stored waves.
const waveKeyPrefix = "wave/"

// storedWave is the stored progress of a wave.
type storedWave struct {
	DoneVMs []string `json:"done"` // VMs whose maintenance was ordered
	// FirstSeenAtMS is when an owner first learned of the wave, in Unix milliseconds; 0 in records of
	// earlier versions.
	FirstSeenAtMS int64 `json:"seen_ms,omitempty"`
}

// Run owns the fleet until ctx ends or the ownership is lost.
func (o *Owner) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	core := fleet.New(fleet.Settings{
		MigrationTime:           o.deps.Bounds.MigrationDuration,
		MaintenanceTime:         o.deps.Bounds.MaintenanceDuration,
		EarlierOrderQuietPeriod: o.deps.Bounds.HolderLease,
	}, time.Now())
	if err := o.takeOver(ctx, core); err != nil {
		return err
	}
	go o.writer.run(ctx)
	o.logger.Info("fleet taken over")
	tick := time.NewTicker(stepInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case err := <-o.ownershipLost:
			return err
		case e := <-o.inbox:
			e(core, time.Now())
			continue
		case <-tick.C:
		}
		o.step(ctx, core, time.Now())
	}
}

// takeOver fences earlier owners and restores the stored waves and orders.
func (o *Owner) takeOver(ctx context.Context, core *fleet.Core) error {
	for ctx.Err() == nil {
		status, err := o.log.Fence(ctx, o.epoch)
		if status == platform.StoreFenced {
			return errors.Wrap(ErrOwnershipLost, "a later owner has fenced the fleet")
		}
		if status != platform.StoreOK {
			o.logger.Warn("fleet can't be fenced, retrying", "status", status.String(), "error", err)
			wait.Pause(ctx, takeoverRetryInterval)
			continue
		}
		batch, status, err := o.log.Snapshot(ctx)
		if status != platform.StoreOK {
			o.logger.Warn("stored waves can't be read, retrying", "status", status.String(), "error", err)
			wait.Pause(ctx, takeoverRetryInterval)
			continue
		}
		o.restore(core, batch)
		return nil
	}
	return ctx.Err()
}

func (o *Owner) restore(core *fleet.Core, batch platform.Batch) {
	now := time.Now()
	for _, r := range batch.Records {
		if len(r.Value) == 0 {
			continue
		}
		if err := restoreRecord(core, r, now); err != nil {
			o.logger.Error("stored record of the fleet can't be decoded and is ignored", "key", r.Key, "error", err)
		}
	}
}

func restoreRecord(core *fleet.Core, r platform.KeyedRecord, now time.Time) error {
	if vm, ok := strings.CutPrefix(r.Key, vmKeyPrefix); ok {
		stored := storedOrder{Wave: fleet.UnknownWave}
		if err := json.Unmarshal(r.Value, &stored); err != nil {
			return errors.Wrap(err, "order")
		}
		core.RecordEarlierOrder(vm, stored.Wave, time.UnixMilli(stored.OrderedAtMS))
		return nil
	}
	number, ok := strings.CutPrefix(r.Key, waveKeyPrefix)
	if !ok {
		return nil
	}
	wave, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		return errors.Wrap(err, "number of a wave")
	}
	var stored storedWave
	if err := json.Unmarshal(r.Value, &stored); err != nil {
		return errors.Wrap(err, "wave")
	}
	var firstSeenAt time.Time
	if stored.FirstSeenAtMS > 0 {
		firstSeenAt = time.UnixMilli(stored.FirstSeenAtMS)
	}
	core.RestoreWave(wave, stored.DoneVMs, firstSeenAt, now)
	return nil
}

func (o *Owner) step(ctx context.Context, core *fleet.Core, now time.Time) {
	config := o.deps.Published.Config()
	if config == nil {
		return
	}
	o.assignMissing(ctx, config)
	o.recordRoutes(ctx, config)
	core.SetConfig(config)
	core.SetWaves(o.deps.Published.Waves(), now)
	o.refresh(ctx, core, config, now)
	o.execute(ctx, core.Step(now))
	o.reportPipeline(core.PipelineState(now), now)
	o.reportOverdue(core.OverdueVMs(now))
}

// refresh requests the list of VMs and the loads of the pools when they are due.
func (o *Owner) refresh(ctx context.Context, core *fleet.Core, config *workload.Config, now time.Time) {
	listInterval := vmListIntervalIdle
	if core.NeedsFrequentVMLists() {
		listInterval = vmListIntervalBusy
	}
	if !o.vmListInFlight && now.Sub(o.vmListSentAt) >= listInterval {
		o.vmListInFlight = true
		o.vmListSentAt = now
		go o.listVMs(ctx)
	}
	if !o.loadsInFlight && now.Sub(o.loadsSentAt) >= loadInterval {
		o.loadsInFlight = true
		o.loadsSentAt = now
		workersDue, incoming := core.WorkersDueForMaintenance(), core.IncomingByPool()
		go o.readLoads(ctx, config, workersDue, incoming)
	}
}

func (o *Owner) enqueue(ctx context.Context, e coreEvent) {
	select {
	case o.inbox <- e:
	case <-ctx.Done():
	}
}

func (o *Owner) listVMs(ctx context.Context) {
	requestedAt := time.Now()
	vms, err := o.deps.VMs.List(ctx)
	var partial *platform.PartialListError
	lacksVMs := errors.As(err, &partial)
	isUsable := err == nil || lacksVMs
	if lacksVMs {
		for _, entry := range partial.Unusable {
			o.unusableVMs.Reject(entry.Name, entry.Reason)
		}
	} else if err != nil {
		o.logger.Warn("VMs can't be listed", "error", err)
	}
	o.enqueue(ctx, func(c *fleet.Core, _ time.Time) {
		o.vmListInFlight = false
		if isUsable {
			c.SetVMs(vms, requestedAt)
			c.SetListLacksVMs(lacksVMs)
		}
	})
}

// readLoads requests the load of each pool from the owners of its service's jobs, and tells them which of its
// workers are due for maintenance and what capacity is on its way.
func (o *Owner) readLoads(ctx context.Context, config *workload.Config, workersDue fleet.WorkersByPool, incoming fleet.CapacityByPool) {
	var all []workload.ServiceLoad
	for _, s := range config.Services {
		if s.Standby {
			continue
		}
		loads, ok := o.deps.Services.LoadsOf(ctx, s.Name, workersDue[s.Name], incoming[s.Name])
		if !ok {
			o.logger.Debug("load of a service is not known", "service", s.Name)
		}
		for _, l := range loads {
			if l.Service == s.Name {
				all = append(all, l)
			}
		}
	}
	o.enqueue(ctx, func(c *fleet.Core, now time.Time) {
		o.loadsInFlight = false
		for _, l := range all {
			c.SetLoad(l, now)
		}
	})
}
