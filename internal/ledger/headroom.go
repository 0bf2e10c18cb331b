package ledger

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Headroom is what a pool's availability budget bears at one moment. Planners
// keep a copy and Take from it what they propose, so that the drains of one
// round fit together; the fold checks each drain against a fresh one.
type Headroom struct {
	Pool    string
	Size    int
	Serving int
	Budget  document.Budget
	// Spent and Allowed are VM-seconds in the window that ends now.
	Spent   float64
	Allowed float64
	// Typical is how long the pool's drains lasted lately; a smaller estimate is
	// raised to it.
	Typical time.Duration
	// Left holds, for each VM that is out or missing, how much longer it is
	// expected to be so; 0 where nothing is known.
	Left []time.Duration
	// OutRacks counts the VMs that are out of service by rack. VMs that failed
	// and were replaced are left out: the pool is whole without them, and one
	// that never comes back would else block every drain in other racks.
	OutRacks map[string]int
}

// Headroom returns the pool's headroom at the time now, or false when the pool
// has no document and so no budget.
func (s *State) Headroom(pool string, now time.Time) (Headroom, bool) {
	svc, ok := s.Services[pool]
	if !ok {
		return Headroom{}, false
	}
	if now.Before(s.Now) {
		now = s.Now
	}
	h := Headroom{
		Pool:     pool,
		Size:     svc.Doc.Pool.Size,
		Serving:  len(s.poolVMs[pool]) - len(s.poolUnavailable[pool]),
		Budget:   svc.Doc.Budget,
		Spent:    s.spentSeconds(svc, now),
		Allowed:  svc.Doc.AllowedSeconds(),
		Typical:  svc.Account.Typical(),
		OutRacks: map[string]int{},
	}
	replaced := s.Healthy(pool) >= h.Size
	for _, vm := range s.poolUnavailable[pool] {
		h.Left = append(h.Left, vm.remainingOutage(now))
		if !vm.Down || !replaced {
			h.OutRacks[vm.Rack]++
		}
	}
	for range min(h.Size-len(s.poolVMs[pool]), h.Budget.MaxUnavailable) { // more are refused anyway
		h.Left = append(h.Left, 0)
	}
	h.Left = slices.Clip(h.Left)
	return h, true
}

// spentSeconds returns what counts against the pool's budget at the time now. While
// the fold's time has made a doubtful jump, the window before it counts too: a
// wrong clock could else move all charges out of the window.
func (s *State) spentSeconds(svc *Service, now time.Time) float64 {
	window := svc.Doc.Budget.Window
	spent := svc.Account.Spent(now.Add(-window), now)
	if before, ok := s.Clock.unconfirmedJump(); ok {
		spent = max(spent, svc.Account.Spent(before.Add(-window), before))
	}
	return spent
}

// remainingOutage returns how much longer a VM that is out is expected to be so, by the
// estimate of its drain.
func (v *VM) remainingOutage(now time.Time) time.Duration {
	if v.Drain == nil {
		return 0
	}
	return max(0, v.Drain.Since.Add(v.Drain.Estimate).Sub(now))
}

// Refusal returns why one more planned drain in the rack, expected to last for
// estimate, does not fit, or an empty string when it does. VMs beyond the
// declared size are drained free of charge.
func (h *Headroom) Refusal(rack string, estimate time.Duration) string {
	return h.checkBounds(rack, estimate, h.Size-(h.Serving-1), 1)
}

// RefusalOf is Refusal for a certain VM and drain. The drain of a VM that is
// down already costs no VM now, but keeps it from coming back for as long as
// the drain lasts, so the bounds hold for it too. Only to leave its pool it is
// always free: the pool loses nothing by it.
func (h *Headroom) RefusalOf(vm *VM, b record.VMDrain) string {
	switch {
	case vm.Serving():
		return h.Refusal(vm.Rack, b.Estimate)
	case b.Target != "" || b.Release:
		return ""
	}
	return h.checkBounds(vm.Rack, b.Estimate, h.Size-h.Serving, 0)
}

// checkBounds checks the bounds for a pool that would be short of so many VMs, with
// more VMs out than now.
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

// requiredSeconds returns the VM-seconds that will be charged until all VMs are back. Each
// VM that is out counts with what is left of its own estimate, and at least
// with the new one's: those that are overdue, or failed, may stay out as long
// again. The longest ones are those that spare VMs stand in for.
func (h *Headroom) requiredSeconds(estimate time.Duration, shortfall, additional int) float64 {
	left := slices.Clone(h.Left)
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

// Take counts one more VM of the rack as out of service.
func (h *Headroom) Take(rack string) {
	h.Serving--
	h.OutRacks[rack]++
	h.Left = append(h.Left, 0)
}

// otherRack returns the first rack by name, other than rack, with VMs out.
func (h *Headroom) otherRack(rack string) string {
	first := ""
	for other, n := range h.OutRacks {
		if other != rack && n > 0 && (first == "" || other < first) {
			first = other
		}
	}
	return first
}

// checkBudget refuses a drain that the pool's budget does not bear. Of two drains
// that race for the last unit of budget the later one is refused.
func (s *State) checkBudget(vm *VM, b record.VMDrain) refusal {
	h, ok := s.Headroom(vm.Pool, s.Now)
	if !ok {
		return allowed
	}
	return refusal(h.RefusalOf(vm, b))
}
