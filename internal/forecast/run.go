// Package forecast simulates planning on a copy of the folded state, with the
// production planner and fold and with given durations of drains, reboots and
// returns. The dry run of a wave and the measurements of planning policies use
// it. It has no side effects.
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

// authors are the alternating authors of a run's records. The fold accepts a jump
// of its time only after a second author confirms it.
var authors = [...]string{"forecast-1", "forecast-2"}

// Times holds the durations of the steps of a drain.
type Times struct {
	Drain  time.Duration // until no request and no task is running
	Reboot time.Duration
	Return time.Duration // until the VM is reported healthy
}

// TypicalTimes returns a function that scales fallback to the typical duration of
// the latest drains of a VM's pool, or returns fallback if that is unknown.
func TypicalTimes(s *ledger.State, fallback Times) func(*ledger.VM) Times {
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

// Planner returns the proposals of one planning round.
type Planner func(*pool.View, pool.Policy) []pool.Proposal

// Run is a simulation that advances a state by planning rounds and by the steps
// of the drains that they start.
type Run struct {
	State  *ledger.State
	Now    time.Time
	Policy pool.Policy
	Plan   Planner
	// Times returns the durations of the steps for a VM.
	Times func(vm *ledger.VM) Times
	// Lost reports whether a VM is unreachable. Its steps do not end; it is given up
	// after maintenance.OverdueAfter.
	Lost func(vm string) bool

	pending map[string]pendingStep
	ids     int
}

// pendingStep is the step of a VM at a revision and the time at which it ends.
type pendingStep struct {
	revision record.Revision
	endsAt   time.Time
}

// New returns a run with the production planner. The run modifies state.
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

// Append folds a record that is based on the current state.
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

// Round runs one planning round, folds its proposals and returns how many took
// effect.
func (r *Run) Round() int {
	effective := 0
	for _, p := range r.Plan(pool.NewView(r.State, r.Now), r.Policy) {
		if r.Append(p.Subject, p.Body).Status == ledger.Effective {
			effective++
		}
	}
	return effective
}

// AdvanceTo advances the run to the time end. Steps end in the order of their end times,
// and planning rounds run after each until no proposal takes effect.
func (r *Run) AdvanceTo(end time.Time) {
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

// nextStep returns the VM whose step ends first and when it ends. The ID is empty
// if no step will end.
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

// stepEnd returns when the VM's step ends and whether it ends at all. A step of a
// lost VM ends when the VM is given up.
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

// givenUp reports whether the VM is marked as down and no active wave waits for
// it.
func (r *Run) givenUp(vm *ledger.VM) bool {
	return vm.Down && r.waveOf(vm) == ""
}

// waveOf returns the ID of the active wave that waits for the VM, or an empty
// string.
func (r *Run) waveOf(vm *ledger.VM) string {
	if vm.Drain == nil {
		return ""
	}
	if w, ok := r.State.Waves[vm.Drain.Wave]; ok && w.Active() && w.VMs[vm.ID] == ledger.WaveOut {
		return w.ID
	}
	return ""
}

// giveUp records that the VM is down and skips it in its wave.
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

// jobsLeft returns how long a drain waits for the VM's jobs by their declared run
// times.
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

// endJobs records that the VM's jobs succeeded if the drain waited for them, and
// otherwise that they were preempted.
func (r *Run) endJobs(vm *ledger.VM) {
	result := record.JobPreempted
	if svc, ok := r.State.Services[vm.Pool]; ok && svc.Doc.Jobs.OnDrain == document.LongJobsWait {
		result = record.JobSucceeded
	}
	for _, id := range slices.Sorted(maps.Keys(r.State.WorkerJobs(vm.ID))) {
		r.Append(record.Subject{Kind: record.SubjectJob, Name: id}, record.JobEnd{Result: result, Checkpoint: "forecast"})
	}
}

// finish ends the VM's step with the record that a steward would append.
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
