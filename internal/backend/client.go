// Package backend is the HTTP client for backend servers. It sends one attempt of a
// request and reports whether the attempt ran, did not run, or may have run.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
)

// Failure is the point at which an attempt failed.
type Failure string

// Failures of an attempt.
const (
	FailureNone Failure = ""
	// FailureDial means that no connection was made; nothing was sent.
	FailureDial Failure = "backend-unreachable"
	// FailureUnsent means that the connection broke, the deadline passed or BeforeWrite
	// failed before the first byte was written.
	FailureUnsent Failure = "backend-unsent"
	// FailureRefused means that the backend server reported that it did not run the
	// request.
	FailureRefused Failure = "backend-refused"
	// FailureBroken means that the connection broke after bytes were written.
	FailureBroken Failure = "backend-broken"
	// FailureTimeout means that the deadline passed after bytes were written.
	FailureTimeout Failure = "deadline"
	// FailureCanceled means that the attempt was canceled after bytes were written.
	FailureCanceled Failure = "canceled"
	// FailureUnframed means that the answer ends with its connection, so that a complete
	// answer can't be told from a truncated one.
	FailureUnframed Failure = "answer-unframed"
)

// Config holds the limits of connections and answers.
type Config struct {
	// ConnectTimeout is the timeout of one dial.
	ConnectTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept. It must be below the backend
	// servers' idle timeout, or they close connections while these are being reused.
	IdleTimeout time.Duration
	// MaxBufferedBodyBytes is the largest answer body, in bytes, that is buffered completely. Longer
	// answers are streamed.
	MaxBufferedBodyBytes int
	// MaxHeaderBytes is the largest answer header in bytes.
	MaxHeaderBytes int64
}

// Client sends attempts to backend servers, by address. It is safe for concurrent
// use.
type Client struct {
	cfg       Config
	transport *http.Transport

	mu      sync.RWMutex
	servers map[string]*connPool
}

// NewClient returns a Client without connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, transport: newTransport(cfg.MaxHeaderBytes), servers: map[string]*connPool{}}
}

// Update sets the addresses in use and the maximum number of connections to each.
// Idle connections to other addresses are closed.
func (c *Client) Update(shares map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, limit := range shares {
		if p := c.servers[address]; p != nil {
			p.resize(limit)
			continue
		}
		c.servers[address] = &connPool{
			address:   address,
			transport: c.transport,
			dialer:    net.Dialer{Timeout: c.cfg.ConnectTimeout},
			idleFor:   c.cfg.IdleTimeout,
			max:       limit,
		}
	}
	for address, p := range c.servers {
		if _, ok := shares[address]; !ok {
			p.resize(0)
			p.closeIdle()
			delete(c.servers, address)
		}
	}
}

// Trim closes connections that have been idle for IdleTimeout.
func (c *Client) Trim(now time.Time) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.servers {
		p.trim(now)
	}
}

// Header is an http.Header. Packages that don't import net/http use this name.
type Header = http.Header

// Request is one attempt. Body is nil if empty. Header must contain end-to-end fields
// only.
type Request struct {
	Method string
	// URL holds the path and query; its scheme and host are ignored.
	URL     *url.URL
	Host    string
	Header  http.Header
	Body    []byte
	Address string
	// BeforeWrite is called right before the first byte is written. If it returns an
	// error, the attempt is not sent.
	BeforeWrite func() error
}

// Answer is the result of an attempt. If Outcome is Ran, it holds the backend
// server's answer: Body is complete, or, if Rest is set, Body is the start and Rest
// the remainder. Rest must be closed; an error from Rest means that the answer is
// truncated.
type Answer struct {
	Outcome outcome.Outcome
	Failure Failure
	Err     error
	Status  int
	Header  http.Header
	Body    []byte
	Rest    io.ReadCloser

	response *http.Response
}

// ServerError reports whether the status is 500 or higher.
func (a *Answer) ServerError() bool { return a.Status >= http.StatusInternalServerError }

// Trailer returns the answer's trailer. If Rest is set, the trailer is complete only
// after Rest was read to its end.
func (a *Answer) Trailer() http.Header {
	if a.response == nil {
		return nil
	}
	return a.response.Trailer
}

// Do sends one attempt and waits for the answer. It retries only once, if a reused
// connection broke before anything was written on it.
func (c *Client) Do(ctx context.Context, req *Request) Answer {
	c.mu.RLock()
	pool := c.servers[req.Address]
	c.mu.RUnlock()
	if pool == nil {
		return Answer{Outcome: outcome.NotRun, Failure: FailureDial, Err: errors.New("the backend server is no longer in use")}
	}
	ans, reused := c.try(ctx, pool, req, false)
	if ans.Failure == FailureUnsent && reused && ctx.Err() == nil {
		ans, _ = c.try(ctx, pool, req, true)
	}
	return ans
}

func (c *Client) try(ctx context.Context, pool *connPool, req *Request, fresh bool) (ans Answer, reused bool) {
	cn, reused, err := pool.get(ctx, fresh)
	if err != nil {
		return Answer{Outcome: outcome.NotRun, Failure: FailureDial, Err: err}, reused
	}
	start := cn.meter.beginAttempt(req.BeforeWrite)
	res, err := cn.client.RoundTrip(newRequest(ctx, req))
	if err != nil {
		wrote := cn.meter.seal(start)
		pool.drop(cn)
		return failedAnswer(ctx, wrote, err), reused
	}
	return c.receive(ctx, pool, cn, req, res), reused
}

func newRequest(ctx context.Context, req *Request) *http.Request {
	r := &http.Request{
		Method:     req.Method,
		URL:        target(req),
		Proto:      "HTTP/1.1",
		ProtoMajor: 1,
		ProtoMinor: 1,
		Header:     req.Header,
		Host:       req.Host,
	}
	if len(req.Body) > 0 {
		r.Body = io.NopCloser(bytes.NewReader(req.Body))
		r.ContentLength = int64(len(req.Body))
	}
	return r.WithContext(ctx)
}

func target(req *Request) *url.URL {
	return &url.URL{
		Scheme:   "http",
		Host:     req.Address,
		Path:     req.URL.Path,
		RawPath:  req.URL.RawPath,
		RawQuery: req.URL.RawQuery,
	}
}

func failedAnswer(ctx context.Context, wrote bool, err error) Answer {
	if !wrote {
		return Answer{Outcome: outcome.NotRun, Failure: FailureUnsent, Err: err}
	}
	return Answer{Outcome: outcome.Unknown, Failure: failureAfterWrite(ctx), Err: err}
}

// failureAfterWrite returns the Failure of an attempt that failed after bytes were
// written.
func failureAfterWrite(ctx context.Context) Failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return FailureTimeout
	case ctx.Err() != nil:
		return FailureCanceled
	}
	return FailureBroken
}
