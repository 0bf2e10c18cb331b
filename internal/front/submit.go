package front

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/membudget"
	"github.com/yuccadrift/yuccadrift/internal/returntime"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// defaultMaxBodyBytes applies if the configuration sets no limit.
const defaultMaxBodyBytes = 256 << 10

func (h *Handler) submit(ctx context.Context, req *request, id workload.JobID, config *workload.Config) response {
	maxBodyBytes := config.Limits.MaxBodyBytes
	if maxBodyBytes <= 0 {
		maxBodyBytes = defaultMaxBodyBytes
	}
	body, spec, res, ok := h.receiveJob(ctx, req, id, maxBodyBytes)
	if !ok {
		return res
	}
	if res, ok := h.submittedBefore(ctx, req, id, config); ok {
		return res
	}
	if res, rejected := h.rejectHopeless(ctx, req, id, config, spec); rejected {
		return res
	}
	sub := &workload.Submission{
		Queue:        req.queue.Name,
		Service:      req.queue.Service,
		Workspace:    req.workspace,
		AcceptedAtMS: req.startedAt.UnixMilli(),
		MaxAttempts:  req.queue.MaxAttempts,
		Spec:         spec,
	}
	record := workload.Record{Job: id, Submission: sub}
	if res, ok := h.rejectUnstorable(record, len(body)); ok {
		return res
	}
	return h.storeRecord(ctx, req, record)
}

// receiveJob reads and decodes the body of a submission. It returns a response and false if that fails. The
// connection may be closed for others until the body has arrived, since nothing is stored before.
func (h *Handler) receiveJob(ctx context.Context, req *request, id workload.JobID, maxBytes int) ([]byte, workload.Spec, response, bool) {
	body, err := readBody(req.http.Body, maxBytes, req.conn)
	if err == nil && req.bodyArrived != nil {
		req.bodyArrived()
	}
	if !req.conn.Hold() {
		return nil, workload.Spec{}, response{aborted: true}, false
	}
	var spec workload.Spec
	invalid := ""
	if err != nil {
		invalid = "the body can't be read: "
	} else {
		spec, err = platform.DecodeJobWithin(body, req.conn.Reserve)
	}
	switch {
	case err == nil:
		return body, spec, response{}, true
	case errors.Is(err, errNoMemory) || errors.Is(err, platform.ErrNoMemory):
		return nil, spec, respondUnstored(h.judge(ctx, req, id), returntime.NoMemory, "the node has no memory for the request"), false
	case errors.Is(err, errBodyTooLarge):
		return nil, spec, errorResponse(http.StatusRequestEntityTooLarge, "the body has more than "+strconv.Itoa(maxBytes)+" bytes"), false
	default:
		return nil, spec, errorResponse(http.StatusBadRequest, invalid+err.Error()), false
	}
}

// maxBodyShare is the part of the store's limit of a record up to which a body's job certainly fits: its record
// has several times the bytes if it has many steps of few bytes.
const maxBodyShare = 8

// rejectUnstorable returns the response to a job that the store can't keep: its submission, or the bitmap of
// its tasks that are done, is larger than a record. It returns false if the job can be stored.
func (h *Handler) rejectUnstorable(r workload.Record, bodyBytes int) (response, bool) {
	limit := h.StoreLimits.Record
	progressBytes := r.Submission.Spec.MaxProgressBytes()
	if limit == 0 || bodyBytes <= limit/maxBodyShare && progressBytes <= limit {
		return response{}, false
	}
	key, value, err := r.Encode()
	switch {
	case err != nil:
		return errorResponse(http.StatusBadRequest, err.Error()), true
	case h.StoreLimits.IsTooLarge(platform.KeyedRecord{Key: key, Value: value}):
		return errorResponse(http.StatusRequestEntityTooLarge, fmt.Sprintf("the job has too many or too large steps: its record has %d bytes, the store's limit is %d", len(value), limit)), true
	case progressBytes > limit:
		return errorResponse(http.StatusRequestEntityTooLarge, fmt.Sprintf("the job has too many tasks: the record of its progress may have %d bytes, the store's limit is %d", progressBytes, limit)), true
	default:
		return response{}, false
	}
}

// accessCheckTimeout bounds the check whether a caller may cancel a job. An owner answers within
// milliseconds.
const accessCheckTimeout = 150 * time.Millisecond

// cancel stores a cancellation. Where there are workspaces, it states who sent it, so that the
// owner ignores it if the requester may not access the job. The check before only makes the
// response true, and is skipped if the owner doesn't answer.
func (h *Handler) cancel(ctx context.Context, req *request, id workload.JobID, config *workload.Config) response {
	record := workload.Record{Job: id, Cancel: true}
	if h.mayLieElsewhere(req, config) {
		if _, ok := h.findJob(ctx, req, id, config); !ok {
			return retryableResponse(returntime.OwnerUnavailable, "the owner of the service can't be asked")
		}
	}
	if config.Workspaces != nil {
		requester := req.requester()
		record.CancelledBy = &requester
		checkCtx, cancelCheck := context.WithTimeout(ctx, accessCheckTimeout)
		defer cancelCheck()
		if status, ok := h.Owners.Status(checkCtx, req.service, id); ok && status.Known && !status.isVisibleTo(requester) {
			return noSuchJob()
		}
	}
	return h.storeRecord(ctx, req, record)
}

// storeRecord stores a record before the caller gets a response. If the record is certainly not stored it is
// held and tried again for a part of the time that the caller waits. A job that its owner knows is acknowledged
// at the first refused try. When the time is over, the response says what is known of the job: nothing, if it may
// still be stored, since after a refusal the job could run although its caller was told that it won't.
// h.Jobs.Accept retries an unknown outcome as long as the caller waits.
func (h *Handler) storeRecord(ctx context.Context, req *request, r workload.Record) response {
	held := h.newHeldRequest(req, r.Job)
	defer func() { req.heldFor = held.leave() }()
	wasJudged, isLastTry := false, false
	for {
		status, err := h.Jobs.Accept(ctx, req.service, r)
		switch status {
		case platform.StoreOK:
			held.stored()
			return accepted()
		case platform.StoreRefused:
			if errors.Is(err, membudget.ErrNoRoom) {
				return respondUnstored(h.judge(ctx, req, r.Job), returntime.NoMemory, "the owner's node: "+err.Error())
			}
			verdict := acceptance.Uncertain
			if !wasJudged {
				verdict = h.judge(ctx, req, r.Job)
			}
			if verdict != acceptance.Accepted && !isLastTry && held.awaitTurn(ctx) {
				wasJudged = true
				continue
			}
			if wasJudged {
				verdict = h.judge(ctx, req, r.Job)
			}
			if verdict == acceptance.NeverAccepted && !isLastTry && ctx.Err() == nil {
				// The owner has just read the store.
				wasJudged, isLastTry = true, true
				continue
			}
			return respondUnstored(verdict, returntime.StoreUnavailable, "the store is away: "+err.Error())
		case platform.StoreUnknown:
			held.unknown()
			return uncertainResponse(returntime.StoreUnavailable, "the store did not answer, the request may have been taken: "+err.Error())
		default:
			if h.isRerouted(req) {
				return uncertainResponse(returntime.NoConfiguration, "the path leads to another service by a newer configuration; an earlier attempt may have been taken")
			}
			if version := h.Config().Version; version > req.configVersion {
				req.configVersion = version // the record may have been rejected for the version alone
				continue
			}
			return errorResponse(http.StatusInternalServerError, "store: "+err.Error())
		}
	}
}

// evidenceTimeout bounds the call to the owner before a refusal. It fits into responseMargin.
const evidenceTimeout = 90 * time.Millisecond

// judge returns what is known of a job, or of its cancellation, whose record this attempt has certainly
// not stored.
func (h *Handler) judge(ctx context.Context, req *request, id workload.JobID) acceptance.Verdict {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), evidenceTimeout)
	defer cancel()
	r := acceptance.Request{Job: id, Cancels: req.http.Method == http.MethodDelete}
	report := h.Owners.Acceptance(ctx, req.service, r, req.requester())
	evidence := acceptance.Evidence{
		AttemptRefused: true,
		HasOpenAttempt: report.HasOpenAttempt,
		Known:          report.Stands,
		Owner:          report.Owner,
	}
	verdict := acceptance.Judge(evidence)
	req.evidence, req.doubt = &evidence, acceptance.NoDoubt
	h.Metrics.verdicts.WithLabelValues(verdict.String()).Inc()
	if verdict == acceptance.Uncertain {
		req.doubt = acceptance.DoubtOf(evidence)
		h.Metrics.doubts.WithLabelValues(string(req.doubt)).Inc()
	}
	return verdict
}

// respondUnstored returns the response to a request whose record is certainly not stored. It promises
// that the request has no effect only if no earlier attempt can have one.
func respondUnstored(v acceptance.Verdict, cause returntime.Cause, reason string) response {
	switch v {
	case acceptance.Accepted:
		return accepted()
	case acceptance.NeverAccepted:
		return retryableResponse(cause, reason+"; the request was not taken")
	default:
		return uncertainResponse(cause, reason+"; an earlier attempt may have been taken")
	}
}
