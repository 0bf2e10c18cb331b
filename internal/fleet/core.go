// Package fleet decides on VMs: which go through maintenance now, and which
// change their pool. It is pure; the fleet's owner feeds it and carries its
// orders out. A VM is emptied before it is ordered: its worker's owner lets what
// is short finish, moves what has a checkpoint and keeps the budgets of lasting
// tasks.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Settings of a Core.
type Settings struct {
	MigrationTime   time.Duration // of a VM to another pool
	MaintenanceTime time.Duration // of a VM
	// EarlierOrderQuietPeriod is how long a new owner leaves VMs alone that an earlier one has
	// ordered: orders of two holders for one VM are to be this far apart.
	EarlierOrderQuietPeriod time.Duration
}

// Times that decisions rest on.
const (
	// returnGracePeriod is what a VM may take longer than told to come back, and the
	// list to show it.
	returnGracePeriod = 4 * time.Second
	// inFlightOrderSlack is added to the time that a VM is left alone, for an order of
	// the earlier owner that is on its way.
	inFlightOrderSlack = 500 * time.Millisecond
	// maxClockSkew is how far the clocks of two nodes may be apart.
	maxClockSkew = 2500 * time.Millisecond
	// orderRetryInterval is the pause after an order that was not taken.
	orderRetryInterval = 400 * time.Millisecond
	// waveTargetShare is the part of a wave's time in which it is to be done; the rest
	// is for what comes between.
	waveTargetShare = 0.6
	// drainAndReturnTime is what one VM's maintenance takes with emptying it and its
	// return, without the maintenance itself.
	drainAndReturnTime = 2 * time.Second
	// slowDrainThreshold is how long a VM may take to be emptied before another one of its
	// pool is taken along.
	slowDrainThreshold = 3 * time.Second
)

// operationPhase is how far the work on a VM is.
type operationPhase int

const (
	phaseDraining       operationPhase = iota
	phaseOrderInFlight                 // an order is in flight
	phaseAwaitingReturn                // the order was taken; the VM is not back yet
)

// operation is what is under way on a VM.
type operation struct {
	vm             string
	sourcePool     string // it was in
	worker         string // it had
	wave           int64  // 0 for a move
	hadLongRunning bool   // the VM had lasting tasks when a wave's work began
	targetPool     string // pool of a move
	reason         string // of a move
	phase          operationPhase
	phaseSince     time.Time // of the phase
	retryAt        time.Time
	// drainState is what the worker's owner said in answer to a question of askedAt, and to
	// each one since saidSince.
	drainState                        workload.DrainState
	drainRequestedAt, drainStateSince time.Time
	moveExpiresAt                     time.Time // a move is dropped after this
	// hasBeenListedAway is set once a list has shown the VM as away after its order: it may come back
	// with a worker of the same ID.
	hasBeenListedAway bool
}

// waveProgress is what is known of a wave.
type waveProgress struct {
	wave          workload.Wave
	firstSeenAt   time.Time // first seen here
	doneVMs       map[string]bool
	reportedState workload.WaveState
}

// Core holds what is under way. It is not safe for concurrent use.
type Core struct {
	settings          Settings
	startedAt         time.Time
	operations        map[string]*operation
	waves             map[int64]*waveProgress
	vms               []workload.VM
	vmsByID           map[string]workload.VM
	vmListRequestedAt time.Time // when the list was asked for
	poolLoads         map[string]*poolLoad
	sparePool         string
	actions           []Action
	// workerFirstListedAt is when a worker was listed first.
	workerFirstListedAt map[string]time.Time
	// earlierOrders are the VMs that an earlier owner ordered.
	earlierOrders map[string]earlierOrder
	// dirtyWaves are to be stored.
	dirtyWaves map[int64]bool
}

// Verb says what an Action does.
type Verb int

// The verbs.
const (
	DrainWorker Verb = iota // ask the worker's owner to empty it
	MaintainVM              // begin maintenance
	MoveVM                  // move to a pool
	StoreWave               // store how far a wave is
)

// Action is something to be done now.
type Action struct {
	Verb    Verb
	VM      string
	Pool    string // of the worker for Empty, the new one for Move
	Worker  string
	Wave    int64
	State   workload.WaveState
	DoneVMs []string // VMs of the wave, for Store
	// ValidUntil is until when a Maintain or Move may be sent: the VM's worker is surely
	// empty so long. Zero is for ever, as for a VM that is off.
	ValidUntil time.Time
	Reason     string
}

// New returns a core of an owner that took over at now.
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
	}
}

// SetWaves takes all waves that were asked for.
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

// RestoreWave takes what an earlier owner stored of a wave.
func (c *Core) RestoreWave(wave int64, doneVMs []string, now time.Time) {
	s, ok := c.waves[wave]
	if !ok {
		s = &waveProgress{wave: workload.Wave{Number: wave}, firstSeenAt: now, doneVMs: map[string]bool{}}
		c.waves[wave] = s
	}
	for _, vm := range doneVMs {
		s.doneVMs[vm] = true
	}
}

// earlierOrder is an order of an earlier owner for a VM.
type earlierOrder struct {
	wave       int64     // 0 for a move, AnyWave where it isn't known
	quietUntil time.Time // the VM is left alone
}

// UnknownWave stands for the wave of an order of which it isn't known what it was for.
const UnknownWave = -1

// RecordEarlierOrder notes that an earlier owner has ordered a VM at a time by its
// clock, for a wave or, with 0, to another pool.
func (c *Core) RecordEarlierOrder(vm string, wave int64, orderedAt time.Time) {
	quietUntil := orderedAt.Add(c.settings.EarlierOrderQuietPeriod + maxClockSkew)
	if latest := c.startedAt.Add(c.settings.EarlierOrderQuietPeriod + inFlightOrderSlack); quietUntil.After(latest) {
		quietUntil = latest
	}
	c.earlierOrders[vm] = earlierOrder{wave: wave, quietUntil: quietUntil}
}

// canOrder tells whether a VM may be ordered by this owner yet.
func (c *Core) canOrder(vm string, now time.Time) bool {
	return !now.Before(c.earlierOrders[vm].quietUntil)
}

// SetVMs takes the list of VMs that was asked for at a time.
func (c *Core) SetVMs(vms []workload.VM, requestedAt time.Time) {
	slices.SortFunc(vms, func(a, b workload.VM) int { return cmp.Compare(a.ID, b.ID) })
	c.vms = vms
	c.vmListRequestedAt = requestedAt
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
}

// SetConfig takes the services; one of them may be the spare pool.
func (c *Core) SetConfig(config *workload.Config) {
	c.sparePool = ""
	for _, s := range config.Services {
		if s.Standby {
			c.sparePool = s.Name
		}
	}
}

// Step returns what is due.
func (c *Core) Step(now time.Time) []Action {
	c.actions = nil
	c.finishReturned(now)
	if len(c.vms) > 0 {
		c.planWaves(now)
		c.planMoves(now)
		c.advanceDrains(now)
	}
	c.queueWaveStores()
	return c.actions
}

// finishReturned ends works whose VM is back.
func (c *Core) finishReturned(now time.Time) {
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
			op.hasBeenListedAway = true
		}
		isBack := c.vmListRequestedAt.After(op.phaseSince.Add(expectedTime)) && known && vm.State == workload.VMUp &&
			(vm.Pool == c.sparePool || vm.Worker != "" && (vm.Worker != op.worker || op.hasBeenListedAway))
		if isBack || now.Sub(op.phaseSince) > expectedTime+returnGracePeriod {
			delete(c.operations, id)
		}
	}
}

// advanceDrains carries works on: asks for emptying, and orders what is empty.
func (c *Core) advanceDrains(now time.Time) {
	for _, id := range c.operationIDs() {
		op := c.operations[id]
		if op.phase != phaseDraining || now.Before(op.retryAt) {
			continue
		}
		vm, known := c.vmsByID[id]
		switch {
		case !known || vm.State != workload.VMUp && vm.State != workload.VMDown || vm.Pool != op.sourcePool:
			delete(c.operations, id) // it left, or something else happened to it
		case op.wave == 0 && now.After(op.moveExpiresAt):
			delete(c.operations, id)
		case !c.canOrder(id, now):
		case vm.Pool == c.sparePool || vm.Worker == op.worker && c.isDrained(op, now):
			c.issueOrder(op, now) // spare VMs are off and run nothing
		case vm.Worker == "":
			// The list lags: its worker may be there already, with tasks.
		default:
			if op.worker != vm.Worker {
				op.worker = vm.Worker
				op.drainState = workload.NotDrained
			}
			c.actions = append(c.actions, Action{Verb: DrainWorker, VM: id, Pool: op.sourcePool, Worker: vm.Worker})
		}
	}
}

// isDrained tells whether a VM's worker surely runs nothing. Where its process hasn't
// answered, its successor may be there by now and run tasks, which an order would cut, and
// the list lags.
func (c *Core) isDrained(op *operation, now time.Time) bool {
	if now.Sub(op.drainRequestedAt) >= drainStateValidity {
		return false
	}
	return op.drainState == workload.Drained ||
		op.drainState == workload.DrainedUnconfirmed && c.vmListRequestedAt.After(op.drainStateSince) && now.Sub(c.vmListRequestedAt) < maxVMListAge
}

// maxVMListAge is how old the list may be to name the worker that is there: one takes
// longer to start, register and get its first task.
const maxVMListAge = 600 * time.Millisecond

// drainStateValidity is how long it counts that a worker is vacant: its owner keeps it closed
// for a while after the last wish.
const drainStateValidity = time.Second

func (c *Core) issueOrder(op *operation, now time.Time) {
	op.phase = phaseOrderInFlight
	op.phaseSince = now
	a := Action{Verb: MoveVM, VM: op.vm, Pool: op.targetPool, Reason: op.reason}
	if op.wave != 0 {
		a = Action{Verb: MaintainVM, VM: op.vm, Wave: op.wave, Reason: "emptied for maintenance"}
	}
	if op.drainState != workload.NotDrained {
		a.ValidUntil = op.drainRequestedAt.Add(drainStateValidity)
	}
	c.actions = append(c.actions, a)
}

// HandleDrainResult takes the answer to an Empty that was asked at a time. The answer counts
// from then: a process that stood still since would take it for a fresh one, while
// the worker is open again and runs tasks.
func (c *Core) HandleDrainResult(vm, worker string, state workload.DrainState, requestedAt time.Time) {
	op := c.operations[vm]
	if op == nil || op.phase != phaseDraining || op.worker != worker {
		return
	}
	if state != op.drainState {
		op.drainStateSince = requestedAt
	}
	op.drainState = state
	op.drainRequestedAt = requestedAt
}

// OrderResult is how an order for a VM ended.
type OrderResult int

// Results of an order.
const (
	OrderAccepted       OrderResult = iota
	OrderRefused                    // not carried out, may be tried again
	OrderInvalid                    // makes no sense (any more)
	OrderOutcomeUnknown             // may have been carried out
)

// HandleOrderResult takes the outcome of a Maintain or Move.
func (c *Core) HandleOrderResult(vm string, result OrderResult, now time.Time) {
	op := c.operations[vm]
	if op == nil || op.phase != phaseOrderInFlight {
		return
	}
	op.phaseSince = now
	switch result {
	case OrderAccepted:
		op.phase = phaseAwaitingReturn
		if s := c.waves[op.wave]; s != nil {
			s.doneVMs[vm] = true
			c.dirtyWaves[op.wave] = true
		}
	case OrderRefused, OrderOutcomeUnknown:
		// Ordering again what was carried out is answered as taken.
		op.phase = phaseDraining
		op.drainState = workload.NotDrained
		op.retryAt = now.Add(orderRetryInterval)
	case OrderInvalid:
		if s := c.waves[op.wave]; s != nil {
			s.doneVMs[vm] = true
			c.dirtyWaves[op.wave] = true
		}
		delete(c.operations, vm)
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

// NeedsFrequentVMLists tells whether the list of VMs is needed often.
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
