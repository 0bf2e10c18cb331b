// Package maintenance plans maintenance waves and the steps of a drain. Its
// functions have no side effects: a plan depends only on a pool.View and a
// pool.Policy.
package maintenance

import (
	"cmp"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Plan runs one planning round and returns its proposals, which are the same for
// every steward with this view. Each step of the round accounts for the VMs and
// budgets that the earlier steps used.
func Plan(v *pool.View, p pool.Policy) []pool.Proposal { return Round(v, p).Proposals }

// Round runs one planning round and returns it, with its proposals and waits.
func Round(v *pool.View, p pool.Policy) *pool.Round {
	r := pool.NewRound(v, p)
	pool.Fill(r)
	pool.Lend(r)
	Drains(r)
	pool.Release(r)
	return r
}

// Drains proposes the next drains of the running waves: for each pool, in the
// order of its turns, as many as its budget allows.
func Drains(r *pool.Round) {
	for _, w := range r.View.Waves {
		if !w.Running {
			continue
		}
		proposeSkip(r, w)
		for _, p := range r.View.Pools {
			if due := dueTurns(r, w, p); len(due) > 0 {
				proposeTurns(r, w, p, due)
			}
		}
	}
}

// proposeTurns proposes drains for the due VMs of one pool. If none is possible
// and the wave has no VM of the pool out, it adds the reason to the round's waits:
// a wave pauses while failures use up the pool's budget and then resumes.
func proposeTurns(r *pool.Round, w *pool.Wave, p *pool.Pool, due []*pool.VM) {
	atRisk := deadlineAtRisk(r, w, p, due)
	if !atRisk && r.HasJoiningVM(p) {
		return // a drain will cost less once the joining VM serves
	}
	proposed, reason := 0, ""
	for _, vm := range due {
		if r.Full() {
			return
		}
		refusal := proposeTurn(r, vm, r.WaveDrain(vm, ""), atRisk)
		if refusal == "" {
			proposed++
		}
		reason = cmp.Or(reason, refusal)
	}
	if proposed == 0 && reason != "" && !r.HasDrained(w, p) {
		r.Waits = append(r.Waits, pool.Wait{Wave: w.ID, Pool: p.Name, Reason: reason})
	}
}

// proposeTurn proposes the drain of a VM's turn, or returns why it must wait.
func proposeTurn(r *pool.Round, vm *pool.VM, body record.VMDrain, atRisk bool) string {
	if !atRisk {
		if reason := waitReason(r, r.View.Pool(vm.Pool), vm, body); reason != "" {
			return reason
		}
	}
	return r.Drain(vm, body, "its turn in the wave")
}

// dueTurns returns the pool's VMs that may be drained now, in the order of their
// turns. Zones and racks with VMs of a wave already out come first, so that one
// failure domain is completed before the next begins, then VMs with fewer jobs to
// wait for. VMs that are down are returned only if no other VM is left: they may
// recover until then, and the other VMs do not wait for them.
func dueTurns(r *pool.Round, w *pool.Wave, p *pool.Pool) []*pool.VM {
	var due []*pool.VM
	for _, vm := range p.VMs {
		if w.VMs[vm.ID] != ledger.WavePending || vm.Phase != record.PhaseServing || r.Decided(vm) {
			continue
		}
		if vm.Jobs > 0 && p.Doc.Jobs.OnDrain == document.LongJobsSkip {
			continue
		}
		due = append(due, vm)
	}
	if slices.ContainsFunc(due, func(vm *pool.VM) bool { return !vm.Down }) {
		due = slices.DeleteFunc(due, func(vm *pool.VM) bool { return vm.Down })
	}
	zones, racks := drainedByDomain(p)
	slices.SortFunc(due, func(a, b *pool.VM) int {
		return cmp.Or(
			cmp.Compare(zones[b.Zone], zones[a.Zone]),
			cmp.Compare(racks[b.Rack], racks[a.Rack]),
			cmp.Compare(jobsToWaitFor(p, a), jobsToWaitFor(p, b)),
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Rack, b.Rack),
			cmp.Compare(a.ID, b.ID),
		)
	})
	return due
}

// drainedByDomain counts the pool's VMs in the drain of a wave by zone and rack.
func drainedByDomain(p *pool.Pool) (zones, racks map[string]int) {
	zones, racks = map[string]int{}, map[string]int{}
	for _, vm := range p.VMs {
		if vm.Drain != nil && vm.Drain.Wave != "" {
			zones[vm.Zone]++
			racks[vm.Rack]++
		}
	}
	return zones, racks
}

// jobsToWaitFor returns how many jobs a drain of the VM would wait for.
func jobsToWaitFor(p *pool.Pool, vm *pool.VM) int {
	if p.Doc.Jobs.OnDrain == document.LongJobsWait {
		return vm.Jobs
	}
	return 0
}

// waitReason returns why a wave must not drain the VM now, or an empty string.
// While the deadline is not at risk, a wave leaves one unit of max_unavailable and
// a part of the window's VM-seconds (see pool.Policy.WaveShare) for failures.
func waitReason(r *pool.Round, p *pool.Pool, vm *pool.VM, body record.VMDrain) string {
	reduced := *r.Headroom(p.Name)
	reduced.Budget.MaxUnavailable = maxParallelTurns(p)
	reduced.Allowed *= r.Policy.WaveShare
	return reduced.RefusalForVM(&vm.VM, body)
}

// maxParallelTurns returns how many VMs of the pool a wave drains at once while
// its deadline is not at risk.
func maxParallelTurns(p *pool.Pool) int {
	return max(min(1, p.Doc.Budget.MaxUnavailable), p.Doc.Budget.MaxUnavailable-1)
}

// deadlineAtRisk reports whether the wave would miss its deadline with
// maxParallelTurns drains at a time, or with one at a time if the budget sets
// one_domain.
func deadlineAtRisk(r *pool.Round, w *pool.Wave, p *pool.Pool, due []*pool.VM) bool {
	if w.Deadline.IsZero() {
		return false
	}
	width := max(1, maxParallelTurns(p))
	if p.Doc.Budget.OneDomain {
		width = 1
	}
	rounds := (len(due) + width - 1) / width
	need := time.Duration(rounds) * turnDuration(r, p, due[0])
	return r.View.Now.Add(need).After(w.Deadline)
}

// turnDuration returns how long one turn of the pool takes: the typical duration
// of its latest drains, or the estimate if that is unknown.
func turnDuration(r *pool.Round, p *pool.Pool, vm *pool.VM) time.Duration {
	if p.Headroom.Typical > 0 {
		return p.Headroom.Typical
	}
	return r.Estimate(vm, record.DrainMaintenance)
}

// proposeSkip proposes to skip a VM that cannot have its turn: a VM that left its
// pool or, near the deadline, a VM with jobs that may not be disturbed.
func proposeSkip(r *pool.Round, w *pool.Wave) {
	for _, id := range sortedPending(w) {
		vm := r.View.VM(id)
		if vm == nil || r.Full() {
			continue
		}
		if reason := skipReason(r, w, vm); reason != "" {
			r.ProposeWave(w, record.WaveSkip{VM: id, Reason: reason}, "it cannot have its turn")
			return // the next skip needs the wave's new revision
		}
	}
}

// skipReason returns why the wave skips the VM, or an empty string.
func skipReason(r *pool.Round, w *pool.Wave, vm *pool.VM) string {
	if vm.Phase == record.PhaseFree {
		return "the VM is in no pool any more"
	}
	p := r.View.Pool(vm.Pool)
	if p == nil || vm.Jobs == 0 || p.Doc.Jobs.OnDrain != document.LongJobsSkip {
		return ""
	}
	late := !w.Deadline.IsZero() && r.View.Now.Add(r.Estimate(vm, record.DrainMaintenance)).After(w.Deadline)
	if late {
		return "a job that may not be disturbed ran on it until the deadline"
	}
	return ""
}

func sortedPending(w *pool.Wave) []string {
	var ids []string
	for id, progress := range w.VMs {
		if progress == ledger.WavePending {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
