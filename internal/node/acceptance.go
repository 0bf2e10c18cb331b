package node

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/front"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Acceptance returns what the owner of a service's jobs knows of a request. It calls the owner that
// was known last, once: an answer that is late is no use to a caller that is to be refused.
func (o *ownerDirectory) Acceptance(ctx context.Context, service string, r acceptance.Request, by workload.Requester) front.AcceptanceReport {
	partition, ok := o.assignments.PartitionOf(service)
	if !ok {
		return front.AcceptanceReport{}
	}
	r.Partition = partition
	wasOpen := o.intake.HasOpenAttempt(r)
	req := nodepeer.Request{Partition: r.Partition, Job: r.Job, Cancels: r.Cancels, Requester: &by}
	var response nodepeer.Response
	var err error
	if o.localOwner(req.Partition) != nil {
		response, err = o.ServeAcceptance(ctx, req)
	} else if address := o.manager.CachedOwner(platform.Partition{Topic: joblog.JobsTopic, Part: req.Partition}); address != "" && address != o.selfAddress {
		response, err = o.clients.Call(ctx, address, nodepeer.MethodAcceptance, req)
		if response.Acceptance != nil && response.Acceptance.ReadSinceAsked {
			o.intake.EndBackoff(address)
		}
	}
	report := front.AcceptanceReport{Stands: response.Stands, HasOpenAttempt: wasOpen || o.intake.HasOpenAttempt(r)}
	if err != nil {
		o.logger.Debug("owner doesn't say whether a job was accepted", "job", r.Job, "partition", req.Partition, "error", err)
		return report
	}
	if response.Acceptance != nil {
		report.Owner = *response.Acceptance
	}
	return report
}

// jobOwner is what a report needs of an owner.
type jobOwner interface {
	Stands(ctx context.Context, id workload.JobID, cancels bool, by workload.Requester) (stands, ok bool)
	Recheck(ctx context.Context) error
	IsCurrent() bool
	OwnedFor(now time.Time) time.Duration
}

// ServeAcceptance serves MethodAcceptance.
func (o *ownerDirectory) ServeAcceptance(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	localOwner := o.localOwner(req.Partition)
	if localOwner == nil || req.Requester == nil {
		return nodepeer.Response{}, nil
	}
	r := acceptance.Request{Partition: req.Partition, Job: req.Job, Cancels: req.Cancels}
	stands, report, ok := o.reportOn(ctx, localOwner, r, *req.Requester)
	if !ok {
		return nodepeer.Response{}, nil
	}
	return nodepeer.Response{IsOwner: report.IsCurrent, Stands: stands, Acceptance: &report}, nil
}

// reportOn returns what an owner on this node says of a request. ok is false if the owner doesn't answer.
// While the store doesn't answer this node, the partition is not read again, so that the answer is not
// late. A job of another workspace is treated as unknown.
func (o *ownerDirectory) reportOn(ctx context.Context, localOwner jobOwner, r acceptance.Request, by workload.Requester) (stands bool, report acceptance.OwnerReport, ok bool) {
	// An attempt in flight may be stored after the read and end before the answer.
	wasOpen := o.intake.HasOpenAttempt(r)
	stands, ok = localOwner.Stands(ctx, r.Job, r.Cancels, by)
	if ok && !stands && o.checkStore() == nil {
		if err := localOwner.Recheck(ctx); err != nil {
			o.logger.Debug("a job may be stored that the owner doesn't know", "job", r.Job, "partition", r.Partition, "error", err)
		} else {
			report.ReadSinceAsked = true
			stands, ok = localOwner.Stands(ctx, r.Job, r.Cancels, by)
		}
	}
	report.IsCurrent = localOwner.IsCurrent()
	report.WatchedFor = min(localOwner.OwnedFor(time.Now()), o.intake.AttemptsCompleteFor())
	report.HasOpenAttempt = wasOpen || o.intake.HasOpenAttempt(r)
	return stands || o.intake.HasStored(r, by), report, ok
}

// ServeOpenAttempts serves MethodOpenAttempts. A node that another may have replaced refuses them, so
// that they reach the owner that answers questions.
func (o *ownerDirectory) ServeOpenAttempts(_ context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	localOwner := o.localOwner(req.Partition)
	if localOwner == nil || !localOwner.IsCurrent() {
		return nodepeer.Response{}, nil
	}
	o.intake.ServeOpen(req.OpenAttempts)
	return nodepeer.Response{IsOwner: true}, nil
}
