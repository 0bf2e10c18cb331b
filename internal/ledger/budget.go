package ledger

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Cause is the reason why a VM is out of service.
type Cause int

// Causes of unavailability, in the order of Segment.Out.
const (
	CauseMaintenance Cause = iota
	CauseMove
	CauseOperator
	CauseFailure
	CauseMissing // the pool has fewer VMs than its declared size
	causeCount
)

// String returns the cause's name in reports.
func (c Cause) String() string {
	return [...]string{"maintenance", "move", "operator", "failure", "missing"}[c]
}

// Causes lists all causes in order.
func Causes() []Cause {
	return []Cause{CauseMaintenance, CauseMove, CauseOperator, CauseFailure, CauseMissing}
}

// Segment is the time since a pool's counts last changed.
type Segment struct {
	From  time.Time       `json:"from"`
	Short int             `json:"short"` // VMs short of the declared size
	Spare int             `json:"spare"` // VMs serving beyond the declared size
	Size  int             `json:"size"`
	Out   [causeCount]int `json:"out"` // VMs out of service by cause
}

// Account records a pool's unavailability. A pool is charged the VM-seconds by
// which its serving VMs fall short of the declared size. A VM stops counting as
// serving at the offset of its drain and counts again once it is seen healthy,
// whatever the platform's VM list, which lags behind, shows meanwhile.
type Account struct {
	// Since is when the account was opened.
	Since time.Time `json:"since"`
	Open  Segment   `json:"open"`
	// Closed holds the charges before Open, oldest first.
	Closed []Charge `json:"closed,omitempty"`
	// SpareTotal is the time of spare VMs from Since to Open.From, in
	// VM-milliseconds.
	SpareTotal int64 `json:"spare_total"`
	// Events counts the times that VMs went out of service, by cause.
	Events [causeCount]int `json:"events"`
	// Moves counts the VMs that came from other pools, Reboots the VMs
	// rebooted.
	Moves   int `json:"moves"`
	Reboots int `json:"reboots"`
	// DrainDurations holds the durations of the latest drains, oldest first.
	DrainDurations []time.Duration `json:"lasted,omitempty"`
	// GapSince is when the pool's healthy VMs fell below its size, SurplusSince
	// when they exceeded it; zero while neither holds. Planning waits for a
	// while after them, so that a change that is soon reverted moves no VM.
	GapSince     time.Time `json:"gap_since"`
	SurplusSince time.Time `json:"surplus_since"`
}

func (a *Account) updateGapAndSurplus(healthy, size int, now time.Time) {
	since := func(t *time.Time, holds bool) {
		switch {
		case !holds:
			*t = time.Time{}
		case t.IsZero():
			*t = now
		}
	}
	since(&a.GapSince, healthy < size)
	since(&a.SurplusSince, healthy > size)
}

// Unavailability holds the current VM counts of a pool.
type Unavailability struct {
	Size    int
	Serving int
	Short   int // max(0, Size - Serving)
	Out     [causeCount]int
}

// Unavailability returns the current VM counts of a pool.
func (s *State) Unavailability(pool string) Unavailability {
	var u Unavailability
	if svc, ok := s.Services[pool]; ok {
		u.Size = svc.Doc.Pool.Size
	}
	members, out := len(s.poolVMs[pool]), s.poolUnavailable[pool]
	for _, vm := range out {
		u.Out[outCause(vm)]++
	}
	u.Serving = members - len(out)
	u.Short = max(0, u.Size-u.Serving)
	u.Out[CauseMissing] = max(0, u.Size-members)
	return u
}

// outCause returns the cause that keeps a VM out of service. A drained VM that
// was found unhealthy, for example because it did not return from its reboot,
// counts as a failure; a VM that has joined and was not yet seen healthy counts
// as a move.
func outCause(vm *VM) Cause {
	switch {
	case vm.Down:
		return CauseFailure
	case vm.Drain == nil:
		return CauseMove
	}
	return drainCause(vm.Drain.Reason)
}

func drainCause(r record.DrainReason) Cause {
	switch r {
	case record.DrainMaintenance:
		return CauseMaintenance
	case record.DrainMove:
		return CauseMove
	}
	return CauseOperator
}

// updateAccount closes the pool's open segment at s.Now and opens the next one.
// It must be called after every change to the pool's VMs or document.
func (s *State) updateAccount(pool string) {
	svc, ok := s.Services[pool]
	if !ok {
		return
	}
	u := s.Unavailability(pool)
	svc.Account.updateGapAndSurplus(s.Healthy(pool), u.Size, s.Now)
	svc.Account.changeSegment(s, Segment{
		From:  s.Now,
		Short: u.Short,
		Spare: max(0, u.Serving-u.Size),
		Size:  u.Size,
		Out:   u.Out,
	}, max(minChargeRetention, svc.Doc.Budget.Window))
}

// updateReserveAccount does the same for the VMs that are in no pool.
func (s *State) updateReserveAccount() {
	s.Reserve.changeSegment(s, Segment{From: s.Now, Spare: len(s.freeVMs)}, minChargeRetention)
}

func (a *Account) changeSegment(s *State, next Segment, keep time.Duration) {
	if a.Since.IsZero() {
		a.Since = s.Now
	}
	if a.Open.equalCounts(next) {
		return
	}
	a.openSegment(next, s.Now)
	end := s.Now
	if before, ok := s.Clock.unconfirmedJump(); ok {
		end = before
	}
	a.prune(end.Add(-keep))
}

// equalCounts reports whether two segments differ only in their start.
func (s Segment) equalCounts(o Segment) bool {
	o.From = s.From
	return s == o
}

// maxDrainDurations is the number of drains that an account keeps,
// minDrainDurations the number that Typical needs.
const (
	maxDrainDurations = 16
	minDrainDurations = 3
)

func (a *Account) recordDrainDuration(d time.Duration) {
	a.DrainDurations = append(a.DrainDurations, d)
	if len(a.DrainDurations) > maxDrainDurations {
		a.DrainDurations = slices.Clone(a.DrainDurations[len(a.DrainDurations)-maxDrainDurations:])
	}
}

// Typical returns the 75th percentile of the durations of the pool's latest
// drains, 0 if too few are known. Shorter estimates are raised to it: otherwise
// a planner whose estimates are far too low would overspend the budget with
// every drain.
func (a *Account) Typical() time.Duration {
	if len(a.DrainDurations) < minDrainDurations {
		return 0
	}
	sorted := slices.Sorted(slices.Values(a.DrainDurations))
	return sorted[(3*len(sorted)-1)/4]
}
