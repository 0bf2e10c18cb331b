package backend

import (
	"context"
	"io"
	"net/http"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
)

// receive reads the start of an answer. A body of up to MaxBufferedBodyBytes bytes is buffered
// completely; a longer one is left to be streamed.
func (c *Client) receive(ctx context.Context, pool *connPool, cn *conn, req *Request, res *http.Response) Answer {
	if isUnframed(req.Method, res) {
		pool.drop(cn)
		return Answer{Outcome: outcome.Unknown, Failure: FailureUnframed, Err: errors.New("answer ends only with its connection")}
	}
	length := res.ContentLength
	if hasNoBody(req.Method, res.StatusCode) {
		length = 0
	}
	held, whole, err := readUpTo(res.Body, length, c.cfg.MaxBufferedBodyBytes)
	if err != nil {
		pool.drop(cn)
		return Answer{Outcome: outcome.Unknown, Failure: failureAfterWrite(ctx), Err: err}
	}
	ans := Answer{Outcome: outcome.Ran, Status: res.StatusCode, Header: res.Header, Body: held, response: res}
	if !whole {
		ans.Rest = &answerRest{body: res.Body, pool: pool, conn: cn}
		return ans
	}
	_ = res.Body.Close()
	pool.put(cn)
	if isRefusal(res) {
		ans.Outcome = outcome.NotRun
		ans.Failure = FailureRefused
	}
	return ans
}

// isUnframed reports whether only the end of the connection ends the answer's body.
func isUnframed(method string, res *http.Response) bool {
	if res.StatusCode == http.StatusSwitchingProtocols {
		return true
	}
	return !hasNoBody(method, res.StatusCode) && res.ContentLength < 0 && len(res.TransferEncoding) == 0
}

// hasNoBody reports whether an answer never has a body, whatever its header states.
func hasNoBody(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
}

func isRefusal(res *http.Response) bool {
	return res.StatusCode == http.StatusServiceUnavailable &&
		res.Header.Get(outcome.HeaderBackend) == outcome.BackendNotRun
}

// readUpTo reads a body of at most limit bytes. If the body is longer, whole is false
// and held is its start, which may be empty.
func readUpTo(body io.Reader, length int64, limit int) (held []byte, whole bool, err error) {
	if length == 0 {
		return nil, true, nil
	}
	if length > 0 && length <= int64(limit) {
		held = make([]byte, length)
		_, err = io.ReadFull(body, held)
		if err != nil {
			return nil, false, err
		}
		return held, true, expectEnd(body)
	}
	if length > int64(limit) {
		return nil, false, nil
	}
	held, err = io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, false, err
	}
	return held, len(held) <= limit, nil
}

// expectEnd reads the end of a body whose length was reached, so that net/http sees
// the end and keeps the connection.
func expectEnd(body io.Reader) error {
	var one [1]byte
	n, err := body.Read(one[:])
	if n == 0 && (err == nil || errors.Is(err, io.EOF)) {
		return nil
	}
	return errors.New("answer body is longer than its Content-Length")
}

// answerRest is the remainder of a streamed answer.
type answerRest struct {
	body io.ReadCloser
	pool *connPool
	conn *conn
	done bool // whether the body was read completely
}

// Read implements io.Reader. An error other than io.EOF means that the answer is
// truncated.
func (r *answerRest) Read(b []byte) (int, error) {
	n, err := r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.done = true
	}
	return n, err
}

// Close implements io.Closer and returns the connection to the pool, or closes it if
// the body was not read completely.
func (r *answerRest) Close() error {
	err := r.body.Close()
	if r.done {
		r.pool.put(r.conn)
		return err
	}
	r.pool.drop(r.conn)
	return err
}
