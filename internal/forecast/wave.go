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

// Bounds of a wave's forecast.
const (
	// horizon is how far a forecast looks ahead. A wave that is not done by
	// then is stuck for all that planning is concerned.
	horizon = 60 * 24 * time.Hour
	// idleStep is how far a forecast moves while nothing happens, as when a
	// wave waits for its pools' budgets to recover.
	idleStep    = time.Minute
	maxIdleStep = time.Hour
	// waveID is the subject of the wave that is tried.
	waveID = "forecast"
)

// ErrRefused means that the wave cannot be started; the text says why.
var ErrRefused = errors.New("the wave would be refused")

// Wave is the forecast of a maintenance wave.
type Wave struct {
	Start time.Time
	// End is when the last VM is back; zero when the wave would not end within
	// the horizon.
	End   time.Time
	Turns []Turn
	// Waiting names the VMs without a turn within the horizon.
	Waiting []string
	// Moves counts VMs that come back to another pool or to the reserve.
	Moves int
}

// Turn is one VM's turn.
type Turn struct {
	VM, Pool, Zone, Rack string
	Out, Back            time.Time
	// Target is where the VM goes when it does not come back to its pool; "free"
	// stands for the reserve.
	Target string
}

// Duration returns how long the wave would take.
func (w Wave) Duration() time.Duration { return w.End.Sub(w.Start) }

// ForWave plays a wave over pools forward on a copy of the state. The error is
// ErrRefused with the reason, or that the state could not be copied.
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
	r.Times = Learned(state, times)
	r.Lost = func(id string) bool { return state.VMs[id].Down }
	out := r.Append(record.Subject{Kind: record.SubjectWave, Name: waveID}, start)
	if out.Status != ledger.Effective {
		return Wave{}, errors.Wrap(ErrRefused, out.Reason)
	}
	w := Wave{Start: now}
	w.simulate(r)
	return w, nil
}

// simulate moves the run on until the wave is over or the horizon is reached.
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

// recordTurns keeps what became of the VMs with the last records.
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

func destination(from string, vm *ledger.VM) string {
	switch vm.Pool {
	case from:
		return ""
	case "":
		return "free"
	}
	return vm.Pool
}

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
