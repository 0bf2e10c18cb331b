package ledger

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Headroom is what a pool's availability budget allows at one moment. Planners
// keep a copy and call AddOutage for each drain that they propose, so that the
// drains of one round fit together; the ledger checks each drain against a new
// one.
type Headroom struct {
	Pool    string
	Size    int
	Serving int
	Budget  document.Budget
	// Spent and Allowed are VM-seconds in the window that ends now.
	Spent   float64
	Allowed float64
	// Typical is the typical duration of the pool's latest drains; smaller
	// estimates are raised to it.
	Typical time.Duration
	// RemainingOutages holds the expected remaining outage of each VM that is out of
	// service or missing, 0 if unknown.
	RemainingOutages []time.Duration
	// UnavailableByRack counts the VMs that are out of service by rack. It excludes
	// failed VMs that were replaced: the pool is complete without them, and a
	// VM that never returns would otherwise block every drain in other racks.
	UnavailableByRack map[string]int
}

// Headroom returns the pool's headroom at now, or false if the pool has no
// document and therefore no budget.
func (s *State) Headroom(pool string, now time.Time) (Headroom, bool) {
	svc, ok := s.Services[pool]
	if !ok {
		return Headroom{}, false
	}
	if now.Before(s.Now) {
		now = s.Now
	}
	h := Headroom{
		Pool:              pool,
		Size:              svc.Doc.Pool.Size,
		Serving:           len(s.poolVMs[pool]) - len(s.poolUnavailable[pool]),
		Budget:            svc.Doc.Budget,
		Spent:             s.spentSeconds(svc, now),
		Allowed:           svc.Doc.AllowedSeconds(),
		Typical:           svc.Account.Typical(),
		UnavailableByRack: map[string]int{},
	}
	replaced := s.Healthy(pool) >= h.Size
	for _, vm := range s.poolUnavailable[pool] {
		h.RemainingOutages = append(h.RemainingOutages, vm.remainingOutage(now))
		if !vm.Down || !replaced {
			h.UnavailableByRack[vm.Rack]++
		}
	}
	for range min(h.Size-len(s.poolVMs[pool]), h.Budget.MaxUnavailable) { // a larger shortfall is refused anyway
		h.RemainingOutages = append(h.RemainingOutages, 0)
	}
	h.RemainingOutages = slices.Clip(h.RemainingOutages)
	return h, true
}

// spentSeconds returns the VM-seconds that count against the pool's budget at
// now. While the ledger's time has made an unconfirmed jump, the window before
// the jump counts too: otherwise a wrong clock could move all charges out of
// the window.
func (s *State) spentSeconds(svc *Service, now time.Time) float64 {
	window := svc.Doc.Budget.Window
	spent := svc.Account.Spent(now.Add(-window), now)
	if before, ok := s.Clock.unconfirmedJump(); ok {
		spent = max(spent, svc.Account.Spent(before.Add(-window), before))
	}
	return spent
}

// remainingOutage returns how much longer a VM is expected to be out of
// service, by the estimate of its drain.
func (v *VM) remainingOutage(now time.Time) time.Duration {
	if v.Drain == nil {
		return 0
	}
	return max(0, v.Drain.Since.Add(v.Drain.Estimate).Sub(now))
}

// Refusal returns why one more planned drain in the rack, expected to last for
// estimate, does not fit the budget, or "" if it fits. Draining VMs beyond the
// declared size is free.
func (h *Headroom) Refusal(rack string, estimate time.Duration) string {
	return h.checkBounds(rack, estimate, h.Size-(h.Serving-1), 1)
}

// RefusalForVM is like Refusal for a given VM and drain. Draining a VM that is
// down removes no serving VM, but keeps the VM from returning for as long as
// the drain lasts, so the limits apply to it too. A drain by which such a VM
// leaves its pool is always free, since the pool loses nothing by it.
func (h *Headroom) RefusalForVM(vm *VM, b record.VMDrain) string {
	switch {
	case vm.Serving():
		return h.Refusal(vm.Rack, b.Estimate)
	case b.Target != "" || b.Release:
		return ""
	}
	return h.checkBounds(vm.Rack, b.Estimate, h.Size-h.Serving, 0)
}

// checkBounds checks the limits for a pool that would be short of shortfall VMs
// with additional more VMs out than now.
func (h *Headroom) checkBounds(rack string, estimate time.Duration, shortfall, additional int) string {
	if shortfall <= 0 {
		return ""
	}
	if shortfall > h.Budget.MaxUnavailable {
		return string(refusef("pool %s has %d of %d VMs serving; %d short would exceed max_unavailable = %d",
			h.Pool, h.Serving, h.Size, shortfall, h.Budget.MaxUnavailable))
	}
	if other := h.otherRack(rack); h.Budget.OneDomain && other != "" {
		return string(refusef("rack %s of pool %s has VMs out already; one_domain allows one rack at a time",
			other, h.Pool))
	}
	required := h.requiredSeconds(max(estimate, h.Typical), shortfall, additional)
	if h.Spent+required > h.Allowed {
		return string(refusef("pool %s spent %.0f of %.0f VM-seconds in its window; this drain needs about %.0f more",
			h.Pool, h.Spent, h.Allowed, required))
	}
	return ""
}

// requiredSeconds returns the VM-seconds that will be charged until all VMs are
// back. Each VM that is out counts with the remainder of its own estimate, but
// at least with the new estimate, since overdue or failed VMs may stay out that
// long. Spare VMs substitute for the VMs with the longest outages.
func (h *Headroom) requiredSeconds(estimate time.Duration, shortfall, additional int) float64 {
	left := slices.Clone(h.RemainingOutages)
	for range additional {
		left = append(left, 0)
	}
	for i := range left {
		left[i] = max(left[i], estimate)
	}
	slices.Sort(left)
	sum := time.Duration(0)
	for _, d := range left[:min(shortfall, len(left))] {
		sum += d
	}
	return sum.Seconds()
}

// AddOutage counts one more VM of the rack as out of service.
func (h *Headroom) AddOutage(rack string) {
	h.Serving--
	h.UnavailableByRack[rack]++
	h.RemainingOutages = append(h.RemainingOutages, 0)
}

// otherRack returns the first rack by name, other than rack, with VMs out of
// service.
func (h *Headroom) otherRack(rack string) string {
	first := ""
	for other, n := range h.UnavailableByRack {
		if other != rack && n > 0 && (first == "" || other < first) {
			first = other
		}
	}
	return first
}

// checkBudget refuses a drain that the pool's budget does not allow. Of two
// drains that race for the rest of the budget the later one is refused.
func (s *State) checkBudget(vm *VM, b record.VMDrain) refusal {
	h, ok := s.Headroom(vm.Pool, s.Now)
	if !ok {
		return allowed
	}
	return refusal(h.RefusalForVM(vm, b))
}
