package node

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/assignments"
	"github.com/yuccadrift/yuccadrift/internal/front"
	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/owner"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
	"github.com/yuccadrift/yuccadrift/internal/published"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Timeouts of calls to owners.
const (
	// ownerCallTimeout bounds one call. An owner answers within milliseconds; if it does not, a
	// new call is better than waiting.
	ownerCallTimeout = 400 * time.Millisecond
	// ownerCallRetryInterval is the pause before a call is repeated, for example while a
	// partition is handed over.
	ownerCallRetryInterval = 80 * time.Millisecond
)

// ownerDirectory finds and calls the owner of a service's jobs, on this or another node. It
// also serves such calls of other nodes to the owners on this node (serve.go), and keeps the
// reports of stopped owners for their successors (release.go).
type ownerDirectory struct {
	assignments *assignments.Follower
	selfAddress string // this node's address for other nodes
	clients     *nodepeer.Clients
	manager     *ownership.Manager
	prospects   prospectBook
	logger      hclog.Logger
	// checkStore returns an error if the store doesn't answer this node.
	checkStore func() error
	intake     *intake.Router
	published  *published.Follower

	mu      sync.Mutex
	local   map[int]*owner.Owner         // by partition
	reports map[int]owner.HandoverReport // by partition, of the last local owner that did not store its handover
}

func (o *ownerDirectory) localOwner(partition int) *owner.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.local[partition]
}

func (o *ownerDirectory) setLocalOwner(partition int, localOwner *owner.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.local[partition] = localOwner
}

func (o *ownerDirectory) removeLocalOwner(partition int, localOwner *owner.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.local[partition] == localOwner {
		delete(o.local, partition)
	}
}

// call calls the owner of a partition until it answers or ctx ends.
func (o *ownerDirectory) call(ctx context.Context, m nodepeer.Method, req nodepeer.Request) (nodepeer.Response, bool) {
	for refreshOwner := false; ctx.Err() == nil; refreshOwner = true {
		response, ok := o.callOnce(ctx, m, req, refreshOwner)
		if ok && response.IsOwner {
			return response, true
		}
		wait.Pause(ctx, ownerCallRetryInterval)
	}
	return nodepeer.Response{}, false
}

// callOwnerOf calls the owner of a service's partition until it answers or ctx ends.
func (o *ownerDirectory) callOwnerOf(ctx context.Context, service string, m nodepeer.Method, req nodepeer.Request) (nodepeer.Response, bool) {
	for ctx.Err() == nil {
		if partition, ok := o.assignments.PartitionOf(service); ok {
			req.Partition = partition
			return o.call(ctx, m, req)
		}
		wait.Pause(ctx, ownerCallRetryInterval)
	}
	return nodepeer.Response{}, false
}

// callOwnerOfOnce is callOwnerOf with one call. The node that it reaches may not be the owner. It returns false
// at once if the service's partition isn't known yet.
func (o *ownerDirectory) callOwnerOfOnce(ctx context.Context, service string, m nodepeer.Method, req nodepeer.Request) (nodepeer.Response, bool) {
	partition, ok := o.assignments.PartitionOf(service)
	if !ok {
		return nodepeer.Response{}, false
	}
	req.Partition = partition
	return o.callOnce(ctx, m, req, false)
}

func (o *ownerDirectory) callOnce(ctx context.Context, m nodepeer.Method, req nodepeer.Request, refreshOwner bool) (nodepeer.Response, bool) {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	if o.localOwner(req.Partition) != nil {
		response, err := o.serveLocal(ctx, m, req)
		return response, err == nil
	}
	address := o.manager.Owner(ctx, platform.Partition{Topic: joblog.JobsTopic, Part: req.Partition}, refreshOwner)
	if address == "" || address == o.selfAddress {
		return nodepeer.Response{}, false
	}
	response, err := o.clients.Call(ctx, address, m, req)
	return response, err == nil
}

// Status returns the status of a job. ok is false also if an owner that doesn't know the job uses a newer
// configuration than this node.
func (o *ownerDirectory) Status(ctx context.Context, service string, id workload.JobID) (front.JobStatus, bool) {
	sentAt := time.Now()
	response, ok := o.callOwnerOf(ctx, service, nodepeer.MethodJobState, nodepeer.Request{Job: id})
	if ok && !response.Known && response.ConfigVersion > o.published.Version() {
		return front.JobStatus{}, false // the path may lead to another service by now
	}
	if ok && response.Known {
		o.prospects.put(admission.Key{Queue: response.JobQueue, Workspace: response.Workspace}, response.Prospect, sentAt)
	}
	return front.JobStatus{State: response.State, Known: response.Known, Workspace: response.Workspace, Queue: response.JobQueue}, ok
}

// WaitingJobs returns the number of jobs of a queue that have not begun.
func (o *ownerDirectory) WaitingJobs(ctx context.Context, service, queue string) (int, bool) {
	response, ok := o.callOwnerOf(ctx, service, nodepeer.MethodWaiting, nodepeer.Request{Queue: queue})
	return response.Waiting, ok
}

// RequestDrains asks the owner of a service to drain workers and returns their drain states in the same
// order. It calls the owner once. Owners of earlier versions drain only the first worker.
func (o *ownerDirectory) RequestDrains(ctx context.Context, service string, workers []string) ([]workload.DrainState, bool) {
	response, ok := o.callOwnerOfOnce(ctx, service, nodepeer.MethodDrain, nodepeer.Request{Worker: workers[0], MoreWorkers: workers[1:]})
	if !ok || !response.IsOwner {
		return nil, false
	}
	states := make([]workload.DrainState, len(workers))
	switch {
	case response.Drained && response.DrainConfirmed:
		states[0] = workload.Drained
	case response.Drained:
		states[0] = workload.DrainedUnconfirmed
	}
	copy(states[1:], response.DrainStates)
	return states, true
}

// LoadsOf returns the loads of all services in the partition of service, marks workers of service
// as due for maintenance, and tells what capacity is on its way to it. It calls the owner once.
func (o *ownerDirectory) LoadsOf(ctx context.Context, service string, dueForMaintenance []string, incoming workload.Resources) ([]workload.ServiceLoad, bool) {
	response, ok := o.callOwnerOfOnce(ctx, service, nodepeer.MethodLoads, nodepeer.Request{Service: service, DueForMaintenance: dueForMaintenance, IncomingMilliCores: &incoming.CPU})
	return response.Loads, ok && response.IsOwner
}

// serveLocal serves a call of this node to an owner on this node.
func (o *ownerDirectory) serveLocal(ctx context.Context, m nodepeer.Method, req nodepeer.Request) (nodepeer.Response, error) {
	switch m {
	case nodepeer.MethodJobState:
		return o.ServeJobState(ctx, req)
	case nodepeer.MethodWaiting:
		return o.localWaitingJobs(ctx, req)
	case nodepeer.MethodLoads:
		return o.ServeLoads(ctx, req)
	case nodepeer.MethodLoan:
		return o.ServeLoan(ctx, req)
	case nodepeer.MethodProspect:
		return o.ServeProspect(ctx, req)
	default:
		return o.ServeDrain(ctx, req)
	}
}
