package fleetowner

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
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
		o.do(ctx, func(ctx context.Context) { o.order(ctx, a) })
	case fleet.Store:
		o.sequence++
		sequence := o.sequence
		o.do(ctx, func(ctx context.Context) { o.store(ctx, a, sequence) })
	}
}

func (o *Owner) empty(ctx context.Context, a fleet.Action) {
	empty, ok := o.deps.Services.Empty(ctx, a.Pool, a.Worker)
	o.send(ctx, func(c *fleet.Core, now time.Time) {
		delete(o.asking, a.Worker)
		c.Emptied(a.VM, a.Worker, empty && ok, now)
	})
}

func (o *Owner) order(ctx context.Context, a fleet.Action) {
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
func (o *Owner) store(ctx context.Context, a fleet.Action, sequence int64) {
	o.writes.Lock()
	defer o.writes.Unlock()
	value, err := json.Marshal(storedWave{Done: a.Done})
	if err != nil {
		o.logger.Error("wave can't be encoded", "wave", a.Wave, "error", err)
		return
	}
	record := platform.KeyedRecord{Key: waveKey + strconv.FormatInt(a.Wave, 10), Value: value}
	status, err := o.log.Write(ctx, o.epoch, sequence, []platform.KeyedRecord{record})
	if status == platform.StoreFenced {
		o.lose(errors.Wrap(ErrLost, "a later owner has fenced the fleet"))
		return
	}
	if status == platform.StoreOK {
		status, err = o.deps.Store.WriteWaveState(ctx, a.Wave, a.State)
	}
	if status != platform.StoreOK {
		o.logger.Warn("state of a wave can't be stored yet", "wave", a.Wave, "status", status.String(), "error", err)
		o.send(ctx, func(c *fleet.Core, _ time.Time) { c.StoreFailed(a.Wave) })
		return
	}
	o.logger.Info("wave", "wave", a.Wave, "state", string(a.State), "done", len(a.Done))
}
