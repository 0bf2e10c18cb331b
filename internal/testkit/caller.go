package testkit

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// Request is a caller's request.
type Request struct {
	Method   string // POST if empty
	Path     string // begins with / and the name of the service
	Key      string
	Attempt  int           // not sent if 0
	Deadline time.Duration // not sent if 0
	Work     time.Duration // how long the backend server works on the request
	// ReplyBytes is the size of the answer's body in bytes.
	ReplyBytes int
	Body       []byte
}

// Answer is the answer that a caller got. Err is set if there was none or if it was incomplete.
type Answer struct {
	Status   int
	Outcome  outcome.Outcome
	Reason   outcome.Reason
	VM       string // VM that ran the request
	Header   http.Header
	Body     []byte
	Err      error
	Duration time.Duration

	wantEcho  string
	wantBytes int
}

// Key returns a new idempotency key.
func Key() string { return ulid.Make().String() }

// callerClient keeps idle connections open, as callers' clients do.
var callerClient = &http.Client{Transport: &http.Transport{
	MaxIdleConnsPerHost: 256,
	IdleConnTimeout:     30 * time.Second,
	DisableCompression:  true,
}}

// Send sends a request to the node's entry and reads the whole answer.
func (n *Node) Send(ctx context.Context, r Request) Answer {
	began := time.Now()
	a := n.send(ctx, r)
	a.Duration = time.Since(began)
	return a
}

func (n *Node) send(ctx context.Context, r Request) Answer {
	a := Answer{wantEcho: r.Key, wantBytes: r.ReplyBytes} // a retry may get the answer of the first attempt, which echoes the key
	if r.Key == "" {
		a.wantEcho = ulid.Make().String()
	}
	method := r.Method
	if method == "" {
		method = http.MethodPost
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.callerAddress+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.GetBody = nil // the client must not send a request twice by itself
	r.setHeaders(req.Header)
	req.Header.Set(standin.HeaderEcho, a.wantEcho)
	res, err := callerClient.Do(req)
	if err != nil {
		a.Err = err
		return a
	}
	defer res.Body.Close()
	a.Status, a.Header = res.StatusCode, res.Header
	a.Outcome = outcome.Outcome(res.Header.Get(outcome.HeaderOutcome))
	a.Reason = outcome.Reason(res.Header.Get(outcome.HeaderReason))
	a.VM = res.Header.Get(standin.HeaderVM)
	a.Body, a.Err = io.ReadAll(res.Body)
	return a
}

func (r Request) setHeaders(h http.Header) {
	if r.Key != "" {
		h.Set(outcome.HeaderKey, r.Key)
	}
	if r.Attempt > 0 {
		h.Set(outcome.HeaderAttempt, strconv.Itoa(r.Attempt))
	}
	if r.Deadline > 0 {
		h.Set(outcome.HeaderDeadline, strconv.FormatInt(r.Deadline.Milliseconds(), 10))
	}
	if r.Work > 0 {
		h.Set(standin.HeaderWorkMS, strconv.FormatFloat(float64(r.Work)/float64(time.Millisecond), 'f', -1, 64))
	}
	h.Set(standin.HeaderReplyBytes, strconv.Itoa(r.ReplyBytes))
}

// OK reports whether the request ran and its answer is complete.
func (a Answer) OK() bool {
	return a.Err == nil && a.Status == http.StatusOK && a.Outcome == outcome.Ran
}

// Problem returns what is wrong with an answer that looks complete: it has no outcome, belongs to
// another request, or has the wrong body. It returns "" for a correct answer and for one that broke
// off, which the caller notices.
func (a Answer) Problem() string {
	if a.Err != nil {
		return "" // the caller notices that the answer broke off
	}
	switch a.Outcome {
	case outcome.Ran, outcome.NotRun, outcome.Unknown:
	default:
		return fmt.Sprintf("status %d without an outcome (%q)", a.Status, a.Outcome)
	}
	if !a.OK() || a.VM == "" {
		return "" // not a backend server's answer to a run
	}
	if got := a.Header.Get(standin.HeaderEcho); got != a.wantEcho {
		return fmt.Sprintf("another request's answer: echo %q, want %q", got, a.wantEcho)
	}
	if want := standin.ReplyBody(a.wantEcho, a.wantBytes); !bytes.Equal(a.Body, want) {
		return fmt.Sprintf("body of %d bytes is not the %d bytes asked for", len(a.Body), len(want))
	}
	return ""
}
