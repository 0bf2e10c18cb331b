// Package front is the HTTP server for the callers of job queues: it stores what they submit
// and cancel, and queries the owners for the states of jobs and queues.
package front

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/membudget"
	"github.com/yuccadrift/yuccadrift/internal/returntime"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Timeouts and sizes of callers' requests.
const (
	// defaultCallerTimeout applies if the request has no timeout.
	defaultCallerTimeout = 3 * time.Second
	// responseMargin is the part of the caller's timeout that is reserved for sending the
	// response. It is also the shortest timeout with which a request is handled.
	responseMargin = 100 * time.Millisecond
	// maxConfigWait is how long a request waits for the node's first configuration: some 30 ms after a
	// start, and 1 s longer if other nodes have to be asked for it. A node without a configuration has
	// to answer 503, although another may have accepted the job.
	maxConfigWait      = 1200 * time.Millisecond
	configPollInterval = 20 * time.Millisecond
)

// ConfigFunc returns the configuration in force, nil before the first was read.
type ConfigFunc func() *workload.Config

// JobStore stores records of callers' requests.
type JobStore interface {
	Accept(ctx context.Context, service string, r workload.Record) (platform.StoreStatus, error)
}

// JobStatus is what the owner of a job knows of it.
type JobStatus struct {
	State workload.JobState
	Known bool // false if there is no such job
	// Workspace handed the job in to Queue, "" if it was handed in without a key.
	Workspace, Queue string
}

// isVisibleTo reports whether the job exists and the requester may access it.
func (s JobStatus) isVisibleTo(r workload.Requester) bool {
	return s.Known && r.MayAccess(s.Workspace, s.Queue)
}

// Owners queries the owners of jobs. ok is false if no owner answered.
type Owners interface {
	Status(ctx context.Context, service string, id workload.JobID) (status JobStatus, ok bool)
	WaitingJobs(ctx context.Context, service, queue string) (n int, ok bool)
	// Acceptance returns what is known of a request by a requester. It asks once and doesn't retry.
	Acceptance(ctx context.Context, service string, r acceptance.Request, by workload.Requester) AcceptanceReport
}

// AcceptanceReport is what is known of a job at its owner and at this node. The zero value stands for
// an owner that didn't answer.
type AcceptanceReport struct {
	Stands bool // the owner knows the requester's job, or that it is cancelled if that was requested
	// HasOpenAttempt is set if this node made an attempt whose outcome is unknown.
	HasOpenAttempt bool
	Owner          acceptance.OwnerReport
}

// Handler serves callers.
type Handler struct {
	Config ConfigFunc
	Jobs   JobStore
	Owners Owners
	// Admission tells of jobs that can't be done in time. If it is nil, none are rejected.
	Admission Admission
	// Routes tells where jobs may lie whose route was replaced. If it is nil, no route ever was.
	Routes Routes
	// StoreLimits are the limits of the record of a job.
	StoreLimits joblog.Limits
	Logger      hclog.Logger
	Metrics     *Metrics
	Holder      *Holder
	// StoreSilence returns the time since the store last answered this node.
	StoreSilence func() time.Duration
	// StartedAt is when the process started.
	StartedAt time.Time
	// Random returns a random number from 0 to less than 1, which spreads the times to return.
	Random func() float64
	// IsStopping reports whether the process is stopping. Connections are then closed after
	// their response, so that callers go to other nodes.
	IsStopping func() bool
}

// request is one request of a caller.
type request struct {
	http       *http.Request
	queue      *workload.Queue
	service    string // whose owner has the job, or gets it
	pathSuffix string // the path after the queue's prefix
	startedAt  time.Time
	// configVersion is the version of the configuration that routed the request.
	configVersion int64
	// workspace is the workspace whose key the request carries, "" for a request to a public queue
	// and in a deployment without workspaces.
	workspace string
	// timeout is how long the caller waits for the response.
	timeout time.Duration
	heldFor time.Duration
	// conn is the connection's claim on memory. bodyArrived ends the time limit of the body.
	conn        *membudget.Conn
	bodyArrived func()
	// evidence is what the request was last judged by, nil if its record was stored at once. doubt is
	// why the verdict on it was uncertain.
	evidence *acceptance.Evidence
	doubt    acceptance.Doubt
}

// requester returns who sent the request.
func (r *request) requester() workload.Requester {
	return workload.Requester{Workspace: r.workspace, Queue: r.queue.Name}
}

// ServeHTTP serves one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &request{http: r, startedAt: time.Now(), conn: listen.Claim(r.Context())}
	defer req.conn.Finish()
	req.conn.Progress()
	if hasBody(r) {
		h.setBodyDeadline(w, req.startedAt.Add(bodyTimeout))
		req.bodyArrived = func() { h.setBodyDeadline(w, time.Time{}) }
	}
	if r.Method != http.MethodPost {
		req.conn.Hold() // bodies of other methods are not read before the response
	}
	res := h.handle(req)
	if res.aborted {
		h.Metrics.aborted.Inc()
		panic(http.ErrAbortHandler)
	}
	if res.cause != 0 {
		res.retryAfter = h.returnTime(res.cause, res.delay)
	}
	h.logRequest(req, res)
	h.Metrics.observe(r.Method, res.status, time.Since(req.startedAt))
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(res.body)))
	if res.retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(res.retryAfter)))
	}
	if res.challengesKey {
		header.Set(platform.KeyChallenge())
	}
	if h.IsStopping() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(res.status)
	if _, err := w.Write(res.body); err != nil {
		h.Logger.Debug("response can't be written", "path", r.URL.Path, "error", err)
	}
}

func (h *Handler) handle(req *request) response {
	timeout := platform.CallerTimeout(req.http, defaultCallerTimeout)
	config := h.awaitConfig(req, min(maxConfigWait, timeout/2))
	if config == nil {
		return retryableResponse(returntime.NoConfiguration, "no configuration was read yet")
	}
	req.configVersion = config.Version
	req.queue = config.Route(hostOf(req.http), req.http.URL.Path)
	if req.queue == nil {
		return errorResponse(http.StatusNotFound, "no queue has this host and path")
	}
	if res, ok := req.authenticate(config); !ok {
		return res
	}
	req.service = req.queue.Service
	req.pathSuffix = strings.TrimPrefix(req.http.URL.Path, req.queue.PathPrefix)
	req.timeout = timeout
	waited := time.Since(req.startedAt)
	ctx, cancel := context.WithTimeout(req.http.Context(), max(responseMargin, timeout-responseMargin-waited))
	defer cancel()
	if req.pathSuffix == "" {
		return h.queueLength(ctx, req)
	}
	id, err := workload.ParseJobID(req.pathSuffix)
	if err != nil {
		return errorResponse(http.StatusBadRequest, err.Error())
	}
	switch req.http.Method {
	case http.MethodPost:
		return h.submit(ctx, req, id, config)
	case http.MethodGet:
		return h.jobState(ctx, req, id, config)
	case http.MethodDelete:
		return h.cancel(ctx, req, id, config)
	default:
		return errorResponse(http.StatusMethodNotAllowed, "method "+req.http.Method+" is not taken")
	}
}

// awaitConfig returns the configuration in force, nil if none was read within maxWait.
func (h *Handler) awaitConfig(req *request, maxWait time.Duration) *workload.Config {
	for {
		config := h.Config()
		if config != nil || time.Since(req.startedAt) >= maxWait || wait.Sleep(req.http.Context(), configPollInterval) != nil {
			return config
		}
	}
}

// authenticate sets the workspace of a request. If the queue is not public and the request has no
// key that a workspace has in the configuration, it returns a refusal and false.
func (r *request) authenticate(config *workload.Config) (response, bool) {
	if config.Workspaces == nil || r.queue.Public {
		return response{}, true
	}
	reason := "the request has no key"
	if key := platform.CallerKey(r.http); key != "" {
		workspace, ok := config.Workspaces.ByKey(key)
		if ok {
			r.workspace = workspace.Name
			return response{}, true
		}
		reason = "no workspace has the request's key"
	}
	res := errorResponse(http.StatusUnauthorized, reason)
	res.challengesKey = true
	return res, false
}

// hostOf returns the request's host without the port.
func hostOf(r *http.Request) string {
	host, _, _ := strings.Cut(r.Host, ":")
	return host
}

func (h *Handler) queueLength(ctx context.Context, req *request) response {
	if req.http.Method != http.MethodGet {
		return errorResponse(http.StatusMethodNotAllowed, "a queue can only be read")
	}
	n, ok := h.Owners.WaitingJobs(ctx, req.queue.Service, req.queue.Name)
	if !ok {
		return retryableResponse(returntime.OwnerUnavailable, "the owner of the service can't be asked")
	}
	return response{status: http.StatusOK, body: platform.EncodeWaiting(n)}
}

// noSuchJob is the response for a job that doesn't exist or that the requester may not access. The
// two are not distinguished, so that no workspace learns of the jobs of another.
func noSuchJob() response { return errorResponse(http.StatusGone, "no such job") }

func (h *Handler) jobState(ctx context.Context, req *request, id workload.JobID, config *workload.Config) response {
	status, ok := h.findJob(ctx, req, id, config)
	if !ok {
		return retryableResponse(returntime.OwnerUnavailable, "the owner of the service can't be asked")
	}
	if !status.isVisibleTo(req.requester()) {
		return noSuchJob()
	}
	return response{status: http.StatusOK, body: platform.EncodeState(status.State)}
}

// logRequest logs each request that changes something or fails. Successful reads are only
// counted.
func (h *Handler) logRequest(req *request, res response) {
	if res.status == http.StatusOK && req.http.Method == http.MethodGet {
		return
	}
	args := []any{
		"method", req.http.Method, "path", req.http.URL.Path, "host", req.http.Host,
		"status", res.status, "config_version", req.configVersion, "took_ms", time.Since(req.startedAt).Milliseconds(),
	}
	if req.queue != nil {
		args = append(args, "job", req.pathSuffix, "queue", req.queue.Name, "service", req.queue.Service)
	}
	if req.workspace != "" {
		args = append(args, "workspace", req.workspace)
	}
	if req.heldFor > 0 {
		args = append(args, "held_ms", req.heldFor.Milliseconds())
	}
	if res.retryAfter > 0 {
		args = append(args, "retry_after_s", wholeSeconds(res.retryAfter))
	}
	if res.reason != "" {
		args = append(args, "reason", res.reason)
	}
	if res.status != http.StatusOK && req.evidence != nil {
		args = append(args, "doubt", string(req.doubt), "owner_read", req.evidence.Owner.ReadSinceAsked, "owner_watched_ms", req.evidence.Owner.WatchedFor.Milliseconds())
	}
	switch {
	case res.status >= http.StatusInternalServerError:
		h.Logger.Warn("answered", args...)
	default:
		h.Logger.Info("answered", args...)
	}
}
