package ledger

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
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
		Budget:   svc.Doc.Budget,
		Spent:    svc.Account.Spent(now.Add(-svc.Doc.Budget.Window), now),
		Allowed:  svc.Doc.AllowedSeconds(),
		OutRacks: map[string]int{},
	}
	replaced := s.Healthy(pool) >= h.Size
	for _, vm := range s.poolVMs[pool] {
		switch {
		case vm.Serving():
			h.Serving++
		case vm.Down && replaced:
		default:
			h.OutRacks[vm.Rack]++
		}
	}
	return h, true
}

// Refusal returns why one more planned drain in the rack, expected to last for
// estimate, does not fit, or an empty string when it does. VMs beyond the
// declared size are drained free of charge.
//
// The need counts every VM that is short, not only the new one: those that are
// out already may stay out as long again.
func (h *Headroom) Refusal(rack string, estimate time.Duration) string {
	short := h.Size - (h.Serving - 1)
	if short <= 0 {
		return ""
	}
	if short > h.Budget.MaxUnavailable {
		return string(refusef("pool %s has %d of %d VMs serving; one less would exceed max_unavailable = %d",
			h.Pool, h.Serving, h.Size, h.Budget.MaxUnavailable))
	}
	if other := h.otherRack(rack); h.Budget.OneDomain && other != "" {
		return string(refusef("rack %s of pool %s has VMs out already; one_domain allows one rack at a time",
			other, h.Pool))
	}
	need := float64(short) * estimate.Seconds()
	if h.Spent+need > h.Allowed {
		return string(refusef("pool %s spent %.0f of %.0f VM-seconds in its window; this drain needs about %.0f more",
			h.Pool, h.Spent, h.Allowed, need))
	}
	return ""
}

// Take counts one more VM of the rack as out of service.
func (h *Headroom) Take(rack string) {
	h.Serving--
	h.OutRacks[rack]++
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

// MayDrain reports whether the pool's budget bears one more planned drain, of
// this VM, at the time now; the reason is empty when it does. The fold calls it
// at the record's offset: of two drains that race for the last unit of budget
// the later one is refused.
func (s *State) MayDrain(vm *VM, estimate time.Duration, now time.Time) string {
	if !vm.Serving() {
		return ""
	}
	h, ok := s.Headroom(vm.Pool, now)
	if !ok {
		return ""
	}
	return h.Refusal(vm.Rack, estimate)
}
