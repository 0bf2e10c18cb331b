// Package forecast plays the planning forward over a copy of the folded state:
// the same planner and the same fold as in production, with drains, reboots and
// returns that take as long as told. The dry run of a wave is such a run, and so
// are the measurements of planning policies. It is pure.
package forecast

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/maintenance"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// authors sign the records of a run in turns. The fold doubts a jump of its time
// until a second author confirms it.
var authors = [...]string{"forecast-1", "forecast-2"}

// Times is how long the steps of a drain take.
type Times struct {
	Drain  time.Duration // until no request and no task is left
	Reboot time.Duration
	Return time.Duration // until seen healthy
}

// Learned returns the times of a VM's pool as its latest drains took them, and
// otherwise where the pool has had too few.
func Learned(s *ledger.State, fallback Times) func(*ledger.VM) Times {
	return func(vm *ledger.VM) Times {
		svc, ok := s.Services[vm.Pool]
		if !ok || svc.Account.Typical() == 0 {
			return fallback
		}
		total := fallback.Drain + fallback.Reboot + fallback.Return
		share := float64(svc.Account.Typical()) / float64(max(total, 1))
		scale := func(d time.Duration) time.Duration { return time.Duration(share * float64(d)) }
		return Times{Drain: scale(fallback.Drain), Reboot: scale(fallback.Reboot), Return: scale(fallback.Return)}
	}
}

// Planner returns the proposals of one round.
type Planner func(*pool.View, pool.Policy) []pool.Proposal

// Run is a state that planning and its consequences move forward.
type Run struct {
	State  *ledger.State
	Now    time.Time
	Policy pool.Policy
	Plan   Planner
	// Times returns how long the steps take on a VM.
	Times func(vm *ledger.VM) Times
	// Lost reports whether a VM does not answer; its steps do not end, and it is
	// given up in the end.
	Lost func(vm string) bool

	pending map[string]pendingStep
	ids     int
}

// pendingStep is what a VM is busy with.
type pendingStep struct {
	revision record.Revision
	endsAt   time.Time
}

// New returns a run over state, which it changes, with the production planner.
func New(state *ledger.State, now time.Time, policy pool.Policy, times Times) *Run {
	return &Run{
		State:   state,
		Now:     now,
		Policy:  policy,
		Plan:    maintenance.Plan,
		Times:   func(*ledger.VM) Times { return times },
		Lost:    func(string) bool { return false },
		pending: map[string]pendingStep{},
	}
}

// Append folds a record that was decided on the present state.
func (r *Run) Append(sub record.Subject, body record.Body) ledger.Outcome {
	r.ids++
	return r.State.Apply(r.State.Offset+1, record.Record{
		ID:      fmt.Sprintf("forecast-%d-%d", r.State.Offset, r.ids),
		Subject: sub,
		Base:    r.State.Revision(sub),
		Seen:    r.State.Offset,
		Author:  authors[r.ids%len(authors)],
		Time:    r.Now,
		Body:    body,
	})
}

// OnVM folds a record about a VM.
func (r *Run) OnVM(id string, body record.Body) ledger.Outcome {
	return r.Append(record.Subject{Kind: record.SubjectVM, Name: id}, body)
}

// Round plans once, folds the proposals and reports how many took effect.
func (r *Run) Round() int {
	effective := 0
	for _, p := range r.Plan(pool.NewView(r.State, r.Now), r.Policy) {
		if r.Append(p.Subject, p.Body).Status == ledger.Effective {
			effective++
		}
	}
	return effective
}

// To moves the run to a time: steps end in the order in which they fall due, and
// planning follows each.
func (r *Run) To(end time.Time) {
	for {
		for r.Round() > 0 {
		}
		id, at := r.nextStep()
		if id == "" || at.After(end) {
			r.Now = end
			return
		}
		if at.After(r.Now) {
			r.Now = at
		}
		r.finish(id)
	}
}

// nextStep returns the VM whose step ends first.
func (r *Run) nextStep() (string, time.Time) {
	first, at := "", time.Time{}
	for _, id := range slices.Sorted(maps.Keys(r.State.VMs)) {
		vm := r.State.VMs[id]
		if maintenance.Next(vm) == maintenance.StepNone {
			continue
		}
		done, ends := r.stepEnd(vm)
		if ends && (first == "" || done.Before(at)) {
			first, at = id, done
		}
	}
	return first, at
}

// stepEnd returns when a VM's step ends. A lost VM's step ends with giving it up.
func (r *Run) stepEnd(vm *ledger.VM) (time.Time, bool) {
	if r.Lost(vm.ID) {
		return vm.PhaseSince.Add(maintenance.OverdueAfter(vm)), !r.givenUp(vm)
	}
	s, ok := r.pending[vm.ID]
	if !ok || s.revision != vm.Revision {
		s = pendingStep{revision: vm.Revision, endsAt: r.Now.Add(r.duration(vm))}
		r.pending[vm.ID] = s
	}
	return s.endsAt, true
}

// givenUp reports whether a VM that does not come back is down for the fold and
// out of its wave.
func (r *Run) givenUp(vm *ledger.VM) bool {
	return vm.Down && r.waveOf(vm) == ""
}

// waveOf returns the active wave that waits for the VM, or an empty string.
func (r *Run) waveOf(vm *ledger.VM) string {
	if vm.Drain == nil {
		return ""
	}
	if w, ok := r.State.Waves[vm.Drain.Wave]; ok && w.Active() && w.VMs[vm.ID] == ledger.WaveOut {
		return w.ID
	}
	return ""
}

// giveUp records that a VM does not come back.
func (r *Run) giveUp(vm *ledger.VM) {
	if !vm.Down {
		r.OnVM(vm.ID, record.VMDown{Cause: "did not come back"})
	}
	if wave := r.waveOf(vm); wave != "" {
		r.Append(record.Subject{Kind: record.SubjectWave, Name: wave}, record.WaveSkip{VM: vm.ID, Reason: "did not come back"})
	}
}

func (r *Run) duration(vm *ledger.VM) time.Duration {
	switch maintenance.Next(vm) {
	case maintenance.StepQuiesce:
		return max(r.Times(vm).Drain, r.jobsLeft(vm))
	case maintenance.StepReboot:
		return r.Times(vm).Reboot
	case maintenance.StepReturn:
		return r.Times(vm).Return
	}
	return 0
}

// jobsLeft is how long a drain waits for the VM's jobs by their declaration.
func (r *Run) jobsLeft(vm *ledger.VM) time.Duration {
	svc, ok := r.State.Services[vm.Pool]
	if !ok || svc.Doc.Jobs.OnDrain != document.LongJobsWait {
		return 0
	}
	left := time.Duration(0)
	for _, j := range r.State.WorkerJobs(vm.ID) {
		left = max(left, j.StartedAt.Add(j.Spec.RunTime).Sub(r.Now))
	}
	return left
}

// endJobs ends what a drain has waited for, or preempts what it does not wait for.
func (r *Run) endJobs(vm *ledger.VM) {
	result := record.JobPreempted
	if svc, ok := r.State.Services[vm.Pool]; ok && svc.Doc.Jobs.OnDrain == document.LongJobsWait {
		result = record.JobSucceeded
	}
	for _, id := range slices.Sorted(maps.Keys(r.State.WorkerJobs(vm.ID))) {
		r.Append(record.Subject{Kind: record.SubjectJob, Name: id}, record.JobEnd{Result: result, Checkpoint: "forecast"})
	}
}

// finish ends a VM's step with the record that a steward would write.
func (r *Run) finish(id string) {
	vm := r.State.VMs[id]
	delete(r.pending, id)
	if r.Lost(id) {
		r.giveUp(vm)
		return
	}
	switch maintenance.Next(vm) {
	case maintenance.StepQuiesce:
		r.endJobs(vm)
		r.OnVM(id, record.VMAdvance{To: maintenance.After(vm)})
	case maintenance.StepJoin:
		r.OnVM(id, record.VMJoin{Pool: vm.Drain.Target})
	case maintenance.StepReturn:
		r.OnVM(id, record.VMUp{})
	default:
		r.OnVM(id, record.VMAdvance{To: maintenance.After(vm)})
	}
}
