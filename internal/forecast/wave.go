package forecast

import (
	"cmp"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/pool"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Limits of a wave's forecast.
const (
	// horizon is how far a forecast looks ahead. A wave that has not ended by then
	// is treated as stuck.
	horizon = 60 * 24 * time.Hour
	// idleStep is the first time step while no VM has a step to end, for example
	// while a wave waits for its pools' budgets. It doubles up to maxIdleStep.
	idleStep    = time.Minute
	maxIdleStep = time.Hour
	// waveID is the ID of the simulated wave.
	waveID = "forecast"
)

// ErrRefused is returned, wrapped with the reason, if the wave cannot be started.
var ErrRefused = errors.New("the wave would be refused")

// Wave is the forecast of a maintenance wave.
type Wave struct {
	Start time.Time
	// End is when the wave ends; zero if it would not end within the horizon.
	End   time.Time
	Turns []Turn
	// Waiting lists the VMs that do not complete a turn within the horizon, skipped
	// VMs included, sorted by ID.
	Waiting []string
	// Moves counts the VMs whose turn ends in another pool or in the reserve.
	Moves int
}

// Turn is the turn of one VM.
type Turn struct {
	VM, Pool, Zone, Rack string
	Out, Back            time.Time
	// Target is the pool that the VM joins after its turn, "free" for the reserve,
	// or empty if it returns to its own pool.
	Target string
}

// Duration returns how long the wave would take. It is meaningless if End is zero.
func (w Wave) Duration() time.Duration { return w.End.Sub(w.Start) }

// ForWave simulates a wave on a copy of the state. It returns an error that wraps
// ErrRefused if the wave cannot be started, or an error if the state cannot be
// copied.
func ForWave(s *ledger.State, now time.Time, start record.WaveStart, policy pool.Policy, times Times) (Wave, error) {
	data, err := ledger.EncodeSnapshot(s)
	if err != nil {
		return Wave{}, errors.Wrap(err, "copy the state")
	}
	state, err := ledger.DecodeSnapshot(data)
	if err != nil {
		return Wave{}, errors.Wrap(err, "copy the state")
	}
	r := New(state, now, policy, times)
	r.Times = TypicalTimes(state, times)
	r.Lost = func(id string) bool { return state.VMs[id].Down }
	out := r.Append(record.Subject{Kind: record.SubjectWave, Name: waveID}, start)
	if out.Status != ledger.Effective {
		return Wave{}, errors.Wrap(ErrRefused, out.Reason)
	}
	w := Wave{Start: now}
	w.simulate(r)
	return w, nil
}

// simulate advances the run until the wave ends or the horizon is reached.
func (w *Wave) simulate(r *Run) {
	turns := map[string]*Turn{}
	pause := idleStep
	for r.State.Waves[waveID].Active() && r.Now.Before(w.Start.Add(horizon)) {
		before := r.State.Offset
		r.Round()
		id, at := r.nextStep()
		if id == "" {
			r.Now = r.Now.Add(pause)
			pause = min(2*pause, maxIdleStep)
		} else {
			r.Now = later(r.Now, at)
			r.finish(id)
		}
		if r.State.Offset != before {
			pause = idleStep
		}
		w.recordTurns(r, turns)
	}
	w.summarize(r)
}

// recordTurns updates the turns from the wave's progress in the state. turns holds
// the turns that have begun, by VM.
func (w *Wave) recordTurns(r *Run, turns map[string]*Turn) {
	for id, progress := range r.State.Waves[waveID].VMs {
		vm, known := r.State.VMs[id]
		turn := turns[id]
		switch {
		case !known:
		case progress == ledger.WaveOut && turn == nil:
			turns[id] = &Turn{VM: id, Pool: vm.Pool, Zone: vm.Zone, Rack: vm.Rack, Out: vm.Drain.Since}
		case progress == ledger.WaveBack && turn != nil && turn.Back.IsZero():
			turn.Back = r.Now
			turn.Target = destination(turn.Pool, vm)
			w.Turns = append(w.Turns, *turn)
		}
	}
}

// destination returns the Turn.Target of a VM that came from the pool from.
func destination(from string, vm *ledger.VM) string {
	switch vm.Pool {
	case from:
		return ""
	case "":
		return "free"
	}
	return vm.Pool
}

// summarize sets the end of the wave, the waiting VMs and the moves, and sorts the
// turns by their begin.
func (w *Wave) summarize(r *Run) {
	wave := r.State.Waves[waveID]
	if !wave.Active() {
		w.End = wave.FinishedAt
	}
	for id, progress := range wave.VMs {
		if progress != ledger.WaveBack {
			w.Waiting = append(w.Waiting, id)
		}
	}
	slices.Sort(w.Waiting)
	slices.SortFunc(w.Turns, func(a, b Turn) int {
		return cmp.Or(a.Out.Compare(b.Out), cmp.Compare(a.VM, b.VM))
	})
	for _, t := range w.Turns {
		if t.Target != "" {
			w.Moves++
		}
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
