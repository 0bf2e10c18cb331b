package standin

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// routes returns the handler of the platform's API and the control page.
func (s *Server) routes() http.Handler {
	p := s.platform
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log/{stream}", handle(p.httpAppend))
	mux.HandleFunc("GET /v1/log/{stream}", handle(p.httpRead))
	mux.HandleFunc("GET /v1/vms", handle(func(r *http.Request, _ *struct{}) (any, error) {
		return p.List(r.Context())
	}))
	mux.HandleFunc("POST /v1/vms/{vm}/{verb}", handle(p.httpActOnVM))
	mux.HandleFunc("GET /v1/vms/{vm}/operations/{op}", handle(func(r *http.Request, _ *struct{}) (any, error) {
		status, err := p.Operation(r.Context(), r.PathValue("vm"), r.PathValue("op"))
		return platform.OperationReply{Status: status}, err
	}))
	mux.HandleFunc("POST /v1/tasks", handle(func(r *http.Request, in *platform.StartRequest) (any, error) {
		return p.Start(r.Context(), in.Spec, in.Op)
	}))
	mux.HandleFunc("POST /v1/tasks/{task}/{verb}", handle(p.httpActOnTask))
	mux.HandleFunc("POST /v1/workers/{worker}/renew", handle(func(r *http.Request, in *platform.RenewRequest) (any, error) {
		return struct{}{}, p.Renew(r.Context(), r.PathValue("worker"), in.Tasks, in.Lease, in.Fence)
	}))
	mux.HandleFunc("GET /v1/workers/{worker}/tasks", handle(func(r *http.Request, _ *struct{}) (any, error) {
		return p.Status(r.Context(), r.PathValue("worker"))
	}))
	mux.HandleFunc("GET /v1/usage", handle(func(r *http.Request, _ *struct{}) (any, error) {
		return p.Usage(r.Context())
	}))
	s.controlRoutes(mux)
	return mux
}

// handle returns a handler that decodes the body of a POST, calls do and encodes its
// result.
func handle[In any](do func(*http.Request, *In) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		if r.Method == http.MethodPost {
			body := http.MaxBytesReader(w, r.Body, platform.MaxBodyBytes)
			if err := json.NewDecoder(body).Decode(&in); err != nil {
				writeError(w, errors.Wrap(platform.ErrRejected, err.Error()), platform.Batch{})
				return
			}
		}
		out, err := do(r, &in)
		if err != nil {
			batch, _ := out.(platform.Batch)
			writeError(w, err, batch)
			return
		}
		writeReply(w, r, out)
	}
}

// compressFrom is the minimum size in bytes of a compressed reply.
const compressFrom = 1 << 10

// writeReply writes a success reply, compressed if it is large and the client accepts
// gzip.
func writeReply(w http.ResponseWriter, r *http.Request, out any) {
	body := mustJSON(out)
	if len(body) < compressFrom || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		writeBody(w, http.StatusOK, body)
		return
	}
	var small bytes.Buffer
	zip := gzip.NewWriter(&small)
	zip.Write(body) // a Buffer never fails
	zip.Close()
	w.Header().Set("Content-Encoding", "gzip")
	writeBody(w, http.StatusOK, small.Bytes())
}

func writeJSON(w http.ResponseWriter, status int, out any) { writeBody(w, status, mustJSON(out)) }

func writeBody(w http.ResponseWriter, status int, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	w.Write(body)
}

// writeError writes the status code and message of an error. For an unknown outcome it
// cuts the connection instead.
func writeError(w http.ResponseWriter, err error, batch platform.Batch) {
	if errors.Is(err, platform.ErrUnknownOutcome) {
		cutConnection()
	}
	writeJSON(w, statusOf(err), platform.ErrorReply{Message: err.Error(), First: batch.First, Next: batch.Next})
}

func statusOf(err error) int {
	switch {
	case errors.Is(err, platform.ErrThrottled):
		return http.StatusTooManyRequests
	case errors.Is(err, platform.ErrFenced):
		return http.StatusConflict
	case errors.Is(err, platform.ErrTrimmed):
		return http.StatusGone
	case errors.Is(err, platform.ErrNotFound):
		return http.StatusNotFound
	case errors.Is(err, platform.ErrUnavailable):
		return http.StatusServiceUnavailable
	case errors.Is(err, platform.ErrRejected):
		return http.StatusBadRequest
	default:
		return http.StatusInternalServerError
	}
}

func (p *Platform) httpAppend(r *http.Request, in *platform.AppendRequest) (any, error) {
	offset, err := p.Append(r.Context(), r.PathValue("stream"), in.Entries)
	return platform.AppendReply{Offset: offset}, err
}

func (p *Platform) httpRead(r *http.Request, _ *struct{}) (any, error) {
	query := r.URL.Query()
	from, err1 := strconv.ParseUint(query.Get(platform.QueryFrom), 10, 64)
	limit, err2 := strconv.Atoi(query.Get(platform.QueryMax))
	wait, err3 := strconv.ParseInt(query.Get(platform.QueryWaitMS), 10, 64)
	if err1 != nil || err2 != nil || err3 != nil {
		return nil, errors.Wrap(platform.ErrRejected, "from, max and wait_ms must be whole numbers")
	}
	return p.Read(r.Context(), r.PathValue("stream"), platform.Offset(from), limit, time.Duration(wait)*time.Millisecond)
}

func (p *Platform) httpActOnVM(r *http.Request, op *platform.Operation) (any, error) {
	verbs := map[string]func(context.Context, string, platform.Operation) (platform.OperationStatus, error){
		platform.VerbDrain:   p.Drain,
		platform.VerbUndrain: p.Undrain,
		platform.VerbReboot:  p.Reboot,
	}
	act, ok := verbs[r.PathValue("verb")]
	if !ok {
		return nil, errors.Wrapf(platform.ErrRejected, "a VM has no action %q", r.PathValue("verb"))
	}
	status, err := act(r.Context(), r.PathValue("vm"), *op)
	return platform.OperationReply{Status: status}, err
}

func (p *Platform) httpActOnTask(r *http.Request, in *platform.TaskAction) (any, error) {
	task := r.PathValue("task")
	switch verb := r.PathValue("verb"); verb {
	case platform.VerbCheckpoint:
		return p.Checkpoint(r.Context(), task, in.Op)
	case platform.VerbThrottle:
		return p.Throttle(r.Context(), task, in.Share, in.Op)
	case platform.VerbStop:
		return p.Stop(r.Context(), task, in.Op)
	default:
		return nil, errors.Wrapf(platform.ErrRejected, "a task has no action %q", verb)
	}
}
