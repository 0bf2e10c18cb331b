package front

import (
	"context"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/returntime"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Routes knows which routes were replaced by others of the same path.
type Routes interface {
	// Former returns the services other than a queue's own that may have jobs of the queue's path.
	// isRecent is set while attempts to submit jobs to them may be under way.
	Former(config *workload.Config, q *workload.Queue) (services []string, isRecent bool)
}

// formerRetryInterval is the pause before the owners of former services are asked again.
const formerRetryInterval = 60 * time.Millisecond

func (h *Handler) formerServices(req *request, config *workload.Config) (services []string, isRecent bool) {
	if h.Routes == nil {
		return nil, false
	}
	return h.Routes.Former(config, req.queue)
}

// mayLieElsewhere reports whether jobs of the request's path may lie with another service than the queue's.
func (h *Handler) mayLieElsewhere(req *request, config *workload.Config) bool {
	former, _ := h.formerServices(req, config)
	return len(former) > 0
}

// findJob returns the status of a job and sets the request's service to the one that has the job. If the queue's
// service doesn't know it, the services are asked that the path has led to before. ok is false if one of them
// did not answer and none knows the job.
func (h *Handler) findJob(ctx context.Context, req *request, id workload.JobID, config *workload.Config) (status JobStatus, ok bool) {
	status, ok = h.Owners.Status(ctx, req.queue.Service, id)
	if !ok || status.isVisibleTo(req.requester()) {
		return status, ok
	}
	former, _ := h.formerServices(req, config)
	answers := askAll(former, func(service string) formerAnswer {
		s, answered := h.Owners.Status(ctx, service, id)
		return formerAnswer{service: service, status: s, isCertain: answered}
	})
	for _, a := range answers {
		if a.isCertain && a.status.isVisibleTo(req.requester()) {
			req.service = a.service
			return a.status, true
		}
		ok = ok && a.isCertain
	}
	return status, ok
}

// formerAnswer is what the owner of a former service says of a job.
type formerAnswer struct {
	service   string
	status    JobStatus
	knows     bool
	isCertain bool // nothing is left open
}

// askAll asks the owners of services at the same time.
func askAll(services []string, ask func(service string) formerAnswer) []formerAnswer {
	answers := make(chan formerAnswer, len(services))
	for _, s := range services {
		go func() { answers <- ask(s) }()
	}
	var all []formerAnswer
	for range services {
		all = append(all, <-answers)
	}
	return all
}

// submittedBefore returns the response to a submission that must not be stored with the queue's service: its job
// was or may have been submitted while the path led to another service. It returns false if the submission is
// to be stored. A job that was submitted to two services would run twice.
func (h *Handler) submittedBefore(ctx context.Context, req *request, id workload.JobID, config *workload.Config) (response, bool) {
	if !h.mayLieElsewhere(req, config) {
		return response{}, false
	}
	limit := req.timeout / 2 // the rest is for storing the job
	ctx, cancel := context.WithTimeout(ctx, max(0, limit-time.Since(req.startedAt)))
	defer cancel()
	if status, ok := h.Owners.Status(ctx, req.queue.Service, id); ok && status.isVisibleTo(req.requester()) {
		return response{}, false
	}
	for {
		former, isRecent := h.formerServices(req, config)
		answers := askAll(former, func(service string) formerAnswer { return h.askFormer(ctx, req, id, service, isRecent) })
		if slices.ContainsFunc(answers, func(a formerAnswer) bool { return a.knows }) {
			return accepted(), true
		}
		if !slices.ContainsFunc(answers, func(a formerAnswer) bool { return !a.isCertain }) {
			return response{}, false
		}
		if wait.Sleep(ctx, formerRetryInterval) != nil {
			return uncertainResponse(returntime.OwnerUnavailable, "the owner of a service that the path led to before can't rule out that it has the job"), true
		}
	}
}

// askFormer asks the owner of a former service whether it has a submission, or may still get it.
func (h *Handler) askFormer(ctx context.Context, req *request, id workload.JobID, service string, isRecent bool) formerAnswer {
	a := formerAnswer{service: service}
	status, ok := h.Owners.Status(ctx, service, id)
	if !ok {
		return a
	}
	report := AcceptanceReport{}
	if !status.isVisibleTo(req.requester()) {
		report = h.Owners.Acceptance(ctx, service, acceptance.Request{Job: id}, req.requester())
	}
	a.knows = status.isVisibleTo(req.requester()) || report.Stands
	o := report.Owner
	a.isCertain = o.IsCurrent && o.ReadSinceAsked && !o.HasOpenAttempt && !report.HasOpenAttempt && (!isRecent || o.WatchedFor >= acceptance.AttemptMemory)
	return a
}

// isRerouted reports whether the request's path leads to another service, or nowhere, since the request was routed.
func (h *Handler) isRerouted(req *request) bool {
	q := h.Config().Route(hostOf(req.http), req.http.URL.Path)
	return q == nil || q.Service != req.queue.Service
}
