package ledger

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Cause is what took a VM out of service.
type Cause int

// Causes of unavailability, in the order of Segment.Out.
const (
	CauseMaintenance Cause = iota
	CauseMove
	CauseOperator
	CauseFailure
	CauseMissing // the pool has fewer VMs than its document asks for
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

// Segment is a stretch of time in which a pool's unavailability was constant.
type Segment struct {
	From  time.Time       `json:"from"`
	To    time.Time       `json:"to"`
	Short int             `json:"short"` // VMs missing to the declared size
	Size  int             `json:"size"`
	Out   [causeCount]int `json:"out"` // VMs out of service by cause
}

// Account is a pool's record of unavailability. A pool is charged the VM-seconds
// by which its serving VMs fall short of the declared size. A VM stops counting
// as serving at the offset of its drain, and counts again when it is seen
// healthy, whatever the platform's lagging list says meanwhile.
type Account struct {
	// Open is the segment in progress; its To is unset.
	Open Segment `json:"open"`
	// Closed holds the segments with Short > 0 that end inside the window.
	Closed []Segment `json:"closed,omitempty"`
	// Idle is the VM-seconds of VMs that served beyond the declared size.
	Idle float64 `json:"idle"`
	// Spare is how many VMs serve beyond the declared size now.
	Spare int `json:"spare"`
	// GapSince is since when the pool has had fewer healthy VMs than its size,
	// SurplusSince since when it has had more; zero when it has not. Planning
	// waits by them, so that a change that is soon taken back moves no VM.
	GapSince     time.Time `json:"gap_since"`
	SurplusSince time.Time `json:"surplus_since"`
}

func (a *Account) balance(healthy, size int, now time.Time) {
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

// Unavailability counts a pool's VMs now.
type Unavailability struct {
	Size    int
	Serving int
	Short   int // max(0, Size - Serving)
	Out     [causeCount]int
}

// Unavailability returns the counts of a pool.
func (s *State) Unavailability(pool string) Unavailability {
	var u Unavailability
	svc, ok := s.Services[pool]
	if ok {
		u.Size = svc.Doc.Pool.Size
	}
	vms := s.poolVMs[pool]
	for _, vm := range vms {
		if vm.Serving() {
			u.Serving++
			continue
		}
		u.Out[outCause(vm)]++
	}
	u.Short = max(0, u.Size-u.Serving)
	u.Out[CauseMissing] = max(0, u.Size-len(vms))
	return u
}

// outCause says what keeps a VM out. A VM that was drained and then found
// unhealthy, as one that did not come back from its reboot, counts as failed.
func outCause(vm *VM) Cause {
	switch {
	case vm.Drain == nil || vm.Down:
		return CauseFailure
	case vm.Drain.Reason == record.DrainMaintenance:
		return CauseMaintenance
	case vm.Drain.Reason == record.DrainMove:
		return CauseMove
	}
	return CauseOperator
}

// account closes the pool's open segment at s.Now and opens the next one. It is
// called after every change to the pool's VMs or document.
func (s *State) account(pool string) {
	svc, ok := s.Services[pool]
	if !ok {
		return
	}
	a := &svc.Account
	u := s.Unavailability(pool)
	a.balance(s.Healthy(pool), u.Size, s.Now)
	next := Segment{From: s.Now, Short: u.Short, Size: u.Size, Out: u.Out}
	spare := max(0, u.Serving-u.Size)
	if a.Open.Short == next.Short && a.Open.Out == next.Out && a.Open.Size == next.Size && a.Spare == spare {
		return
	}
	if !a.Open.From.IsZero() {
		a.Idle += float64(a.Spare) * s.Now.Sub(a.Open.From).Seconds()
	}
	if a.Open.Short > 0 && s.Now.After(a.Open.From) {
		closed := a.Open
		closed.To = s.Now
		a.Closed = append(a.Closed, closed)
	}
	a.Open = next
	a.Spare = spare
	a.prune(s.Now.Add(-svc.Doc.Budget.Window))
}

func (a *Account) prune(before time.Time) {
	n := 0
	for n < len(a.Closed) && !a.Closed[n].To.After(before) {
		n++
	}
	a.Closed = a.Closed[n:]
}

// Spent returns the VM-seconds charged between from and to.
func (a *Account) Spent(from, to time.Time) float64 {
	var sum float64
	for _, seg := range a.Closed {
		sum += overlap(seg.From, seg.To, from, to) * float64(seg.Short)
	}
	return sum + overlap(a.Open.From, to, from, to)*float64(a.Open.Short)
}

// SpentBy divides what was charged between from and to among its causes, in
// proportion to the VMs that each cause had out of service.
func (a *Account) SpentBy(from, to time.Time) [causeCount]float64 {
	var by [causeCount]float64
	add := func(seg Segment, end time.Time) {
		seconds := overlap(seg.From, end, from, to) * float64(seg.Short)
		total := 0
		for _, n := range seg.Out {
			total += n
		}
		if total == 0 {
			return
		}
		for c, n := range seg.Out {
			by[c] += seconds * float64(n) / float64(total)
		}
	}
	for _, seg := range a.Closed {
		add(seg, seg.To)
	}
	add(a.Open, to)
	return by
}

// overlap returns the seconds that [from, to) and [lo, hi) share.
func overlap(from, to, lo, hi time.Time) float64 {
	if from.IsZero() {
		return 0
	}
	if from.Before(lo) {
		from = lo
	}
	if to.After(hi) {
		to = hi
	}
	if !to.After(from) {
		return 0
	}
	return to.Sub(from).Seconds()
}
