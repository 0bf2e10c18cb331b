package node

import (
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// formerAttemptsTime is how long after a path began to lead to another service an attempt may still be stored with
// the former one: a node that applies the configuration late, 5 s with the difference of the clocks, a request with
// a timeout of 3 s, and an append that is carried out some seconds after its call.
const formerAttemptsTime = 15 * time.Second

// formerRoutes implements front.Routes.
type formerRoutes struct{ node *Node }

// Former returns the services of other partitions that may have jobs of a queue's path: all of them until the
// stored history was read. Services of one partition share an owner, which knows the jobs of all. A service that
// is not configured has no owner.
func (r formerRoutes) Former(config *workload.Config, q *workload.Queue) (services []string, isRecent bool) {
	former := r.node.routes.Former(config, q)
	own, _ := r.node.assignments.PartitionOf(q.Service)
	var partitions []int
	add := func(service string, partition int) {
		if partition != own && config.HasService(service) && !slices.Contains(partitions, partition) {
			partitions = append(partitions, partition)
			services = append(services, service)
		}
	}
	if !former.IsComplete {
		for service, partition := range r.node.assignments.Table() {
			add(service, partition)
		}
	}
	for _, service := range former.Services {
		if partition, ok := r.node.assignments.PartitionOf(service); ok {
			add(service, partition)
		}
	}
	isRecent = !former.ChangedAt.IsZero() && time.Since(former.ChangedAt) < formerAttemptsTime
	return services, isRecent
}
