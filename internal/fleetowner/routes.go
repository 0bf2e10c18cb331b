package fleetowner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/routehistory"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// routeRecorder stores to which services the routes of each path have led. Only the owner of the fleet does,
// fenced by its epoch. It is used by one goroutine at a time.
type routeRecorder struct {
	deps   Deps
	epoch  int64
	log    *joblog.Log
	writer *writer            // nil until earlier owners are fenced
	stored routehistory.Table // nil until it was read
}

func newRouteRecorder(deps Deps, epoch int64) *routeRecorder {
	return &routeRecorder{deps: deps, epoch: epoch, log: joblog.New(deps.Store, deps.Hedger, routehistory.Topic, 0)}
}

// recordRoutes starts storing the routes of a configuration unless that is done or under way.
func (o *Owner) recordRoutes(ctx context.Context, config *workload.Config) {
	if o.recordsRoutes || o.routesRecorded == config {
		return
	}
	o.recordsRoutes = true
	go func() {
		err := o.routeRecorder.record(ctx, config)
		switch {
		case errors.Is(err, ErrOwnershipLost):
			o.loseOwnership(err)
		case err != nil && ctx.Err() == nil:
			o.logger.Warn("histories of paths can't be stored, retrying", "error", err)
			wait.Pause(ctx, takeoverRetryInterval)
		}
		o.enqueue(ctx, func(*fleet.Core, time.Time) {
			o.recordsRoutes = false
			if err == nil {
				o.routesRecorded = config
			}
		})
	}()
}

// record stores the entries that the routes of a configuration change.
func (r *routeRecorder) record(ctx context.Context, config *workload.Config) error {
	if err := r.takeOver(ctx); err != nil {
		return err
	}
	changed := r.stored.Observe(config.Queues, time.Now())
	writes := make([]pendingWrite, 0, len(changed))
	for _, e := range changed {
		key, value, err := e.Encode()
		if err != nil {
			return err
		}
		w, err := r.writer.enqueue(ctx, key, value)
		if err != nil {
			return err
		}
		writes = append(writes, w)
		if e.ChangedAtMS > 0 {
			r.deps.Logger.Info("path leads to another service", "host", e.Host, "path", e.Prefix, "service", e.Current, "services", e.Services)
		}
	}
	for _, w := range writes {
		if err := w.wait(ctx); err != nil {
			return errors.Wrap(ErrOwnershipLost, err.Error())
		}
	}
	return nil
}

// takeOver fences earlier owners and reads what they have stored.
func (r *routeRecorder) takeOver(ctx context.Context) error {
	if r.writer == nil {
		switch status, err := r.log.Fence(ctx, r.epoch); status {
		case platform.StoreOK:
		case platform.StoreFenced:
			return errors.Wrap(ErrOwnershipLost, "a later owner has fenced the histories of paths")
		default:
			return errors.Wrap(err, "fence the histories of paths")
		}
		r.writer = newWriter(r.log, r.epoch, r.deps.Logger)
		go r.writer.run(ctx)
	}
	if r.stored != nil {
		return nil
	}
	batch, status, err := r.log.Snapshot(ctx)
	if status != platform.StoreOK {
		return errors.Wrap(err, "read the histories of paths")
	}
	r.stored = routehistory.DecodeBatch(batch, routehistory.NewRejections(r.deps.Logger))
	return nil
}
