package fleetowner

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// act carries out one action.
func (o *Owner) act(ctx context.Context, a fleet.Action) {
	switch a.Verb {
	case fleet.Empty:
		if o.asking[a.Worker] {
			return
		}
		o.asking[a.Worker] = true
		o.do(ctx, func(ctx context.Context) { o.empty(ctx, a) })
	case fleet.Maintain, fleet.Move:
		go o.announce(ctx, a) // bounded: one a VM
	case fleet.Store:
		go o.store(ctx, a) // bounded: one a wave
	}
}

// unseenPause is how long an idle worker, which is polled once it is to be emptied, takes
// to answer.
const unseenPause = 30 * time.Millisecond

// empty asks for a worker to be emptied, and once more where its process has not answered
// lately: the next step would be late for a pool that waits for the VM.
func (o *Owner) empty(ctx context.Context, a fleet.Action) {
	vacancy, asked := o.vacancy(ctx, a)
	if vacancy == workload.VacantUnseen {
		wait.Pause(ctx, unseenPause)
		vacancy, asked = o.vacancy(ctx, a)
	}
	o.send(ctx, func(c *fleet.Core, _ time.Time) {
		delete(o.asking, a.Worker)
		c.Emptied(a.VM, a.Worker, vacancy, asked)
	})
}

// vacancy asks a worker's owner, and returns what it said and when it was asked.
func (o *Owner) vacancy(ctx context.Context, a fleet.Action) (v workload.Vacancy, asked time.Time) {
	asked = time.Now()
	v, ok := o.deps.Services.Empty(ctx, a.Pool, a.Worker)
	if !ok {
		return workload.Occupied, asked
	}
	return v, asked
}

// vmKey is the key of what is stored of a VM.
const vmKey = "vm/"

// storedOrder is stored before a VM is ordered. A later owner leaves the VM
// alone for a while after it: orders of two holders for one VM must not follow
// each other closely. VMs without one it may order at once.
type storedOrder struct {
	AtMS int64 `json:"at"` // since 1970, by the owner's clock
	// Wave is the number of the wave that it was ordered for, 0 for a move. Owners of
	// earlier versions did not store it.
	Wave int64 `json:"wave"`
}

// announce stores that a VM is to be ordered, and then orders it.
func (o *Owner) announce(ctx context.Context, a fleet.Action) {
	value, err := json.Marshal(storedOrder{AtMS: time.Now().UnixMilli(), Wave: a.Wave})
	if err == nil {
		err = o.writer.put(ctx, vmKey+a.VM, value)
	}
	if err != nil {
		if ctx.Err() == nil {
			o.lose(errors.Wrap(ErrLost, err.Error()))
		}
		return
	}
	o.do(ctx, func(ctx context.Context) { o.order(ctx, a) })
}

// order orders a VM, unless the word that it is empty has grown old meanwhile: the
// store may have been away while the order was announced, or calls have waited
// for a slot. The worker is open again then, and an order would end what it runs.
func (o *Owner) order(ctx context.Context, a fleet.Action) {
	if reason := o.tooLate(a, time.Now()); reason != "" {
		o.logger.Info("VM not ordered", "vm", a.VM, "wave", a.Wave, "pool", a.Pool, "reason", reason)
		o.send(ctx, func(c *fleet.Core, now time.Time) { c.Ordered(a.VM, fleet.Refused, now) })
		return
	}
	holder := platform.Holder{Node: o.deps.Node, Token: o.epoch}
	var status platform.ActStatus
	var err error
	if a.Verb == fleet.Maintain {
		status, err = o.deps.Machines.Maintain(ctx, holder, a.VM, a.Wave)
	} else {
		status, err = o.deps.Machines.Move(ctx, holder, a.VM, a.Pool)
	}
	o.logger.Info("VM ordered", "vm", a.VM, "maintain", a.Verb == fleet.Maintain, "wave", a.Wave, "pool", a.Pool,
		"reason", a.Reason, "outcome", status.String(), "error", err)
	if status == platform.ActFenced {
		o.lose(errors.Wrap(ErrLost, "a VM has seen a higher fencing token"))
		return
	}
	o.send(ctx, func(c *fleet.Core, now time.Time) { c.Ordered(a.VM, resultOf(status), now) })
}

// tooLate tells why an order may not be given any more, "" if it may. Another owner counts
// the VMs that were announced as ordered then, and not later.
func (o *Owner) tooLate(a fleet.Action, now time.Time) string {
	switch {
	case !a.Until.IsZero() && past(a.Until, now):
		return "the word that it is empty is too old by " + now.Sub(a.Until).String()
	case o.deps.OwnedUntil != nil && !now.Before(o.deps.OwnedUntil()):
		return "another node may own the fleet"
	}
	return ""
}

// past tells whether a time has passed on the steady clock or by the time of day. A
// VM that was suspended has a steady clock that knows nothing of it; a time of day
// that was set forward costs one more look at the worker.
func past(t, now time.Time) bool {
	return now.After(t) || now.Round(0).After(t.Round(0))
}

func resultOf(s platform.ActStatus) fleet.Result {
	switch s {
	case platform.ActOK:
		return fleet.Taken
	case platform.ActBusy, platform.ActRefused:
		return fleet.Refused
	case platform.ActNotDue, platform.ActInvalid:
		return fleet.Invalid
	default:
		return fleet.Unclear
	}
}

func (o *Owner) lose(err error) {
	select {
	case o.lost <- err:
	default: // one reason is enough
	}
}

// store stores how far a wave is, for a later owner and for operators.
func (o *Owner) store(ctx context.Context, a fleet.Action) {
	value, err := json.Marshal(storedWave{Done: a.Done})
	if err == nil {
		err = o.writer.put(ctx, waveKey+strconv.FormatInt(a.Wave, 10), value)
	}
	if err != nil {
		if ctx.Err() == nil {
			o.lose(errors.Wrap(ErrLost, err.Error()))
		}
		return
	}
	status, err := o.deps.Store.WriteWaveState(ctx, a.Wave, a.State)
	if status != platform.StoreOK {
		o.logger.Warn("state of a wave can't be stored yet", "wave", a.Wave, "status", status.String(), "error", err)
		wait.Pause(ctx, writeRetry)
		o.send(ctx, func(c *fleet.Core, _ time.Time) { c.StoreFailed(a.Wave) })
		return
	}
	o.logger.Info("wave", "wave", a.Wave, "state", string(a.State), "done", len(a.Done))
}
