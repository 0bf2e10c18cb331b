package pool

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Round is one planning round: the view and the decisions so far, so that later
// steps account for the VMs and budgets that earlier steps used.
type Round struct {
	View      *View
	Policy    Policy
	Proposals []Proposal
	// Waits lists the pools in which a running wave can begin no turn now and has
	// no turn in progress.
	Waits []Wait

	decided  map[string]bool
	headroom map[string]*ledger.Headroom
	incoming map[string]int   // VMs in transit by an effective drain, by target pool
	joining  map[string][]*VM // VMs that this round moves, by target pool
	leaving  map[string]bool  // VMs that this round removes from their pool
	spare    *Spare
}

// Wait is a pool with pending turns in a running wave, none of which can begin
// now.
type Wait struct {
	Wave   string
	Pool   string
	Reason string
}

// NewRound returns a round over the view without decisions.
func NewRound(v *View, p Policy) *Round {
	r := &Round{
		View:     v,
		Policy:   p,
		decided:  map[string]bool{},
		headroom: map[string]*ledger.Headroom{},
		incoming: map[string]int{},
		joining:  map[string][]*VM{},
		leaving:  map[string]bool{},
	}
	for _, vm := range v.VMs {
		if vm.Drain != nil && vm.Drain.Target != "" && vm.Pool != vm.Drain.Target {
			r.incoming[vm.Drain.Target]++
		}
	}
	return r
}

// Full reports whether the round has reached Policy.MaxProposals.
func (r *Round) Full() bool { return len(r.Proposals) >= r.Policy.MaxProposals }

// Decided reports whether the round has already decided about the VM.
func (r *Round) Decided(vm *VM) bool { return r.decided[vm.ID] }

// Propose adds a decision about a VM.
func (r *Round) Propose(vm *VM, body record.Body, share, why string) {
	r.decided[vm.ID] = true
	r.Proposals = append(r.Proposals, OnVM(vm, body, share, why))
}

// ProposeWave adds a decision about a wave.
func (r *Round) ProposeWave(w *Wave, body record.Body, why string) {
	r.Proposals = append(r.Proposals, OnWave(w, body, why))
}

// Headroom returns the round's working copy of the pool's headroom, or nil if
// the pool has no document.
func (r *Round) Headroom(pool string) *ledger.Headroom {
	if h, ok := r.headroom[pool]; ok {
		return h
	}
	p := r.View.Pool(pool)
	if p == nil {
		return nil
	}
	h := p.Headroom
	h.UnavailableByRack = make(map[string]int, len(p.Headroom.UnavailableByRack))
	for rack, n := range p.Headroom.UnavailableByRack {
		h.UnavailableByRack[rack] = n
	}
	r.headroom[pool] = &h
	return &h
}

// Drain proposes to drain a VM if its pool's budget allows it. Otherwise it
// returns the reason for the refusal. A pool without a document has no budget and
// allows every drain.
func (r *Round) Drain(vm *VM, body record.VMDrain, why string) string {
	h := r.Headroom(vm.Pool)
	if h != nil {
		if reason := h.RefusalForVM(&vm.VM, body); reason != "" {
			return reason
		}
		if vm.Serving() {
			h.AddOutage(vm.Rack)
		}
	}
	if body.Target != "" || body.Release {
		r.leaving[vm.ID] = true
	}
	if body.Target != "" {
		r.joining[body.Target] = append(r.joining[body.Target], vm)
	}
	r.Propose(vm, body, vm.Pool, why)
	return ""
}

// Estimate returns how long a drain is expected to keep the VM out of service:
// the document's drain limit for requests, the remaining time of the VM's jobs
// if the document lets drains wait for them, and the policy's estimate for the
// reason.
func (r *Round) Estimate(vm *VM, reason record.DrainReason) time.Duration {
	estimate := r.Policy.Estimate[reason]
	p := r.View.Pool(vm.Pool)
	if p == nil {
		return estimate
	}
	estimate += p.Doc.Limits.Drain
	if vm.Jobs > 0 && p.Doc.Jobs.OnDrain == document.LongJobsWait {
		estimate += max(0, vm.JobsUntil.Sub(r.View.Now))
	}
	return estimate
}

// Fits reports whether the VM meets the minimum sizes of the pool's document.
func Fits(vm *VM, need document.Pool) bool {
	return vm.Cores >= need.MinCores && vm.MemoryMB >= need.MinMemoryMB && vm.Accelerators >= need.MinAccelerators
}
