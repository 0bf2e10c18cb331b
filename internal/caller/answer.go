package caller

import (
	"io"
	"net/http"
	"sync"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/dispatch"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
)

// chunkSize is the size in bytes of the chunks of a streamed answer.
const chunkSize = 32 << 10

var chunkPool = sync.Pool{New: func() any { return new([chunkSize]byte) }}

// writeAnswer writes the result to the caller and reports whether all of it arrived
// from the backend server and was written.
func (h *Handler) writeAnswer(w http.ResponseWriter, r *http.Request, res *dispatch.Result) bool {
	ans := &res.Answer
	if ans.Status == 0 {
		h.writeOwnAnswer(w, ownStatus(res), res.Outcome, res.Reason, res.RetryAfter, ownText(res))
		return true
	}
	copyAnswerHeader(w.Header(), ans.Header)
	if ans.Rest != nil {
		return h.writeStream(w, res)
	}
	return h.writeComplete(w, r, res)
}

// writeComplete writes an answer whose body was buffered completely.
func (h *Handler) writeComplete(w http.ResponseWriter, r *http.Request, res *dispatch.Result) bool {
	ans := &res.Answer
	trailer := ans.Trailer()
	length := len(ans.Body)
	if len(trailer) > 0 || hasNoBody(r.Method, ans.Status) {
		length = -1
	}
	h.writeHead(w, ans.Status, res.Outcome, length)
	if len(ans.Body) > 0 {
		if _, err := w.Write(ans.Body); err != nil {
			return false
		}
	}
	setTrailer(w.Header(), trailer)
	return true
}

// writeStream forwards a long answer as it arrives.
func (h *Handler) writeStream(w http.ResponseWriter, res *dispatch.Result) bool {
	ans := &res.Answer
	h.writeHead(w, ans.Status, res.Outcome, -1)
	if _, err := w.Write(ans.Body); err != nil {
		return false
	}
	buf := chunkPool.Get().(*[chunkSize]byte)
	defer chunkPool.Put(buf)
	for {
		n, err := ans.Rest.Read(buf[:])
		if n > 0 && !h.writeChunk(w, buf[:n]) {
			return false
		}
		if errors.Is(err, io.EOF) {
			setTrailer(w.Header(), ans.Trailer())
			return true
		}
		if err != nil {
			return false
		}
	}
}

// writeChunk writes and flushes one chunk within StallTimeout.
func (h *Handler) writeChunk(w http.ResponseWriter, chunk []byte) bool {
	h.extendWriteDeadline(w)
	if _, err := w.Write(chunk); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}

func setTrailer(header, trailer http.Header) {
	for name, values := range trailer {
		header[http.TrailerPrefix+name] = values
	}
}

// hasNoBody reports whether the answer never has a body. Its Content-Length must stay
// as the backend server sent it.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

// ownStatus returns the status of an answer that no backend server sent.
func ownStatus(res *dispatch.Result) int {
	switch {
	case res.DeniedByClaim:
		return http.StatusConflict
	case res.Outcome == outcome.NotRun:
		return http.StatusServiceUnavailable
	case res.Reason == outcome.Reason(backend.FailureTimeout):
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func ownText(res *dispatch.Result) string {
	switch res.Outcome {
	case outcome.NotRun:
		return "the request did not run (" + string(res.Reason) + "); it is safe to send it again"
	case outcome.Ran:
		return "the request ran before (" + string(res.Reason) + "); its answer is not kept"
	}
	return "it is not known whether the request ran (" + string(res.Reason) + ")"
}
