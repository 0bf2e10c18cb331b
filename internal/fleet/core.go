// Package fleet decides which VMs go through maintenance and which VMs move to another pool.
//
// Core is a pure state machine. The fleet's owner (package fleetowner) feeds it the waves, the
// list of VMs, the loads of the pools and the results of calls, and carries out the Actions that
// Step returns.
//
// Each service has one pool of VMs, with the same name. VMs of the spare pool are off.
//
// A VM is drained before it is moved or maintained: the owner of its worker lets short tasks
// finish, moves tasks that have a checkpoint, and keeps to the MaxUnavailable of long-running
// tasks. An order is given only while the worker is known to run nothing. Spare VMs need no drain.
//
// A maintenance wave has as many VMs under maintenance at once as it needs to be done within
// waveTargetShare of its window, at most its MaxConcurrent. VMs with long-running tasks begin
// first, a few per pool at once, because they can only be drained one after another. Of the
// others, the VM that its pool can best do without comes next. A wave is completed once every VM
// of it that is listed has had its maintenance ordered, or rejected by the platform as not
// applicable.
//
// Moves follow the number of VMs that each pool needs, which is computed from its load and from the
// rate at which jobs arrive. If there are too few VMs for all, each pool is limited to its fair
// share. If a pool's tasks wait for a label or size that none of its free VMs has, the pool gets a
// matching VM first. Other pools that are short of VMs get spare VMs, then the least used VMs of
// pools that have more than they have needed lately. VMs with long-running tasks are not moved. A
// VM that its pool has not needed for a while returns to the spare pool.
//
// A new owner gives no order for a VM within EarlierOrderQuietPeriod of an earlier owner's order.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Settings configures a Core.
type Settings struct {
	MigrationTime   time.Duration // duration of a VM's move to another pool
	MaintenanceTime time.Duration // duration of a VM's maintenance
	// EarlierOrderQuietPeriod is how long a new owner gives no order for a VM after an earlier
	// owner's order. The platform requires this time between orders of two holders for one VM.
	EarlierOrderQuietPeriod time.Duration
}

// Time limits of decisions.
const (
	// returnGracePeriod is how much longer than its move or maintenance a VM may take to come back
	// and to be listed.
	returnGracePeriod = 4 * time.Second
	// inFlightOrderSlack is added to the quiet period because an order of the earlier owner may have
	// been in flight at the takeover.
	inFlightOrderSlack = 500 * time.Millisecond
	// maxClockSkew is the largest assumed difference between the clocks of two nodes.
	maxClockSkew = 2500 * time.Millisecond
	// orderRetryInterval is the pause after an order that was not accepted.
	orderRetryInterval = 400 * time.Millisecond
	// waveTargetShare is the share of a wave's window within which the wave should be done. The
	// rest of the window is a reserve for failures and slow drains.
	waveTargetShare = 0.6
	// drainAndReturnTime is how long a VM is unavailable for its drain and its return, without the
	// maintenance itself.
	drainAndReturnTime = 2 * time.Second
	// slowDrainThreshold is how long a VM may take to be drained before its wave takes another VM
	// into maintenance in addition.
	slowDrainThreshold = 3 * time.Second
)

// operationPhase is the phase of an operation.
type operationPhase int

const (
	phaseDraining       operationPhase = iota
	phaseOrderInFlight                 // the order has not been answered
	phaseAwaitingReturn                // the order was accepted, the VM is not back yet
)

// operation is a maintenance or a move of one VM that is under way.
type operation struct {
	vm             string
	sourcePool     string // pool of the VM when the operation began
	worker         string // worker of the VM
	wave           int64  // 0 for a move
	hadLongRunning bool   // the VM had long-running tasks when its maintenance began
	targetPool     string // target of a move
	reason         string // reason of a move, for the log
	phase          operationPhase
	phaseSince     time.Time // start of the phase
	begunAt        time.Time // start of the operation
	retryAt        time.Time
	// drainState is the answer of the worker's owner to the drain request sent at drainRequestedAt.
	// All requests since drainStateSince have had the same answer.
	drainState                        workload.DrainState
	drainRequestedAt, drainStateSince time.Time
	moveExpiresAt                     time.Time // a move that has not been ordered by then is dropped
	// hasBeenListedUnavailable is set once a list requested after the order was accepted has shown
	// the VM in another state than up. Then the VM may come back with a worker of the same ID.
	hasBeenListedUnavailable bool
}

// waveProgress is what is known of a wave.
type waveProgress struct {
	wave          workload.Wave
	firstSeenAt   time.Time // when an owner first learned of the wave
	doneVMs       map[string]bool
	reportedState workload.WaveState
}

// Core holds the operations and waves that are under way. It is not safe for concurrent use.
type Core struct {
	settings          Settings
	startedAt         time.Time
	operations        map[string]*operation
	waves             map[int64]*waveProgress
	vms               []workload.VM
	vmsByID           map[string]workload.VM
	vmListRequestedAt time.Time // when vms was requested
	// lacksVMs is set if the latest list has entries that can't be used.
	lacksVMs  bool
	poolLoads map[string]*poolLoad
	sparePool string
	actions   []Action
	// workerFirstListedAt is when the first list that named a worker was requested.
	workerFirstListedAt map[string]time.Time
	// workerMissingSince is when the first of the latest lists was requested that show a VM as up without
	// a worker, by VM.
	workerMissingSince map[string]time.Time
	// earlierOrders are the orders of earlier owners, by VM.
	earlierOrders map[string]earlierOrder
	// unlistedOrders is when an order for a VM was accepted or its answer missed, by VM, until a list of
	// VMs that was requested later.
	unlistedOrders map[string]time.Time
	// dirtyWaves are the waves whose progress must be stored.
	dirtyWaves map[int64]bool
	pipeline   pipeline
	// acceptedOrders, lapsedOrders and turnedAwayOrders count results of orders, see PipelineState.
	acceptedOrders, lapsedOrders, turnedAwayOrders int
}

// Verb is the kind of an Action.
type Verb int

// Verbs of an Action.
const (
	DrainWorker Verb = iota // ask the worker's owner to drain it
	MaintainVM              // begin the maintenance of a VM
	MoveVM                  // move a VM to another pool
	StoreWave               // store the progress of a wave
)

// Action is a call that the fleet's owner must make now.
type Action struct {
	Verb   Verb
	VM     string
	Pool   string // for DrainWorker the pool of the worker, for MoveVM the target pool
	Worker string
	Wave   int64
	State  workload.WaveState
	// For StoreWave: the VMs of the wave whose maintenance was ordered, and when an owner first learned
	// of the wave.
	DoneVMs     []string
	FirstSeenAt time.Time
	// ValidUntil is until when a MaintainVM or MoveVM may be sent: the worker is known to run
	// nothing until then. Zero means no limit, as for a VM that is off.
	ValidUntil time.Time
	Reason     string
}

// New returns a Core for an owner that took over at now.
func New(cfg Settings, now time.Time) *Core {
	return &Core{
		settings:      cfg,
		startedAt:     now,
		operations:    map[string]*operation{},
		waves:         map[int64]*waveProgress{},
		vmsByID:       map[string]workload.VM{},
		poolLoads:     map[string]*poolLoad{},
		dirtyWaves:    map[int64]bool{},
		earlierOrders: map[string]earlierOrder{},
		pipeline:      newPipeline(),

		unlistedOrders: map[string]time.Time{},
	}
}

// SetWaves records all waves that were requested.
func (c *Core) SetWaves(waves []workload.Wave, now time.Time) {
	for _, w := range waves {
		if s, ok := c.waves[w.Number]; ok {
			s.wave = w
			continue
		}
		c.waves[w.Number] = &waveProgress{wave: w, firstSeenAt: now, doneVMs: map[string]bool{}}
		c.dirtyWaves[w.Number] = true
	}
}

// RestoreWave records the progress of a wave that an earlier owner stored. firstSeenAt is when an owner
// first learned of the wave, zero if that isn't known.
func (c *Core) RestoreWave(wave int64, doneVMs []string, firstSeenAt, now time.Time) {
	if firstSeenAt.IsZero() || firstSeenAt.After(now) {
		firstSeenAt = now
	}
	s, ok := c.waves[wave]
	if !ok {
		s = &waveProgress{wave: workload.Wave{Number: wave}, firstSeenAt: firstSeenAt, doneVMs: map[string]bool{}}
		c.waves[wave] = s
	}
	for _, vm := range doneVMs {
		s.doneVMs[vm] = true
	}
}

// SetVMs records the list of VMs that was requested at requestedAt.
func (c *Core) SetVMs(vms []workload.VM, requestedAt time.Time) {
	slices.SortFunc(vms, func(a, b workload.VM) int { return cmp.Compare(a.ID, b.ID) })
	c.vms = vms
	c.vmListRequestedAt = requestedAt
	maps.DeleteFunc(c.unlistedOrders, func(_ string, at time.Time) bool { return requestedAt.After(at) })
	clear(c.vmsByID)
	firstListedAt := make(map[string]time.Time, len(vms))
	for _, vm := range vms {
		c.vmsByID[vm.ID] = vm
		if vm.Worker == "" {
			continue
		}
		firstListedAt[vm.Worker] = requestedAt
		if at, known := c.workerFirstListedAt[vm.Worker]; known {
			firstListedAt[vm.Worker] = at
		}
	}
	c.workerFirstListedAt = firstListedAt
	c.recordMissingWorkers(requestedAt)
}

// SetListLacksVMs records whether the latest list lacks VMs because their entries can't be used.
func (c *Core) SetListLacksVMs(lacksVMs bool) { c.lacksVMs = lacksVMs }

// SetConfig sets the spare pool from the configuration. There may be none.
func (c *Core) SetConfig(config *workload.Config) {
	c.sparePool = ""
	for _, s := range config.Services {
		if s.Standby {
			c.sparePool = s.Name
		}
	}
}

// Step returns the actions that are due.
func (c *Core) Step(now time.Time) []Action {
	c.actions = nil
	c.finishOperations(now)
	if len(c.vms) > 0 {
		c.planWaves(now)
		c.planMoves(now)
		c.advanceDrains(now)
	}
	c.queueWaveStores()
	return c.actions
}

// finishOperations ends operations whose VM is back, and those whose VM is not back returnGracePeriod
// after it was expected.
func (c *Core) finishOperations(now time.Time) {
	for id, op := range c.operations {
		if op.phase != phaseAwaitingReturn {
			continue
		}
		vm, known := c.vmsByID[id]
		expectedTime := c.settings.MaintenanceTime
		if op.wave == 0 {
			expectedTime = c.settings.MigrationTime
		}
		if known && vm.State != workload.VMUp && c.vmListRequestedAt.After(op.phaseSince) {
			op.hasBeenListedUnavailable = true
		}
		isBack := c.vmListRequestedAt.After(op.phaseSince.Add(expectedTime)) && known && vm.State == workload.VMUp &&
			(vm.Pool == c.sparePool || vm.Worker != "" && (vm.Worker != op.worker || op.hasBeenListedUnavailable))
		if isBack || now.Sub(op.phaseSince) > expectedTime+returnGracePeriod {
			delete(c.operations, id)
		}
	}
}

// advanceDrains requests drains, and orders the VMs that are drained. It drops the operation of
// a VM that has left its pool or whose state has changed otherwise, and moves that have expired.
func (c *Core) advanceDrains(now time.Time) {
	for _, id := range c.operationIDs() {
		op := c.operations[id]
		if op.phase != phaseDraining || now.Before(op.retryAt) {
			continue
		}
		vm, known := c.vmsByID[id]
		switch {
		case !known || vm.State != workload.VMUp && vm.State != workload.VMDown || vm.Pool != op.sourcePool:
			delete(c.operations, id) // the VM has left its pool, or its state has changed otherwise
		case op.wave == 0 && now.After(op.moveExpiresAt):
			delete(c.operations, id)
		case !c.canOrder(id, now):
		case c.isSpare(vm) || vm.Pool != c.sparePool && vm.Worker == op.worker && c.isDrained(op, now):
			c.issueOrder(op, now) // spare VMs are off and run nothing
		case op.wave != 0 && c.hasNoWorker(vm, now):
			c.issueOrder(op, now)
		case vm.Worker == "":
			// The VM's worker may already run tasks, and the list may not show it yet.
		default:
			if op.worker != vm.Worker {
				op.worker = vm.Worker
				op.drainState = workload.NotDrained
			}
			c.actions = append(c.actions, Action{Verb: DrainWorker, VM: id, Pool: op.sourcePool, Worker: vm.Worker})
		}
	}
}

func (c *Core) operationIDs() []string {
	ids := make([]string, 0, len(c.operations))
	for id := range c.operations {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// NeedsFrequentVMLists reports whether the list of VMs is needed often: no VM is known yet, an
// operation is under way, or a wave is not completed.
func (c *Core) NeedsFrequentVMLists() bool {
	if len(c.operations) > 0 || len(c.vms) == 0 {
		return true
	}
	for _, s := range c.waves {
		if s.reportedState != workload.WaveCompleted {
			return true
		}
	}
	return false
}
