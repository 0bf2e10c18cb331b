// Package caller is the peer package for callers: it takes their requests over
// HTTP, checks them, and passes back either the whole answer of a backend
// server or a line of its own, each with the request's outcome.
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

// Observer takes what the metrics show.
type Observer interface {
	// Began and Ended frame every request. service is empty for a request that
	// names none.
	Began()
	Ended(service string, class document.Class, o outcome.Outcome, why outcome.Reason, took time.Duration)
}

// HandlerConfig is what a Handler needs. Sizes are in bytes.
type HandlerConfig struct {
	Dispatcher Dispatcher
	Observer   Observer
	// CheckKey tells what is wrong with a key.
	CheckKey func(service, key string) error
	// MaxHeader bounds request line and header, MaxBody every route's own limit
	// and BodyMemory all bodies held at once.
	MaxHeader  int
	MaxBody    int64
	BodyMemory int64
	// StallTimeout ends a connection whose caller takes or sends no byte.
	StallTimeout time.Duration
	Logger       hclog.Logger
}

// Handler answers callers.
type Handler struct {
	cfg      HandlerConfig
	memory   bodyMemory
	leaving  atomic.Bool
	inFlight atomic.Int64
}

// NewHandler returns a Handler.
func NewHandler(cfg HandlerConfig) *Handler {
	return &Handler{cfg: cfg, memory: bodyMemory{bytes: semaphore.NewWeighted(cfg.BodyMemory)}}
}

// Leave makes every further answer close its connection, so that callers go
// elsewhere without losing a request.
func (h *Handler) Leave() { h.leaving.Store(true) }

// InFlight returns the number of requests in progress.
func (h *Handler) InFlight() int { return int(h.inFlight.Load()) }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	defer h.inFlight.Add(-1)
	h.cfg.Observer.Began()
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
		// An answer that broke off must not look whole to the caller.
		panic(http.ErrAbortHandler)
	}
}

func (h *Handler) recordEnd(call *dispatch.Call, o outcome.Outcome, reason outcome.Reason, began time.Time) {
	if call == nil {
		call = &dispatch.Call{}
	}
	h.cfg.Observer.Ended(call.Service, call.Route.Class, o, reason, time.Since(began))
}

// refuse answers a request that was not sent on.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, p *problem, call *dispatch.Call, began time.Time) {
	o := refusalOutcome(p, call, r.Header)
	h.writeOwnAnswer(w, p.status, o, p.reason, p.retryAfter, p.line)
	h.recordEnd(call, o, p.reason, began)
}

// refusalOutcome is what can be said of a request that is refused before its
// key is claimed. This attempt did not run, but of a not-repeatable request an
// earlier one may have: told "not-run", its caller would start afresh under a
// new key and run it twice.
func refusalOutcome(p *problem, call *dispatch.Call, header http.Header) outcome.Outcome {
	repeatable := call != nil && call.Route.Repeatable
	if repeatable || header.Get(outcome.HeaderKey) == "" || p.reason == ReasonKey {
		return outcome.NotRun
	}
	n, _ := strconv.Atoi(header.Get(outcome.HeaderAttempt)) // 0: the caller does not say
	if n > 1 || n == 0 && p.transient {
		return outcome.Unknown
	}
	return outcome.NotRun
}

// writeOwnAnswer writes an answer of the system's own.
func (h *Handler) writeOwnAnswer(w http.ResponseWriter, status int, o outcome.Outcome, reason outcome.Reason, retryAfter time.Duration, text string) {
	header := w.Header()
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set(outcome.HeaderReason, string(reason))
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	h.writeHead(w, status, o, len(text)+1)
	_, _ = io.WriteString(w, text+"\n") // a caller that left needs no answer
}

func (h *Handler) writeHead(w http.ResponseWriter, status int, o outcome.Outcome, length int) {
	header := w.Header()
	header[outcome.HeaderOutcome] = []string{string(o)}
	if h.leaving.Load() {
		header["Connection"] = []string{"close"}
	}
	if length >= 0 {
		header["Content-Length"] = []string{strconv.Itoa(length)}
	}
	h.extendWriteDeadline(w)
	w.WriteHeader(status)
}

// extendWriteDeadline gives a slow caller StallTimeout for what is written next. Where that
// fails the connection has ended, and so does the write.
func (h *Handler) extendWriteDeadline(w http.ResponseWriter) {
	if err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.StallTimeout)); err != nil {
		h.cfg.Logger.Debug("caller has gone before its answer was written", "error", err)
	}
}
