package front

import (
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/membudget"
)

const (
	// bodyTimeout bounds the time in which a body arrives.
	bodyTimeout = 20 * time.Second
	// firstBodyBuffer is the first size of the buffer of a body. It doubles as bytes arrive, whatever length
	// was announced.
	firstBodyBuffer = 4 << 10
)

var (
	errBodyTooLarge = errors.New("the body is too large")
	errNoMemory     = errors.New("the node has no memory for the request")
)

// readBody reads a body of at most limit bytes in memory that it reserves as the bytes arrive.
func readBody(r io.Reader, limit int, conn *membudget.Conn) ([]byte, error) {
	var body []byte
	for {
		if len(body) == cap(body) {
			grown := min(max(firstBodyBuffer, 2*cap(body)), limit+1)
			if !conn.Reserve(grown - cap(body)) {
				return nil, errNoMemory
			}
			body = append(make([]byte, 0, grown), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case len(body) > limit:
			return nil, errBodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, err
		}
	}
}

// hasBody reports whether a request has a body or may have one.
func hasBody(r *http.Request) bool { return r.ContentLength != 0 }

// setBodyDeadline sets the time by which the body of a request must have arrived; the zero time is none. Without
// one, a connection whose client sends nothing more stays open for as long as the client does.
func (h *Handler) setBodyDeadline(w http.ResponseWriter, at time.Time) {
	if err := http.NewResponseController(w).SetReadDeadline(at); err != nil {
		h.Logger.Debug("no deadline of a body can be set", "error", err)
	}
}
