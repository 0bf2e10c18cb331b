package front

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/admission"
	"github.com/yuccadrift/yuccadrift/internal/returntime"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// Admission tells the prospects of jobs. ok is false if nothing speaks against the next job of a queue and
// a workspace, or if that isn't known.
type Admission interface {
	Prospect(ctx context.Context, service string, key admission.Key) (p admission.Prospect, age time.Duration, ok bool)
}

// defaultStepEstimate applies to steps without an estimate.
const defaultStepEstimate = time.Second

// minTimeToAsk is the shortest time that a request must have left for questions on its admission. Both may
// take 240 ms together, and the record of an admitted job still has to be stored.
const minTimeToAsk = 700 * time.Millisecond

// rejectHopeless returns the response to a job that can't be done in any time that is of use to its caller.
// It returns false if the job is to be stored. Jobs of no workspace with a weight, long-running ones and those
// that have a time of their own are not judged.
func (h *Handler) rejectHopeless(ctx context.Context, req *request, id workload.JobID, config *workload.Config, spec workload.Spec) (response, bool) {
	workspace, ok := config.Workspaces.ByName(req.workspace)
	if h.Admission == nil || !ok || workspace.Weight <= 0 || spec.Repeat > 0 || !spec.DueAt(0).IsZero() ||
		slices.ContainsFunc(spec.Steps, func(s workload.Step) bool { return s.LongRunning }) {
		return response{}, false
	}
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) < minTimeToAsk {
		return response{}, false
	}
	p, age, ok := h.Admission.Prospect(ctx, req.queue.Service, admission.Key{Queue: req.queue.Name, Workspace: req.workspace})
	if !ok {
		return response{}, false
	}
	path := criticalPath(spec.Steps)
	verdict := admission.Judge(p, age, admission.Job{Work: coreSeconds(spec.Steps), Path: path, Limit: admission.LimitOf(path, req.queue.Stretch, req.queue.Objective)})
	if !verdict.Reject {
		return response{}, false
	}
	switch h.judge(ctx, req, id) {
	case acceptance.Accepted:
		h.Metrics.hopeless.WithLabelValues("accepted_before").Inc()
		return accepted(), true
	case acceptance.NeverAccepted:
		h.Metrics.hopeless.WithLabelValues("rejected").Inc()
		res := retryableResponse(returntime.NoCapacity, fmt.Sprintf("the job can't be done in time: nineteen of twenty of its workspace would wait %d ms and more; the request was not taken", p.Wait.Milliseconds()))
		res.delay = verdict.RetryAfter
		return res, true
	default:
		h.Metrics.hopeless.WithLabelValues("uncertain").Inc()
		return response{}, false
	}
}

// criticalPath returns the estimated run time of the longest chain of steps.
func criticalPath(steps []workload.Step) time.Duration {
	upTo := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i, s := range steps {
		for _, d := range s.DependsOn {
			upTo[i] = max(upTo[i], upTo[d])
		}
		upTo[i] += estimateOf(s)
		longest = max(longest, upTo[i])
	}
	return longest
}

// coreSeconds returns the estimated work of all tasks.
func coreSeconds(steps []workload.Step) float64 {
	work := 0.0
	for _, s := range steps {
		work += float64(s.Count) * estimateOf(s).Seconds() * float64(s.Resources.CPU) / 1000
	}
	return work
}

func estimateOf(s workload.Step) time.Duration {
	if s.EstimateMS <= 0 {
		return defaultStepEstimate
	}
	return time.Duration(s.EstimateMS) * time.Millisecond
}
