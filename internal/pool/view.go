// Package pool plans the assignment of VMs to pools: it fills gaps with free
// VMs, moves VMs from pools with a surplus and returns surplus to the reserve.
// Its functions have no side effects: a plan depends only on a View and a Policy,
// so it is the same on every node.
package pool

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// View is a copy of the part of the folded state that planning reads. A round so
// needs no lock and sees a consistent state. It is immutable after NewView.
type View struct {
	Offset uint64
	Now    time.Time
	VMs    []*VM   // by ID
	Pools  []*Pool // by name
	Free   []*VM   // in no pool and not down, by ID
	Waves  []*Wave // active, by ID
	byPool map[string]*Pool
	byVM   map[string]*VM
}

// VM is one VM of a View.
type VM struct {
	ledger.VM
	// Jobs is the number of jobs placed on the VM; JobsUntil is when the last of
	// them ends by its declared run time.
	Jobs      int
	JobsUntil time.Time
}

// Pool is one service's pool.
type Pool struct {
	Name     string
	Doc      document.Document
	Headroom ledger.Headroom
	// GapSince and SurplusSince are copied from ledger.Account.
	GapSince     time.Time
	SurplusSince time.Time
	VMs          []*VM // by ID
}

// Wave is an active maintenance wave.
type Wave struct {
	ID       string
	Revision record.Revision
	Pools    []string
	Deadline time.Time
	Running  bool
	Started  time.Time
	VMs      map[string]ledger.WaveProgress
}

// NewView copies the state at the time now.
func NewView(s *ledger.State, now time.Time) *View {
	v := &View{
		Offset: s.Offset,
		Now:    now,
		VMs:    make([]*VM, 0, len(s.VMs)),
		byPool: make(map[string]*Pool, len(s.Services)),
		byVM:   make(map[string]*VM, len(s.VMs)),
	}
	v.copyPools(s)
	v.copyVMs(s)
	v.copyWaves(s)
	return v
}

func (v *View) copyPools(s *ledger.State) {
	for name, svc := range s.Services {
		p := &Pool{
			Name:         name,
			Doc:          svc.Doc,
			GapSince:     svc.Account.GapSince,
			SurplusSince: svc.Account.SurplusSince,
		}
		p.Headroom, _ = s.Headroom(name, v.Now)
		v.Pools = append(v.Pools, p)
		v.byPool[name] = p
	}
	slices.SortFunc(v.Pools, func(a, b *Pool) int { return cmp.Compare(a.Name, b.Name) })
}

func (v *View) copyVMs(s *ledger.State) {
	copies := make([]VM, len(s.VMs))
	n := 0
	for id, vm := range s.VMs {
		copies[n] = copyVM(vm, s.WorkerJobs(id))
		v.VMs = append(v.VMs, &copies[n])
		n++
	}
	slices.SortFunc(v.VMs, func(a, b *VM) int { return cmp.Compare(a.ID, b.ID) })
	for _, vm := range v.VMs {
		v.byVM[vm.ID] = vm
		v.index(vm)
	}
}

func copyVM(vm *ledger.VM, jobs map[string]*ledger.Job) VM {
	c := VM{VM: *vm, Jobs: len(jobs)}
	if vm.Drain != nil {
		d := *vm.Drain
		c.Drain = &d
	}
	for _, j := range jobs {
		if end := j.StartedAt.Add(j.Spec.RunTime); end.After(c.JobsUntil) {
			c.JobsUntil = end
		}
	}
	return c
}

func (v *View) index(vm *VM) {
	if p, ok := v.byPool[vm.Pool]; ok {
		p.VMs = append(p.VMs, vm)
	}
	if vm.Phase == record.PhaseFree && !vm.Down {
		v.Free = append(v.Free, vm)
	}
}

func (v *View) copyWaves(s *ledger.State) {
	for id, w := range s.Waves {
		if !w.Active() {
			continue
		}
		vms := make(map[string]ledger.WaveProgress, len(w.VMs))
		for vm, progress := range w.VMs {
			vms[vm] = progress
		}
		v.Waves = append(v.Waves, &Wave{
			ID:       id,
			Revision: w.Revision,
			Pools:    slices.Clone(w.Pools),
			Deadline: w.Deadline,
			Running:  w.Status == ledger.WaveRunning,
			Started:  w.StartedAt,
			VMs:      vms,
		})
	}
	slices.SortFunc(v.Waves, func(a, b *Wave) int { return cmp.Compare(a.ID, b.ID) })
}

// Pool returns the pool by name, or nil if it has no document.
func (v *View) Pool(name string) *Pool { return v.byPool[name] }

// VM returns the VM by ID, or nil if it is unknown.
func (v *View) VM(id string) *VM { return v.byVM[id] }

// DueWave returns the running wave in which the VM has a pending turn, or nil.
func (v *View) DueWave(vm *VM) *Wave {
	for _, w := range v.Waves {
		if w.Running && w.VMs[vm.ID] == ledger.WavePending {
			return w
		}
	}
	return nil
}
