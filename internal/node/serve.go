package node

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/published"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// ServeJobState serves MethodJobState.
func (o *ownerDirectory) ServeJobState(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	localOwner := o.localOwner(req.Partition)
	if localOwner == nil {
		return nodepeer.Response{}, nil
	}
	s, ok := localOwner.State(ctx, req.Job)
	return nodepeer.Response{ConfigVersion: o.published.Version(), IsOwner: ok, Known: s.Known, State: s.State, Workspace: s.Workspace, JobQueue: s.Queue, Prospect: prospectToWire(s.Prospect)}, nil
}

// localWaitingJobs returns the response to MethodWaiting of an owner on this node.
func (o *ownerDirectory) localWaitingJobs(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	localOwner := o.localOwner(req.Partition)
	if localOwner == nil {
		return nodepeer.Response{}, nil
	}
	n, ok := localOwner.WaitingJobs(ctx, req.Queue)
	return nodepeer.Response{IsOwner: ok, Waiting: n}, nil
}

// ServeDrain serves MethodDrain.
func (o *ownerDirectory) ServeDrain(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	localOwner := o.localOwner(req.Partition)
	if localOwner == nil {
		return nodepeer.Response{}, nil
	}
	states, ok := localOwner.DrainWorkers(ctx, append([]string{req.Worker}, req.MoreWorkers...))
	if !ok {
		return nodepeer.Response{}, nil
	}
	return nodepeer.Response{IsOwner: true, Drained: states[0] != workload.NotDrained, DrainConfirmed: states[0] == workload.Drained, DrainStates: states[1:]}, nil
}

// ServeLoads serves MethodLoads.
func (o *ownerDirectory) ServeLoads(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	localOwner := o.localOwner(req.Partition)
	if localOwner == nil {
		return nodepeer.Response{}, nil
	}
	loads, ok := localOwner.Loads(ctx, req.Service, req.DueForMaintenance, req.IncomingMilliCores)
	return nodepeer.Response{IsOwner: ok, Loads: loads}, nil
}

// peerHandler serves the calls of other nodes.
type peerHandler struct {
	*ownerDirectory
	intake    *intake.Router
	published *published.Follower
	peers     configPeers
}

// ServeStore serves MethodStore. It rejects records other than submissions and cancellations.
func (p peerHandler) ServeStore(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	record, ok, err := workload.DecodeRecord(req.RecordKey, req.RecordValue)
	if err != nil || !ok || record.Submission == nil && !record.Cancel {
		return nodepeer.Response{StoreResult: &nodepeer.StoreResult{Status: platform.StoreInvalid, Reason: "no record of a caller"}}, nil
	}
	if newer := p.newerConfig(ctx, req, record); newer != nil {
		return nodepeer.Response{StoreResult: &nodepeer.StoreResult{Status: platform.StoreInvalid, Reason: "the path leads to another service by a newer configuration"}, Config: newer}, nil
	}
	response := p.intake.Serve(ctx, intake.StoreRequest{Partition: req.Partition, Record: record, PendingAfter: time.Duration(req.PendingAfterMS) * time.Millisecond})
	return nodepeer.Response{StoreResult: &nodepeer.StoreResult{Status: response.Status, Pending: response.Pending, Unavailable: response.Unavailable, NoRoom: response.NoRoom, Reason: response.Reason}}, nil
}

// ServeAttempt serves MethodAttempt.
func (p peerHandler) ServeAttempt(_ context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	p.intake.ServeAttempt(req.Job, time.Duration(req.AgeMS)*time.Millisecond)
	return nodepeer.Response{}, nil
}

// ServeWaiting serves MethodWaiting.
func (p peerHandler) ServeWaiting(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	return p.ownerDirectory.localWaitingJobs(ctx, req)
}
