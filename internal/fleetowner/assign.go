package fleetowner

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/assignments"
	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/partitioning"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Assignments are the known partitions of services.
type Assignments interface {
	Table() partitioning.Table
	Add(partitioning.Table)
}

// assigner assigns partitions to services that have none. Only the owner of the fleet does, fenced by its
// epoch, so that all nodes read the same partition of a service. It is used by one goroutine at a time.
type assigner struct {
	deps   Deps
	epoch  int64
	log    *joblog.Log
	writer *writer // nil until earlier owners are fenced
}

func newAssigner(deps Deps, epoch int64) *assigner {
	return &assigner{deps: deps, epoch: epoch, log: joblog.New(deps.Store, deps.Hedger, assignments.Topic, 0)}
}

// serviceNames returns the names of the configured services, those with workers first.
func serviceNames(config *workload.Config) []string {
	var names, standby []string
	for _, s := range config.Services {
		if s.Standby {
			standby = append(standby, s.Name)
		} else {
			names = append(names, s.Name)
		}
	}
	slices.Sort(names)
	slices.Sort(standby)
	return append(names, standby...)
}

// assignMissing starts an assignment if a configured service has no partition and none is under way.
func (o *Owner) assignMissing(ctx context.Context, config *workload.Config) {
	services := serviceNames(config)
	if o.deps.Assignments == nil || o.assignInFlight || len(o.deps.Assignments.Table().Missing(services)) == 0 {
		return
	}
	o.assignInFlight = true
	go func() {
		err := o.assigner.assign(ctx, services)
		switch {
		case errors.Is(err, ErrOwnershipLost):
			o.loseOwnership(err)
		case err != nil && ctx.Err() == nil:
			o.logger.Warn("partitions can't be assigned to services, retrying", "error", err)
			wait.Pause(ctx, takeoverRetryInterval)
		}
		o.enqueue(ctx, func(*fleet.Core, time.Time) { o.assignInFlight = false })
	}()
}

// assign stores partitions for those of the services that have none, and adds all stored ones to the known
// assignments.
func (a *assigner) assign(ctx context.Context, services []string) error {
	if a.writer == nil {
		switch status, err := a.log.Fence(ctx, a.epoch); status {
		case platform.StoreOK:
		case platform.StoreFenced:
			return errors.Wrap(ErrOwnershipLost, "a later owner has fenced the services")
		default:
			return errors.Wrap(err, "fence the services")
		}
		a.writer = newWriter(a.log, a.epoch, a.deps.Logger)
		go a.writer.run(ctx)
	}
	batch, status, err := a.log.Snapshot(ctx)
	if status != platform.StoreOK {
		return errors.Wrap(err, "read the partitions of services")
	}
	table, err := a.decode(batch)
	if err != nil {
		return err
	}
	holdsJobs, err := a.partitionsWithJobs(ctx, table, services)
	if err != nil {
		return err
	}
	added := partitioning.Assign(table, services, a.deps.Partitions, holdsJobs)
	for _, service := range services {
		partition, isNew := added[service]
		if !isNew {
			continue
		}
		key, value, err := partitioning.Encode(service, partition)
		if err != nil {
			return err
		}
		if err := a.writer.put(ctx, key, value); err != nil {
			return errors.Wrap(ErrOwnershipLost, err.Error())
		}
		a.deps.Logger.Info("partition assigned to a service", "service", service, "partition", partition)
	}
	a.deps.Assignments.Add(table.Merge(added))
	return nil
}

// decode returns the stored partitions. An entry that can't be decoded is an error: its service may have
// jobs in a partition that isn't known.
func (a *assigner) decode(batch platform.Batch) (partitioning.Table, error) {
	table := partitioning.Table{}
	for _, r := range batch.Records {
		if len(r.Value) == 0 {
			continue
		}
		service, partition, err := partitioning.Decode(r.Key, r.Value, a.deps.Partitions)
		if err != nil {
			return nil, err
		}
		table[service] = partition
	}
	return table, nil
}

// partitionsWithJobs returns, if no service has a partition yet, those of the partitions that several services
// prefer which hold jobs. Nodes of versions without assignments have stored them.
func (a *assigner) partitionsWithJobs(ctx context.Context, table partitioning.Table, services []string) ([]int, error) {
	if len(table) > 0 {
		return nil, nil
	}
	var holding []int
	for _, p := range partitioning.Shared(services, a.deps.Partitions) {
		batch, status, err := joblog.New(a.deps.Store, a.deps.Hedger, joblog.JobsTopic, p).Snapshot(ctx)
		if status != platform.StoreOK {
			return nil, errors.Wrapf(err, "read partition %d", p)
		}
		records, errs := joblog.Decode(batch)
		if len(errs) > 0 || slices.ContainsFunc(records, func(r workload.Record) bool { return r.Submission != nil }) {
			holding = append(holding, p)
		}
	}
	return holding, nil
}
