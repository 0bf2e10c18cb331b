package proof

import (
	"time"

	servicedoc "github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// poolAccount is the account of one pool that the checker derives from the bodies of effective
// records, independently of the ledger's accounts.
type poolAccount struct {
	doc       servicedoc.Document
	missing   int
	changedAt time.Time
	shortages []shortage
}

// shortage is a period in which a pool had fewer serving VMs than its declared size.
type shortage struct {
	from, to time.Time
	missing  int
}

// vmAccount is the state of one VM.
type vmAccount struct {
	pool, rack  string
	unavailable bool // drained, or joined and not yet reported up
	down        bool
}

// fleetAccount is the state of all pools and VMs after the effective records.
type fleetAccount struct {
	pools map[string]*poolAccount
	vms   map[string]*vmAccount
}

func (f *fleetAccount) apply(l observedRecord) {
	name := l.rec.Subject.Name
	vm := f.vms[name]
	switch b := l.rec.Body.(type) {
	case record.DocumentPublish:
		doc, _ := servicedoc.Parse(name, []byte(b.Text)) // an effective document is valid
		if f.pools[name] == nil {
			f.pools[name] = &poolAccount{}
		}
		f.pools[name].doc = doc
	case record.VMRegister:
		f.vms[name] = &vmAccount{rack: b.Rack}
	case record.VMJoin:
		vm.pool, vm.unavailable = b.Pool, true
	case record.VMDrain:
		vm.unavailable = true
	case record.VMAdvance:
		if b.To == record.PhaseFree {
			vm.pool, vm.unavailable = "", false
		}
	case record.VMDown:
		vm.down = true
	case record.VMUp:
		vm.down, vm.unavailable = false, false
	case record.VMGone:
		delete(f.vms, name)
	}
	for pool := range f.pools {
		f.recordShortage(pool, l.rec.Time)
	}
}

// recordShortage records the shortage since the pool's last change and the VMs missing from now on.
func (f *fleetAccount) recordShortage(pool string, now time.Time) {
	p := f.pools[pool]
	if p.missing > 0 {
		p.shortages = append(p.shortages, shortage{from: p.changedAt, to: now, missing: p.missing})
	}
	p.missing, p.changedAt = max(0, p.doc.Pool.Size-f.serving(pool)), now
}

func (f *fleetAccount) serving(pool string) int {
	n := 0
	for _, vm := range f.vms {
		if vm.pool == pool && !vm.unavailable && !vm.down {
			n++
		}
	}
	return n
}

// spentVMSeconds returns the missing VM-seconds in the budget's window before now.
func (p *poolAccount) spentVMSeconds(now time.Time) float64 {
	var sum float64
	for _, c := range p.shortages {
		from := c.from
		if start := now.Add(-p.doc.Budget.Window); from.Before(start) {
			from = start
		}
		sum += max(0, c.to.Sub(from).Seconds()) * float64(c.missing)
	}
	return sum
}

// drainedPerRack returns, by rack, the number of the pool's VMs that are unavailable but not down.
func (f *fleetAccount) drainedPerRack(pool string) map[string]int {
	racks := map[string]int{}
	for _, vm := range f.vms {
		if vm.pool == pool && vm.unavailable && !vm.down {
			racks[vm.rack]++
		}
	}
	return racks
}

// checkBudgets checks that every effective drain was within its pool's budget: the number of missing
// VMs, VMs of one rack only if the document demands it, and the VM-seconds spent.
func (e *evidence) checkBudgets() guarantee {
	p := guarantee{name: "each pool stays within its availability budget"}
	f := &fleetAccount{pools: map[string]*poolAccount{}, vms: map[string]*vmAccount{}}
	for _, l := range e.records {
		if l.outcome.Status != ledger.Effective {
			continue
		}
		if _, ok := l.rec.Body.(record.VMDrain); !ok {
			f.apply(l)
			continue
		}
		vm := l.rec.Subject.Name
		serving := !f.vms[vm].down
		f.apply(l)
		pool := f.vms[vm].pool
		account := f.pools[pool]
		if account == nil || !serving {
			continue
		}
		budget := account.doc.Budget
		racks := f.drainedPerRack(pool)
		p.check(account.missing <= budget.MaxUnavailable, "offset %d: drain of %s leaves %s short of %d VMs, allowed %d", l.offset, vm, pool, account.missing, budget.MaxUnavailable)
		p.check(!budget.OneDomain || account.missing == 0 || len(racks) <= 1, "offset %d: drain of %s makes VMs of %s unavailable in racks %v", l.offset, vm, pool, racks)
		p.check(account.spentVMSeconds(l.rec.Time) <= account.doc.AllowedSeconds(), "offset %d: drain of %s with %.0f of %.0f VM-seconds of %s spent", l.offset, vm, account.spentVMSeconds(l.rec.Time), account.doc.AllowedSeconds(), pool)
	}
	return p
}
