package owner

import "github.com/yuccadrift/yuccadrift/internal/workload"

// Assignments are the known partitions of services.
type Assignments interface {
	// PartitionOf returns the partition of a service's jobs and whether it is known.
	PartitionOf(service string) (partition int, ok bool)
	// Count returns how many services have a known partition. It never falls.
	Count() int
}

// ownsService reports whether a service's jobs are in the partition. Services that are not
// configured are not owned: the registry may have stray entries that name them, and waiting
// for a worker that never answers would delay a takeover by a lease.
func (o *Owner) ownsService(service string) bool {
	if config := o.deps.Published.Config(); config != nil && !config.HasService(service) {
		return false
	}
	partition, ok := o.deps.Assignments.PartitionOf(service)
	return ok && partition == o.partition
}

// mayRunTasks reports whether workers of a service may run tasks of the partition's jobs. The VMs of a
// standby service are switched off.
func (o *Owner) mayRunTasks(service string) bool {
	config := o.deps.Published.Config()
	return o.ownsService(service) && (config == nil || !config.IsStandby(service))
}

// splitWorkers returns the workers of the partition's services, and the addresses of all
// other workers.
func (o *Owner) splitWorkers(list []workload.Worker) (own []workload.Worker, otherAddresses []string) {
	for _, w := range list {
		if o.ownsService(w.Service) {
			own = append(own, w)
		} else {
			otherAddresses = append(otherAddresses, w.Address)
		}
	}
	return own, otherAddresses
}
