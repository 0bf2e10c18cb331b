// Package backend is the peer package for backend servers: it sends one attempt
// of a request to one of them and says truthfully what became of it.
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

// Failure says at which point an attempt failed.
type Failure string

// Failures of an attempt.
const (
	FailureNone Failure = ""
	// FailureDial: no connection; nothing was sent.
	FailureDial Failure = "backend-unreachable"
	// FailureUnsent: the connection broke, or the time was up, before the first
	// byte was written.
	FailureUnsent Failure = "backend-unsent"
	// FailureRefused: the backend server says that it did not run the request.
	FailureRefused Failure = "backend-refused"
	// FailureBroken: the connection broke after bytes were written.
	FailureBroken Failure = "backend-broken"
	// FailureTimeout: the time was up after bytes were written.
	FailureTimeout Failure = "deadline"
	// FailureCanceled: the attempt was canceled after bytes were written.
	FailureCanceled Failure = "canceled"
	// FailureUnframed: the answer ends with its connection, so a whole one
	// can't be told from one that was cut.
	FailureUnframed Failure = "answer-unframed"
)

// Config bounds the use of backend servers.
type Config struct {
	// ConnectTimeout bounds one dial.
	ConnectTimeout time.Duration
	// IdleTimeout is how long a connection is kept unused. It must be below the
	// backend servers' own, or they close connections just as they are reused.
	IdleTimeout time.Duration
	// HoldMax is the largest answer body, in bytes, that is held until it is
	// complete.
	HoldMax int
	// HeaderMax is the largest answer header in bytes.
	HeaderMax int64
}

// Client knows the backend servers by address. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *http.Transport

	mu      sync.RWMutex
	servers map[string]*connPool
}

// NewClient returns a Client without connections.
func NewClient(cfg Config) *Client {
	return &Client{cfg: cfg, transport: newTransport(cfg.HeaderMax), servers: map[string]*connPool{}}
}

// Update sets the addresses in use and the most connections to each. Idle
// connections to other addresses are closed.
func (c *Client) Update(shares map[string]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, most := range shares {
		if p := c.servers[address]; p != nil {
			p.resize(most)
			continue
		}
		c.servers[address] = &connPool{
			address:   address,
			transport: c.transport,
			dialer:    net.Dialer{Timeout: c.cfg.ConnectTimeout},
			idleFor:   c.cfg.IdleTimeout,
			max:       most,
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

// Trim closes connections that were idle for too long.
func (c *Client) Trim(now time.Time) {
	c.mu.RLock()
	defer c.mu.RUnlock()
	for _, p := range c.servers {
		p.trim(now)
	}
}

// Header is a header on its way through packages that open no connection.
type Header = http.Header

// Request is one attempt. Body is nil when empty. Header must hold end-to-end
// fields only.
type Request struct {
	Method string
	// URL holds path and query; its scheme and host are not used.
	URL     *url.URL
	Host    string
	Header  http.Header
	Body    []byte
	Address string
	// BeforeWrite is asked right before the first byte is written; its error
	// keeps the attempt from being sent.
	BeforeWrite func() error
}

// Answer is what became of an attempt. With Outcome Ran it holds the backend
// server's answer: Body is complete, or, when Rest is set, Body is its start
// and Rest the remainder. Rest must be closed; an error from it means that the
// answer broke off.
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

// ServerError reports whether the answer blames the backend server.
func (a *Answer) ServerError() bool { return a.Status >= http.StatusInternalServerError }

// Trailer returns the answer's trailer; with Rest it is there once Rest was
// read to its end.
func (a *Answer) Trailer() http.Header {
	if a.response == nil {
		return nil
	}
	return a.response.Trailer
}

// Do sends one attempt and waits for the answer. It does not retry, but for a
// reused connection that broke before anything was written on it.
func (c *Client) Do(ctx context.Context, req *Request) Answer {
	c.mu.RLock()
	pool := c.servers[req.Address]
	c.mu.RUnlock()
	if pool == nil {
		return Answer{Outcome: outcome.NotRun, Failure: FailureDial, Err: errors.New("the backend server left")}
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

// failureAfterWrite tells why an attempt failed after bytes were written.
func failureAfterWrite(ctx context.Context) Failure {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return FailureTimeout
	case ctx.Err() != nil:
		return FailureCanceled
	}
	return FailureBroken
}
