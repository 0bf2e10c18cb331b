package node

import (
	"context"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
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

// newerConfig returns this node's configuration if the node that asks to store a caller's record uses an older one,
// by which the record goes to a service that it wouldn't go to by the newer one; nil otherwise. The caller's job may
// have been submitted to the later service already. A cancellation doesn't state its queue: it goes where its job is.
func (p peerHandler) newerConfig(ctx context.Context, req nodepeer.Request, record workload.Record) *nodepeer.ConfigResult {
	config := p.published.Config()
	if config == nil || req.ConfigVersion == 0 || req.ConfigVersion >= config.Version {
		return nil
	}
	if record.Submission != nil {
		if q := config.Queue(record.Submission.Queue); q != nil && q.Service == record.Submission.Service {
			return nil
		}
	} else if localOwner := p.localOwner(req.Partition); localOwner != nil {
		if s, ok := localOwner.State(ctx, record.Job); !ok || s.Known {
			return nil
		}
	}
	return &nodepeer.ConfigResult{Record: p.published.ConfigNewerThan(req.ConfigVersion).Record}
}
