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
	Migration   time.Duration // of a VM to another pool
	Maintenance time.Duration // of a VM
	// QuietFor is how long a new owner leaves VMs alone that an earlier one has
	// ordered: orders of two holders for one VM are to be this far apart.
	QuietFor time.Duration
}

// Times that decisions rest on.
const (
	// settleSlack is what a VM may take longer than told to come back, and the
	// list to show it.
	settleSlack = 4 * time.Second
	// quietSlack is added to the time that a VM is left alone, for an order of
	// the earlier owner that is on its way.
	quietSlack = 500 * time.Millisecond
	// clockSlack is how far the clocks of two nodes may be apart.
	clockSlack = 2500 * time.Millisecond
	// orderRetry is the pause after an order that was not taken.
	orderRetry = 400 * time.Millisecond
	// waveShare is the part of a wave's time in which it is to be done; the rest
	// is for what comes between.
	waveShare = 0.6
	// turnTime is what one VM's maintenance takes with emptying it and its
	// return, without the maintenance itself.
	turnTime = 2 * time.Second
	// patience is how long a VM may take to be emptied before another one of its
	// pool is taken along.
	patience = 3 * time.Second
)

// phase is how far the work on a VM is.
type phase int

const (
	phaseEmptying phase = iota
	phaseOrdered        // an order is in flight
	phaseSettling       // the order was taken; the VM is not back yet
)

// work is what is under way on a VM.
type work struct {
	vm      string
	pool    string // it was in
	worker  string // it had
	wave    int64  // 0 for a move
	lasting bool   // the VM had lasting tasks when a wave's work began
	to      string // pool of a move
	reason  string // of a move
	phase   phase
	since   time.Time // of the phase
	retryAt time.Time
	// vacancy is what the worker's owner said in answer to a question of askedAt, and to
	// each one since saidSince.
	vacancy            workload.Vacancy
	askedAt, saidSince time.Time
	wantedFor          time.Time // a move is dropped after this
	// seenAway is set once a list has shown the VM as away after its order: it may come back
	// with a worker of the same ID.
	seenAway bool
}

// waveState is what is known of a wave.
type waveState struct {
	wave  workload.Wave
	begun time.Time // first seen here
	done  map[string]bool
	state workload.WaveState
}

// Core holds what is under way. It is not safe for concurrent use.
type Core struct {
	cfg     Settings
	started time.Time
	works   map[string]*work
	waves   map[int64]*waveState
	vms     []workload.VM
	byID    map[string]workload.VM
	listed  time.Time // when the list was asked for
	loads   map[string]*poolLoad
	standby string
	out     []Action
	// workerSeen is when a worker was listed first.
	workerSeen map[string]time.Time
	// quiet are the VMs that an earlier owner ordered.
	quiet map[string]earlierOrder
	// dirtyWaves are to be stored.
	dirtyWaves map[int64]bool
}

// Verb says what an Action does.
type Verb int

// The verbs.
const (
	Empty    Verb = iota // ask the worker's owner to empty it
	Maintain             // begin maintenance
	Move                 // move to a pool
	Store                // store how far a wave is
)

// Action is something to be done now.
type Action struct {
	Verb   Verb
	VM     string
	Pool   string // of the worker for Empty, the new one for Move
	Worker string
	Wave   int64
	State  workload.WaveState
	Done   []string // VMs of the wave, for Store
	// Until is until when a Maintain or Move may be sent: the VM's worker is surely
	// empty so long. Zero is for ever, as for a VM that is off.
	Until  time.Time
	Reason string
}

// New returns a core of an owner that took over at now.
func New(cfg Settings, now time.Time) *Core {
	return &Core{
		cfg:        cfg,
		started:    now,
		works:      map[string]*work{},
		waves:      map[int64]*waveState{},
		byID:       map[string]workload.VM{},
		loads:      map[string]*poolLoad{},
		dirtyWaves: map[int64]bool{},
		quiet:      map[string]earlierOrder{},
	}
}

// SetWaves takes all waves that were asked for.
func (c *Core) SetWaves(waves []workload.Wave, now time.Time) {
	for _, w := range waves {
		if s, ok := c.waves[w.Number]; ok {
			s.wave = w
			continue
		}
		c.waves[w.Number] = &waveState{wave: w, begun: now, done: map[string]bool{}}
		c.dirtyWaves[w.Number] = true
	}
}

// Recalled takes what an earlier owner stored of a wave.
func (c *Core) Recalled(wave int64, done []string, now time.Time) {
	s, ok := c.waves[wave]
	if !ok {
		s = &waveState{wave: workload.Wave{Number: wave}, begun: now, done: map[string]bool{}}
		c.waves[wave] = s
	}
	for _, vm := range done {
		s.done[vm] = true
	}
}

// earlierOrder is an order of an earlier owner for a VM.
type earlierOrder struct {
	wave  int64     // 0 for a move, AnyWave where it isn't known
	until time.Time // the VM is left alone
}

// AnyWave stands for the wave of an order of which it isn't known what it was for.
const AnyWave = -1

// OrderedBefore notes that an earlier owner has ordered a VM at a time by its
// clock, for a wave or, with 0, to another pool.
func (c *Core) OrderedBefore(vm string, wave int64, at time.Time) {
	until := at.Add(c.cfg.QuietFor + clockSlack)
	if latest := c.started.Add(c.cfg.QuietFor + quietSlack); until.After(latest) {
		until = latest
	}
	c.quiet[vm] = earlierOrder{wave: wave, until: until}
}

// mayOrder tells whether a VM may be ordered by this owner yet.
func (c *Core) mayOrder(vm string, now time.Time) bool {
	return !now.Before(c.quiet[vm].until)
}

// SetVMs takes the list of VMs that was asked for at a time.
func (c *Core) SetVMs(vms []workload.VM, asked time.Time) {
	slices.SortFunc(vms, func(a, b workload.VM) int { return cmp.Compare(a.ID, b.ID) })
	c.vms = vms
	c.listed = asked
	clear(c.byID)
	seen := make(map[string]time.Time, len(vms))
	for _, vm := range vms {
		c.byID[vm.ID] = vm
		if vm.Worker == "" {
			continue
		}
		seen[vm.Worker] = asked
		if at, known := c.workerSeen[vm.Worker]; known {
			seen[vm.Worker] = at
		}
	}
	c.workerSeen = seen
}

// SetConfig takes the services; one of them may be the spare pool.
func (c *Core) SetConfig(config *workload.Config) {
	c.standby = ""
	for _, s := range config.Services {
		if s.Standby {
			c.standby = s.Name
		}
	}
}

// Step returns what is due.
func (c *Core) Step(now time.Time) []Action {
	c.out = nil
	c.settle(now)
	if len(c.vms) > 0 {
		c.planWaves(now)
		c.planMoves(now)
		c.advance(now)
	}
	c.report()
	return c.out
}

// settle ends works whose VM is back.
func (c *Core) settle(now time.Time) {
	for id, w := range c.works {
		if w.phase != phaseSettling {
			continue
		}
		vm, known := c.byID[id]
		expected := c.cfg.Maintenance
		if w.wave == 0 {
			expected = c.cfg.Migration
		}
		if known && vm.State != workload.VMUp && c.listed.After(w.since) {
			w.seenAway = true
		}
		back := c.listed.After(w.since.Add(expected)) && known && vm.State == workload.VMUp &&
			(vm.Pool == c.standby || vm.Worker != "" && (vm.Worker != w.worker || w.seenAway))
		if back || now.Sub(w.since) > expected+settleSlack {
			delete(c.works, id)
		}
	}
}

// advance carries works on: asks for emptying, and orders what is empty.
func (c *Core) advance(now time.Time) {
	for _, id := range c.workIDs() {
		w := c.works[id]
		if w.phase != phaseEmptying || now.Before(w.retryAt) {
			continue
		}
		vm, known := c.byID[id]
		switch {
		case !known || vm.State != workload.VMUp && vm.State != workload.VMDown || vm.Pool != w.pool:
			delete(c.works, id) // it left, or something else happened to it
		case w.wave == 0 && now.After(w.wantedFor):
			delete(c.works, id)
		case !c.mayOrder(id, now):
		case vm.Pool == c.standby || vm.Worker == w.worker && c.isVacant(w, now):
			c.order(w, now) // spare VMs are off and run nothing
		case vm.Worker == "":
			// The list lags: its worker may be there already, with tasks.
		default:
			if w.worker != vm.Worker {
				w.worker = vm.Worker
				w.vacancy = workload.Occupied
			}
			c.out = append(c.out, Action{Verb: Empty, VM: id, Pool: w.pool, Worker: vm.Worker})
		}
	}
}

// isVacant tells whether a VM's worker surely runs nothing. Where its process hasn't
// answered, its successor may be there by now and run tasks, which an order would cut, and
// the list lags.
func (c *Core) isVacant(w *work, now time.Time) bool {
	if now.Sub(w.askedAt) >= vacancyValid {
		return false
	}
	return w.vacancy == workload.Vacant ||
		w.vacancy == workload.VacantUnseen && c.listed.After(w.saidSince) && now.Sub(c.listed) < listCurrent
}

// listCurrent is how old the list may be to name the worker that is there: one takes
// longer to start, register and get its first task.
const listCurrent = 600 * time.Millisecond

// vacancyValid is how long it counts that a worker is vacant: its owner keeps it closed
// for a while after the last wish.
const vacancyValid = time.Second

func (c *Core) order(w *work, now time.Time) {
	w.phase = phaseOrdered
	w.since = now
	a := Action{Verb: Move, VM: w.vm, Pool: w.to, Reason: w.reason}
	if w.wave != 0 {
		a = Action{Verb: Maintain, VM: w.vm, Wave: w.wave, Reason: "emptied for maintenance"}
	}
	if w.vacancy != workload.Occupied {
		a.Until = w.askedAt.Add(vacancyValid)
	}
	c.out = append(c.out, a)
}

// Emptied takes the answer to an Empty that was asked at a time. The answer counts
// from then: a process that stood still since would take it for a fresh one, while
// the worker is open again and runs tasks.
func (c *Core) Emptied(vm, worker string, v workload.Vacancy, asked time.Time) {
	w := c.works[vm]
	if w == nil || w.phase != phaseEmptying || w.worker != worker {
		return
	}
	if v != w.vacancy {
		w.saidSince = asked
	}
	w.vacancy = v
	w.askedAt = asked
}

// Result is how an order for a VM ended.
type Result int

// Results of an order.
const (
	Taken   Result = iota
	Refused        // not carried out, may be tried again
	Invalid        // makes no sense (any more)
	Unclear        // may have been carried out
)

// Ordered takes the outcome of a Maintain or Move.
func (c *Core) Ordered(vm string, result Result, now time.Time) {
	w := c.works[vm]
	if w == nil || w.phase != phaseOrdered {
		return
	}
	w.since = now
	switch result {
	case Taken:
		w.phase = phaseSettling
		if s := c.waves[w.wave]; s != nil {
			s.done[vm] = true
			c.dirtyWaves[w.wave] = true
		}
	case Refused, Unclear:
		// Ordering again what was carried out is answered as taken.
		w.phase = phaseEmptying
		w.vacancy = workload.Occupied
		w.retryAt = now.Add(orderRetry)
	case Invalid:
		if s := c.waves[w.wave]; s != nil {
			s.done[vm] = true
			c.dirtyWaves[w.wave] = true
		}
		delete(c.works, vm)
	}
}

func (c *Core) workIDs() []string {
	ids := make([]string, 0, len(c.works))
	for id := range c.works {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Busy tells whether the list of VMs is needed often.
func (c *Core) Busy() bool {
	if len(c.works) > 0 || len(c.vms) == 0 {
		return true
	}
	for _, s := range c.waves {
		if s.state != workload.WaveCompleted {
			return true
		}
	}
	return false
}
