package pool

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Policy bounds and paces planning.
type Policy struct {
	// MaxProposals bounds the proposals of one round.
	MaxProposals int
	// ReplaceAfter is how long a VM must be down before its pool gets another.
	ReplaceAfter time.Duration
	// Estimate is how long a drain of each reason keeps a VM out of service.
	Estimate map[record.DrainReason]time.Duration
}

// DefaultMaxProposals keeps a round well under the log's append ceiling.
const DefaultMaxProposals = 64

// DefaultPolicy returns the policy used unless settings say otherwise.
func DefaultPolicy() Policy {
	return Policy{
		MaxProposals: DefaultMaxProposals,
		ReplaceAfter: 2 * time.Minute,
		Estimate: map[record.DrainReason]time.Duration{
			record.DrainMaintenance: 3 * time.Minute,
			record.DrainMove:        time.Minute,
			record.DrainOperator:    3 * time.Minute,
		},
	}
}

// Round is one planning round: the view and what was decided so far, so that
// later steps see the earlier ones' use of VMs and budgets.
type Round struct {
	View      *View
	Policy    Policy
	Proposals []Proposal

	taken    map[string]bool
	headroom map[string]*ledger.Headroom
	joining  map[string][]*VM // VMs proposed to join, by pool
}

// NewRound begins a round over the view.
func NewRound(v *View, p Policy) *Round {
	return &Round{
		View:     v,
		Policy:   p,
		taken:    map[string]bool{},
		headroom: map[string]*ledger.Headroom{},
		joining:  map[string][]*VM{},
	}
}

// Full reports whether the round has as many proposals as it may.
func (r *Round) Full() bool { return len(r.Proposals) >= r.Policy.MaxProposals }

// Taken reports whether the round already decided about the VM.
func (r *Round) Taken(vm *VM) bool { return r.taken[vm.ID] }

// Propose adds a decision about a VM.
func (r *Round) Propose(vm *VM, body record.Body, share, why string) {
	r.taken[vm.ID] = true
	r.Proposals = append(r.Proposals, OnVM(vm, body, share, why))
}

// ProposeWave adds a decision about a wave.
func (r *Round) ProposeWave(w *Wave, body record.Body, why string) {
	r.Proposals = append(r.Proposals, OnWave(w, body, why))
}

// Headroom returns the round's working copy of a pool's headroom, nil for a
// pool without a document.
func (r *Round) Headroom(pool string) *ledger.Headroom {
	if h, ok := r.headroom[pool]; ok {
		return h
	}
	p := r.View.Pool(pool)
	if p == nil {
		return nil
	}
	h := p.Headroom
	h.OutRacks = make(map[string]int, len(p.Headroom.OutRacks))
	for rack, n := range p.Headroom.OutRacks {
		h.OutRacks[rack] = n
	}
	r.headroom[pool] = &h
	return &h
}

// Drain proposes to drain a serving VM if its pool's budget bears it. It
// returns the reason when not.
func (r *Round) Drain(vm *VM, body record.VMDrain, why string) string {
	h := r.Headroom(vm.Pool)
	if h != nil && vm.Serving() {
		if reason := h.Refusal(vm.Rack, body.Estimate); reason != "" {
			return reason
		}
		h.Take(vm.Rack)
	}
	r.Propose(vm, body, vm.Pool, why)
	return ""
}

// Fits reports whether the VM has what the pool's document needs.
func Fits(vm *VM, need document.Pool) bool {
	return vm.Cores >= need.MinCores && vm.MemoryMB >= need.MinMemoryMB && vm.Accelerators >= need.MinAccelerators
}
