package caller

import (
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/semaphore"

	"github.com/yuccadrift/yuccadrift/internal/dispatch"
)

// bodyMemory limits the total size of the request bodies that are buffered.
type bodyMemory struct {
	bytes *semaphore.Weighted
}

// readBody reads the whole request body before anything is sent to a backend server.
// An incomplete body then reaches no backend server, and a try can be repeated at
// another one. free releases the body's memory.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, call *dispatch.Call) (free func(), p *problem) {
	free = func() {}
	if r.ContentLength == 0 || r.Body == nil || r.Body == http.NoBody {
		return free, nil
	}
	limit := min(call.Route.MaxBody, h.cfg.MaxBody)
	if r.ContentLength > limit {
		return free, bodyTooLarge(limit)
	}
	need := r.ContentLength
	if need < 0 {
		need = limit
	}
	if !h.memory.bytes.TryAcquire(need) {
		return free, &problem{
			status:     http.StatusServiceUnavailable,
			reason:     ReasonMemory,
			line:       "too many request bodies are held at once; try again",
			retryAfter: time.Second,

			transient: true,
		}
	}
	free = func() { h.memory.bytes.Release(need) }
	body, err := h.receive(w, r, call, limit)
	if err == nil {
		call.Body = body
		return free, nil
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return free, bodyTooLarge(limit)
	}
	p = badRequest(ReasonBodyCut, "the body broke off or took too long: %v", err)
	p.transient = true
	return free, p
}

// receive reads the body within the call's deadline and StallTimeout per read.
func (h *Handler) receive(w http.ResponseWriter, r *http.Request, call *dispatch.Call, limit int64) ([]byte, error) {
	// net/http may write "100 Continue" now, and the write deadline of an earlier answer
	// on this connection may have passed.
	h.extendWriteDeadline(w)
	control := http.NewResponseController(w)
	stall := &stallReader{
		body:     http.MaxBytesReader(w, r.Body, limit),
		control:  control,
		deadline: call.Deadline,
		timeout:  h.cfg.StallTimeout,
	}
	body, err := readAll(stall, r.ContentLength)
	if err != nil {
		return nil, err
	}
	return body, control.SetReadDeadline(time.Time{})
}

func readAll(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return io.ReadAll(r)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	return body, nil
}

// stallReader sets a deadline for each read, so that a caller that sends nothing
// does not occupy a connection and memory until the request's deadline.
type stallReader struct {
	body     io.Reader
	control  *http.ResponseController
	deadline time.Time
	timeout  time.Duration
}

// Read implements io.Reader.
func (s *stallReader) Read(b []byte) (int, error) {
	until := time.Now().Add(s.timeout)
	if s.deadline.Before(until) {
		until = s.deadline
	}
	if err := s.control.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return s.body.Read(b)
}

func bodyTooLarge(limit int64) *problem {
	return &problem{
		status: http.StatusRequestEntityTooLarge,
		reason: ReasonBodySize,
		line:   fmt.Sprintf("the body is too large; at most %d bytes are taken here", limit),
	}
}
