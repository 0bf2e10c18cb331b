// Package caller serves callers over HTTP. It validates their requests and returns
// either the complete answer of a backend server or an error line of its own, each
// with the request's outcome.
package caller

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/semaphore"

	"github.com/yuccadrift/yuccadrift/internal/dispatch"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// Dispatcher sends calls to backend servers. It is implemented by
// dispatch.Dispatcher.
type Dispatcher interface {
	Table() *routing.Table
	Do(ctx context.Context, call *dispatch.Call) dispatch.Result
}

// Observer records metrics of requests.
type Observer interface {
	// RequestStarted is called at the start and RequestEnded at the end of every
	// request. service is empty if the request names no service.
	RequestStarted()
	RequestEnded(service string, class document.Class, o outcome.Outcome, reason outcome.Reason, took time.Duration)
}

// HandlerConfig configures a Handler. Sizes are in bytes.
type HandlerConfig struct {
	Dispatcher Dispatcher
	Observer   Observer
	// CheckKey returns an error if a key is invalid.
	CheckKey func(service, key string) error
	// MaxHeader limits the request line and header, MaxBody the body on every route, and
	// BodyMemory the total of all bodies that are buffered.
	MaxHeader  int
	MaxBody    int64
	BodyMemory int64
	// StallTimeout closes a connection on which the caller receives or sends no byte for
	// this long.
	StallTimeout time.Duration
	Logger       hclog.Logger
}

// Handler serves callers' requests.
type Handler struct {
	cfg               HandlerConfig
	memory            bodyMemory
	keepAliveDisabled atomic.Bool
	inFlight          atomic.Int64
}

// NewHandler returns a Handler.
func NewHandler(cfg HandlerConfig) *Handler {
	return &Handler{cfg: cfg, memory: bodyMemory{bytes: semaphore.NewWeighted(cfg.BodyMemory)}}
}

// DisableKeepAlive makes every further answer close its connection, so that callers connect to
// other entry VMs without losing a request.
func (h *Handler) DisableKeepAlive() { h.keepAliveDisabled.Store(true) }

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.cfg.Observer.RequestStarted()
	began := time.Now()
	call, p := h.parse(r, began)
	if p != nil {
		h.refuse(w, r, p, call, began)
		return
	}
	free, p := h.readBody(w, r, call)
	defer free()
	if p != nil {
		h.refuse(w, r, p, call, began)
		return
	}
	call.Header = forwardHeader(r)
	res := h.cfg.Dispatcher.Do(r.Context(), call)
	whole := false
	defer func() {
		res.Close(whole)
		h.recordEnd(call, res.Outcome, res.Reason, began)
	}()
	whole = h.writeAnswer(w, r, &res)
	if !whole {
		// Abort the connection, so that the caller does not take an incomplete answer for a
		// complete one.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) recordEnd(call *dispatch.Call, o outcome.Outcome, reason outcome.Reason, began time.Time) {
	if call == nil {
		call = &dispatch.Call{}
	}
	h.cfg.Observer.RequestEnded(call.Service, call.Route.Class, o, reason, time.Since(began))
}

// refuse answers a request that was not sent to a backend server.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, p *problem, call *dispatch.Call, began time.Time) {
	o := refusalOutcome(p, call, r.Header)
	h.writeOwnAnswer(w, p.status, o, p.reason, p.retryAfter, p.line)
	h.recordEnd(call, o, p.reason, began)
}

// refusalOutcome returns the outcome of a request that is refused before its key is
// claimed. This attempt did not run, but an earlier attempt of a not-repeatable
// request may have run. If its caller were told "not-run", it would start again with
// a new key and run the request twice.
func refusalOutcome(p *problem, call *dispatch.Call, header http.Header) outcome.Outcome {
	repeatable := call != nil && call.Route.Repeatable
	if repeatable || header.Get(outcome.HeaderKey) == "" || p.reason == ReasonKey {
		return outcome.NotRun
	}
	n, _ := strconv.Atoi(header.Get(outcome.HeaderAttempt)) // 0 if the caller did not send it
	if n > 1 || n == 0 && p.transient {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// writeOwnAnswer writes an answer that is not from a backend server.
func (h *Handler) writeOwnAnswer(w http.ResponseWriter, status int, o outcome.Outcome, reason outcome.Reason, retryAfter time.Duration, text string) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set(outcome.HeaderReason, string(reason))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	h.writeHead(w, status, o, len(text)+1)
	_, _ = io.WriteString(w, text+"\n") // an error means that the caller disconnected
}

func (h *Handler) writeHead(w http.ResponseWriter, status int, o outcome.Outcome, length int) {
	header := w.Header()
	header[outcome.HeaderOutcome] = []string{string(o)}
	if h.keepAliveDisabled.Load() {
		header["Connection"] = []string{"close"}
	}
	if length >= 0 {
		header["Content-Length"] = []string{strconv.Itoa(length)}
	}
	h.extendWriteDeadline(w)
	w.WriteHeader(status)
}

// extendWriteDeadline allows StallTimeout for the next write. If it fails, the
// connection has ended and the write fails too.
func (h *Handler) extendWriteDeadline(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.StallTimeout)); err != nil {
		h.cfg.Logger.Debug("caller disconnected before its answer was written", "error", err)
	}
}
