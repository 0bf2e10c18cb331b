// Package front answers callers of the job queues: it stores what they submit
// and cancel, and asks the owners for what they want to know.
package front

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Times and sizes of callers' requests.
const (
	// defaultTimeout is taken where the caller doesn't say how long it waits.
	defaultTimeout = 3 * time.Second
	// answerMargin is kept of the caller's time for the way of the answer.
	answerMargin = 100 * time.Millisecond
	// storeRetry is the pause before a store that did nothing is tried again.
	storeRetry = 60 * time.Millisecond
	// giveUpAfter is how long a submission that the store refuses is tried: a
	// caller that is told early can try elsewhere.
	giveUpAfter = 250 * time.Millisecond
	// retryAfter is when a refused caller is to come back, in seconds.
	retryAfter     = 1
	defaultMaxBody = 256 << 10 // bytes, until a configuration says otherwise
)

// Config returns the configuration in force, nil before the first.
type Config func() *workload.Config

// Jobs stores records of callers' requests.
type Jobs interface {
	Accept(ctx context.Context, service string, r workload.Record) (platform.StoreStatus, error)
}

// Owners answers questions about jobs. ok is false where no owner could be asked.
type Owners interface {
	State(ctx context.Context, service string, id workload.JobID) (state workload.JobState, known, ok bool)
	Waiting(ctx context.Context, service, queue string) (n int, ok bool)
}

// Handler answers callers.
type Handler struct {
	Config  Config
	Jobs    Jobs
	Owners  Owners
	Logger  hclog.Logger
	Metrics *Metrics
	// Leaving tells whether the process stops: connections are then closed after
	// their answer, so that callers go to other nodes.
	Leaving func() bool
}

// request is one call of a caller.
type request struct {
	http  *http.Request
	queue *workload.Queue
	rest  string // of the path, after the queue's prefix
	began time.Time
	// version of the configuration that it was routed by.
	version int64
}

// result is what a caller is answered.
type result struct {
	status int
	body   []byte
	reason string // for the log
	retry  bool   // tell when to come back
}

// ServeHTTP answers one call.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req := &request{http: r, began: time.Now()}
	res := h.answer(req)
	h.log(req, res)
	h.Metrics.observe(r.Method, res.status, time.Since(req.began))
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(res.body)))
	if res.retry {
		header.Set("Retry-After", strconv.Itoa(retryAfter))
	}
	if h.Leaving() {
		header.Set("Connection", "close")
	}
	w.WriteHeader(res.status)
	if _, err := w.Write(res.body); err != nil {
		h.Logger.Debug("caller left before its answer", "path", r.URL.Path, "error", err)
	}
}

func (h *Handler) answer(req *request) result {
	config := h.Config()
	if config == nil {
		return refusal(http.StatusServiceUnavailable, "no configuration was read yet")
	}
	req.version = config.Version
	req.queue = config.Route(hostOf(req.http), req.http.URL.Path)
	if req.queue == nil {
		return failure(http.StatusNotFound, "no queue has this host and path")
	}
	req.rest = strings.TrimPrefix(req.http.URL.Path, req.queue.PathPrefix)
	timeout := platform.CallerTimeout(req.http, defaultTimeout)
	ctx, cancel := context.WithTimeout(req.http.Context(), max(answerMargin, timeout-answerMargin))
	defer cancel()
	if req.rest == "" {
		return h.queue(ctx, req)
	}
	id, err := workload.ParseJobID(req.rest)
	if err != nil {
		return failure(http.StatusBadRequest, err.Error())
	}
	switch req.http.Method {
	case http.MethodPost:
		return h.submit(ctx, req, id, config)
	case http.MethodGet:
		return h.state(ctx, req, id)
	case http.MethodDelete:
		return h.cancel(ctx, req, id)
	default:
		return failure(http.StatusMethodNotAllowed, "method "+req.http.Method+" is not taken")
	}
}

// hostOf is the request's host without a port.
func hostOf(r *http.Request) string {
	host, _, _ := strings.Cut(r.Host, ":")
	return host
}

func (h *Handler) queue(ctx context.Context, req *request) result {
	if req.http.Method != http.MethodGet {
		return failure(http.StatusMethodNotAllowed, "a queue can only be read")
	}
	n, ok := h.Owners.Waiting(ctx, req.queue.Service, req.queue.Name)
	if !ok {
		return refusal(http.StatusServiceUnavailable, "the owner of the service can't be asked")
	}
	return result{status: http.StatusOK, body: platform.EncodeWaiting(n)}
}

func (h *Handler) state(ctx context.Context, req *request, id workload.JobID) result {
	state, known, ok := h.Owners.State(ctx, req.queue.Service, id)
	if !ok {
		return refusal(http.StatusServiceUnavailable, "the owner of the service can't be asked")
	}
	if !known {
		return failure(http.StatusGone, "no such job")
	}
	return result{status: http.StatusOK, body: platform.EncodeState(state)}
}

func (h *Handler) submit(ctx context.Context, req *request, id workload.JobID, config *workload.Config) result {
	most := config.Limits.MaxBodyBytes
	if most <= 0 {
		most = defaultMaxBody
	}
	body, err := io.ReadAll(io.LimitReader(req.http.Body, int64(most)+1))
	if err != nil {
		return failure(http.StatusBadRequest, "the body can't be read: "+err.Error())
	}
	if len(body) > most {
		return failure(http.StatusRequestEntityTooLarge, "the body has more than "+strconv.Itoa(most)+" bytes")
	}
	spec, err := platform.DecodeJob(body)
	if err != nil {
		return failure(http.StatusBadRequest, err.Error())
	}
	sub := &workload.Submission{
		Queue:        req.queue.Name,
		Service:      req.queue.Service,
		AcceptedAtMS: req.began.UnixMilli(),
		Spec:         spec,
	}
	return h.store(ctx, req, workload.Record{Job: id, Submission: sub})
}

func (h *Handler) cancel(ctx context.Context, req *request, id workload.JobID) result {
	return h.store(ctx, req, workload.Record{Job: id, Cancel: true})
}

// store stores a record before its caller is told. Where certainly nothing was
// stored that is a refusal, with which the caller can ask elsewhere. Where it may
// yet be stored it is not, as the job would run although its caller was told that
// it does not; Jobs tries as long as the caller waits before it says so.
func (h *Handler) store(ctx context.Context, req *request, r workload.Record) result {
	for {
		status, err := h.Jobs.Accept(ctx, req.queue.Service, r)
		switch status {
		case platform.StoreOK:
			return result{status: http.StatusOK, body: []byte("{}")}
		case platform.StoreRefused:
			if time.Since(req.began) > giveUpAfter || wait.Sleep(ctx, storeRetry) != nil {
				return refusal(http.StatusServiceUnavailable, "the store is away, the request was not taken: "+err.Error())
			}
		case platform.StoreUnknown:
			return failure(http.StatusGatewayTimeout, "the store did not answer, the request may have been taken: "+err.Error())
		default:
			return failure(http.StatusInternalServerError, "store: "+err.Error())
		}
	}
}

// problem is the body of an answer that is no success.
type problem struct {
	Error string `json:"error"`
}

func failure(status int, reason string) result {
	body, err := json.Marshal(problem{Error: reason})
	if err != nil {
		body = nil // a string always encodes
	}
	return result{status: status, body: body, reason: reason}
}

// refusal is a failure after which the caller is to come back.
func refusal(status int, reason string) result {
	res := failure(status, reason)
	res.retry = true
	return res
}

// log writes one line for each call that changes something or fails. Questions
// that were answered are counted only.
func (h *Handler) log(req *request, res result) {
	if res.status == http.StatusOK && req.http.Method == http.MethodGet {
		return
	}
	args := []any{
		"method", req.http.Method, "path", req.http.URL.Path, "host", req.http.Host,
		"status", res.status, "config_version", req.version, "took_ms", time.Since(req.began).Milliseconds(),
	}
	if req.queue != nil {
		args = append(args, "job", req.rest, "queue", req.queue.Name, "service", req.queue.Service)
	}
	if res.reason != "" {
		args = append(args, "reason", res.reason)
	}
	switch {
	case res.status >= http.StatusInternalServerError:
		h.Logger.Warn("answered", args...)
	default:
		h.Logger.Info("answered", args...)
	}
}
