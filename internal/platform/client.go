package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/pkg/errors"
)

// Defaults of ClientOptions.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultDialTimeout = 2 * time.Second
	idleConns          = 8
	idleTimeout        = 30 * time.Second
)

// ClientOptions configures a Client. Zero values take the defaults.
type ClientOptions struct {
	// Timeout bounds a call whose context has no deadline. A read that waits for
	// entries gets its wait in addition.
	Timeout time.Duration
	// DialTimeout bounds connecting.
	DialTimeout time.Duration
}

// Client accesses the platform over HTTP and JSON. It implements Log, Fleet and
// Tasks. It sends every request at most once and is safe for concurrent use.
type Client struct {
	base    string
	timeout time.Duration
	http    *http.Client
}

var (
	_ Log   = (*Client)(nil)
	_ Fleet = (*Client)(nil)
	_ Tasks = (*Client)(nil)
)

// NewClient returns a client for the platform at addr, an "IP:port".
func NewClient(addr string, opts ClientOptions) *Client {
	if opts.Timeout <= 0 {
		opts.Timeout = DefaultTimeout
	}
	if opts.DialTimeout <= 0 {
		opts.DialTimeout = DefaultDialTimeout
	}
	transport := &http.Transport{
		DialContext:         dialSealable(&net.Dialer{Timeout: opts.DialTimeout}),
		MaxIdleConnsPerHost: idleConns,
		IdleConnTimeout:     idleTimeout,
		// The Transport requests gzip, which shrinks the list of VMs and batches of
		// records to a fraction. A platform without gzip sends them uncompressed.
		DisableCompression: false,
	}
	return &Client{
		base:    "http://" + addr,
		timeout: opts.Timeout,
		http: &http.Client{
			Transport: transport,
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// call is one request and its reply. mutates is true if the request changes state
// on the platform: only then does a missing reply mean ErrUnknownOutcome instead
// of ErrUnavailable.
type call struct {
	method      string
	path        string
	requestBody any
	replyBody   any
	mutates     bool
	wait        time.Duration
	// errorReply is decoded from the body of an error reply.
	errorReply ErrorReply
}

// do sends the call once and maps its outcome to the errors of this package.
func (c *Client) do(ctx context.Context, k *call) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.timeout+k.wait)
		defer cancel()
	}
	if err := ctx.Err(); err != nil {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	var conn connTracker
	req, err := c.newRequest(httptrace.WithClientTrace(ctx, conn.clientTrace()), k)
	if err != nil {
		return errors.Wrap(ErrRejected, err.Error())
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return k.noReplyError(conn.sealAndReportWrites(), err)
	}
	defer resp.Body.Close()
	return k.handleResponse(resp)
}

// newRequest builds the HTTP request. http.Transport resends a "replayable"
// request if a reused connection breaks. A POST without GetBody and without an
// idempotency header is never replayable.
func (c *Client) newRequest(ctx context.Context, k *call) (*http.Request, error) {
	var body io.Reader
	if k.requestBody != nil {
		data, err := json.Marshal(k.requestBody)
		if err != nil {
			return nil, err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, k.method, c.base+k.path, body)
	if err != nil {
		return nil, err
	}
	req.GetBody = nil
	if k.requestBody != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// noReplyError returns the error of a call without a complete reply.
func (k *call) noReplyError(written bool, cause error) error {
	if k.mutates && written {
		return errors.Wrap(ErrUnknownOutcome, cause.Error())
	}
	return errors.Wrap(ErrUnavailable, cause.Error())
}

// handleResponse decodes a reply. A success requires the complete body. For an
// error reply the status code is enough.
func (k *call) handleResponse(resp *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	if err == nil && len(data) > MaxBodyBytes {
		err = errors.New("reply exceeds the size limit")
	}
	if resp.StatusCode != http.StatusOK {
		return k.statusError(resp.StatusCode, data)
	}
	if err != nil {
		return k.noReplyError(true, err)
	}
	if k.replyBody == nil {
		return nil
	}
	if err := json.Unmarshal(data, k.replyBody); err != nil {
		return k.noReplyError(true, errors.Wrap(err, "malformed reply"))
	}
	return nil
}

// statusError maps a status code to an error of this package.
func (k *call) statusError(status int, data []byte) error {
	if json.Unmarshal(data, &k.errorReply) != nil || k.errorReply.Message == "" {
		k.errorReply.Message = http.StatusText(status)
	}
	message := k.errorReply.Message
	switch {
	case status == http.StatusConflict:
		return errors.Wrap(ErrFenced, message)
	case status == http.StatusGone:
		return errors.Wrap(ErrTrimmed, message)
	case status == http.StatusTooManyRequests:
		return errors.Wrap(ErrThrottled, message)
	case status == http.StatusNotFound:
		return errors.Wrap(ErrNotFound, message)
	case status == http.StatusServiceUnavailable:
		return errors.Wrap(ErrUnavailable, message)
	case status >= http.StatusInternalServerError:
		return k.noReplyError(true, errors.New(message))
	default:
		return errors.Wrap(ErrRejected, message)
	}
}

// connTracker records the connection that a request uses and the number of writes
// to it before the request. The Transport sets it on the goroutine of the call.
type connTracker struct {
	conn         *sealableConn
	writesBefore uint64
}

func (u *connTracker) clientTrace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		u.conn, _ = info.Conn.(*sealableConn)
		if u.conn != nil {
			u.writesBefore = u.conn.writeCount()
		}
	}}
}

// sealAndReportWrites reports whether any byte of the failed request may have been
// sent, and seals the connection so that none is sent later.
func (u *connTracker) sealAndReportWrites() bool {
	return u.conn != nil && u.conn.seal(u.writesBefore)
}
