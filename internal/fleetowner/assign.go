package fleetowner

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/assignments"
	"github.com/yuccadrift/yuccadrift/internal/fleet"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/partitioning"
	"github.com/yuccadrift/yuccadrift/internal/rejections"
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
	// rejections are the entries that can't be decoded.
	rejections *rejections.Log
}

// errUnusableEntries is returned if configured services got no partition because their entries can't be decoded.
var errUnusableEntries = errors.New("entries of services can't be decoded, their jobs wait")

// unusableEntriesRetryInterval is the pause after errUnusableEntries. Only another writer mends such an entry.
const unusableEntriesRetryInterval = 5 * time.Second

func newAssigner(deps Deps, epoch int64) *assigner {
	return &assigner{deps: deps, epoch: epoch, log: joblog.New(deps.Store, deps.Hedger, assignments.Topic, 0), rejections: rejections.New(deps.Logger, "entry of a service can't be decoded, the service gets no partition")}
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
		case errors.Is(err, errUnusableEntries):
			wait.Pause(ctx, unusableEntriesRetryInterval)
		case err != nil && ctx.Err() == nil:
			o.logger.Warn("partitions can't be assigned to services, retrying", "error", err)
			wait.Pause(ctx, takeoverRetryInterval)
		}
		o.enqueue(ctx, func(*fleet.Core, time.Time) { o.assignInFlight = false })
	}()
}

// assign stores partitions for those of the services that have none, and adds all stored ones to the known
// assignments. It returns errUnusableEntries if it left out services whose entries can't be decoded.
func (a *assigner) assign(ctx context.Context, services []string) error {
	if err := a.fence(ctx); err != nil {
		return err
	}
	batch, status, err := a.log.Snapshot(ctx)
	if status != platform.StoreOK {
		return errors.Wrap(err, "read the partitions of services")
	}
	table, damaged := a.decode(batch)
	restored := a.restorable(damaged)
	blocked := func(service string) bool { return damaged[service] }
	usable := slices.DeleteFunc(slices.Clone(services), blocked)
	holdsJobs, err := a.partitionsWithJobs(ctx, table, usable)
	if err != nil {
		return err
	}
	table = table.Merge(restored)
	added := partitioning.Assign(table, usable, a.deps.Partitions, holdsJobs).Merge(restored)
	for _, service := range services {
		partition, isNew := added[service]
		if !isNew {
			continue
		}
		if err := a.store(ctx, service, partition); err != nil {
			return err
		}
	}
	a.deps.Assignments.Add(table.Merge(added))
	if slices.ContainsFunc(services, blocked) {
		return errUnusableEntries
	}
	return nil
}

// fence fences earlier owners, once.
func (a *assigner) fence(ctx context.Context) error {
	if a.writer != nil {
		return nil
	}
	switch status, err := a.log.Fence(ctx, a.epoch); status {
	case platform.StoreOK:
	case platform.StoreFenced:
		return errors.Wrap(ErrOwnershipLost, "a later owner has fenced the services")
	default:
		return errors.Wrap(err, "fence the services")
	}
	a.writer = newWriter(a.log, a.epoch, a.deps.Logger)
	go a.writer.run(ctx)
	return nil
}

// store stores the partition of a service.
func (a *assigner) store(ctx context.Context, service string, partition int) error {
	key, value, err := partitioning.Encode(service, partition)
	if err != nil {
		return err
	}
	if err := a.writer.put(ctx, key, value); err != nil {
		return errors.Wrap(ErrOwnershipLost, err.Error())
	}
	a.deps.Logger.Info("partition assigned to a service", "service", service, "partition", partition)
	return nil
}

// decode returns the stored partitions, and the services whose entries can't be decoded. These may have jobs in a
// partition that isn't known.
func (a *assigner) decode(batch platform.Batch) (table partitioning.Table, damaged map[string]bool) {
	table, damaged = partitioning.Table{}, map[string]bool{}
	for _, r := range batch.Records {
		if len(r.Value) == 0 {
			continue
		}
		service, partition, err := partitioning.Decode(r.Key, r.Value, a.deps.Partitions)
		if err != nil {
			a.rejections.Reject(r.Key, err)
			if service, ok := strings.CutPrefix(r.Key, partitioning.KeyPrefix); ok {
				damaged[service] = true
			}
			continue
		}
		a.rejections.Accept(r.Key)
		table[service] = partition
	}
	return table, damaged
}

// restorable returns the known partitions of services whose entries can't be decoded, and takes them out of damaged.
func (a *assigner) restorable(damaged map[string]bool) partitioning.Table {
	restored := partitioning.Table{}
	for service, partition := range a.deps.Assignments.Table() {
		if damaged[service] {
			restored[service] = partition
			delete(damaged, service)
		}
	}
	return restored
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
