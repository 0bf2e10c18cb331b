package backend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
)

// script returns the answer to the nth request of a connection, from 0; nil closes the
// connection.
type script func(n int, r *http.Request) []byte

// scriptedServer is a backend server that reads complete requests, counts them as run
// and answers by a script.
type scriptedServer struct {
	net.Listener
	script script

	mu       sync.Mutex
	runs     []string // paths of the requests read
	conns    int
	maxConns int // maximum number of open connections
}

func serve(t *testing.T, s script) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &scriptedServer{Listener: listener, script: s}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go b.handle(c)
		}
	}()
	return b
}

func (b *scriptedServer) handle(c net.Conn) {
	b.mu.Lock()
	b.conns++
	b.maxConns = max(b.maxConns, b.conns)
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.conns--
		b.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		b.mu.Lock()
		b.runs = append(b.runs, r.URL.Path)
		b.mu.Unlock()
		out := b.script(n, r)
		if _, err := c.Write(out); out == nil || err != nil || bytes.HasSuffix(out, cutMark) {
			return
		}
	}
}

func (b *scriptedServer) count(path string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, p := range b.runs {
		if p == path {
			n++
		}
	}
	return n
}

// cutMark at the end of an answer makes the server close the connection.
var cutMark = []byte("~")

func ok(string) []byte { return []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }

func client(b *scriptedServer) *Client {
	c := NewClient(Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute, MaxBufferedBodyBytes: 64, MaxHeaderBytes: 4096})
	c.Update(map[string]int{b.Addr().String(): 2})
	return c
}

func request(b *scriptedServer, method, path string, header http.Header, body string) *Request {
	if header == nil {
		header = http.Header{}
	}
	return &Request{Method: method, URL: &url.URL{Path: path}, Host: "h", Header: header, Body: []byte(body), Address: b.Addr().String()}
}

// A backend server runs the request on a reused connection, and the connection breaks
// before the answer. net/http's Transport sends the request again on another
// connection, so that a booking is made twice. The baseline shows this; Client must
// send once and return Unknown.
func TestBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	idempotent := http.Header{"Idempotency-Key": {"k"}}
	cases := []struct {
		name, method, body string
		header             http.Header
	}{
		{"GET", http.MethodGet, "", nil},
		{"HEAD", http.MethodHead, "", nil},
		{"OPTIONS", http.MethodOptions, "", nil},
		{"TRACE", http.MethodTrace, "", nil},
		{"POST empty, Idempotency-Key", http.MethodPost, "", idempotent},
		{"POST empty, X-Idempotency-Key", http.MethodPost, "", http.Header{"X-Idempotency-Key": {"k"}}},
		{"POST with body, Idempotency-Key", http.MethodPost, "chair 7", idempotent},
		{"GET with body", http.MethodGet, "chair 7", nil},
	}
	breaks := func(n int, r *http.Request) []byte {
		if r.URL.Path == "/book" && n > 0 {
			return nil
		}
		return ok("")
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			raw := serve(t, breaks)
			transport := &http.Transport{}
			defer transport.CloseIdleConnections()
			roundTrip(t, transport, raw, http.MethodGet, "/warm", nil, "")
			roundTrip(t, transport, raw, c.method, "/book", c.header, c.body)
			require.Equal(t, 2, raw.count("/book"), "expected the baseline to replay the request")

			b := serve(t, breaks)
			ours := client(b)
			require.Equal(t, outcome.Ran, ours.Do(t.Context(), request(b, http.MethodGet, "/warm", nil, "")).Outcome)
			ans := ours.Do(t.Context(), request(b, c.method, "/book", c.header.Clone(), c.body))
			assert.Equal(t, outcome.Unknown, ans.Outcome)
			assert.Equal(t, FailureBroken, ans.Failure)
			assert.Equal(t, 1, b.count("/book"))
		})
	}
}

func roundTrip(t *testing.T, transport *http.Transport, b *scriptedServer, method, path string, header http.Header, body string) {
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+b.Addr().String()+path, strings.NewReader(body))
	require.NoError(t, err)
	if header != nil {
		req.Header = header.Clone()
	}
	res, err := transport.RoundTrip(req)
	if err == nil {
		_, _ = io.Copy(io.Discard, res.Body)
		res.Body.Close()
	}
}

// "Not run" requires that no byte left or that the backend server reported it; "ran"
// requires the complete answer. Each case fails at a later point than the one before.
func TestOutcomeByPointOfFailure(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + outcome.HeaderBackend + ": not-run\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name    string
		answer  string // empty closes the connection
		outcome outcome.Outcome
		failure Failure
	}{
		{"after the body, no answer", "", outcome.Unknown, FailureBroken},
		{"in the status line", "HTTP/1.1 2~", outcome.Unknown, FailureBroken},
		{"in the header", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: ~", outcome.Unknown, FailureBroken},
		{"before the body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nX: ~\r\n\r\n~", outcome.Unknown, FailureBroken},
		{"in the body", "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nok~", outcome.Unknown, FailureBroken},
		{"in a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok~", outcome.Unknown, FailureBroken},
		{"between chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nok~", outcome.Unknown, FailureBroken},
		{"framed by the connection's end", "HTTP/1.1 200 OK\r\n\r\nok~", outcome.Unknown, FailureUnframed},
		{"no HTTP at all", "gurgle\r\n\r\n~", outcome.Unknown, FailureBroken},
		{"error without a word", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", outcome.Ran, FailureNone},
		{"refused", refusal, outcome.NotRun, FailureRefused},
		{"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", outcome.Ran, FailureNone},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := serve(t, func(int, *http.Request) []byte { return nilIfEmpty(c.answer) })
			ans := client(b).Do(t.Context(), request(b, http.MethodPost, "/book", nil, "chair 7"))
			assert.Equal(t, c.outcome, ans.Outcome, "%v", ans.Err)
			assert.Equal(t, c.failure, ans.Failure)
			assert.Equal(t, 1, b.count("/book"))
		})
	}
}

func nilIfEmpty(s string) []byte {
	if s == "" {
		return nil
	}
	return []byte(s)
}

// An attempt is "not run" if nothing left this process: no connection, no time left,
// or a pause between pick and write. The backend server must have seen nothing.
func TestUnsentRequestIsNotRun(t *testing.T) {
	b := serve(t, func(int, *http.Request) []byte { return ok("") })
	c := client(b)

	stale := request(b, http.MethodPost, "/book", nil, "chair 7")
	stale.BeforeWrite = func() error { return errors.New("paused") }
	ans := c.Do(t.Context(), stale)
	assert.Equal(t, outcome.NotRun, ans.Outcome)
	assert.Equal(t, FailureUnsent, ans.Failure)

	over, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	ans = c.Do(over, request(b, http.MethodPost, "/book", nil, "chair 7"))
	assert.Equal(t, outcome.NotRun, ans.Outcome)
	assert.Zero(t, b.count("/book"))

	b.Close()
	ans = c.Do(t.Context(), request(b, http.MethodPost, "/book", nil, "chair 7"))
	assert.Equal(t, outcome.NotRun, ans.Outcome)
	assert.Equal(t, FailureDial, ans.Failure)
}

// The deadline passes before net/http's writer has started. The round trip fails, the
// caller is told "not run", and then the writer runs. seal must prevent this write,
// or the request would run nevertheless.
func TestSealedConnectionRejectsWrites(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	m := &meteredConn{Conn: near}
	start := m.beginAttempt(nil)
	assert.False(t, m.seal(start))
	n, err := m.Write([]byte("POST /book"))
	assert.Zero(t, n)
	assert.ErrorIs(t, err, errSealed)
}

// If the deadline passes after bytes were written, the outcome is unknown, since the
// backend server may still run the request.
func TestDeadlineAfterSendIsUnknown(t *testing.T) {
	held := make(chan struct{})
	arrived := make(chan struct{})
	b := serve(t, func(int, *http.Request) []byte { close(arrived); <-held; return nil })
	defer close(held)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { <-arrived; cancel() }()
	ans := client(b).Do(ctx, request(b, http.MethodGet, "/lookup", nil, ""))
	assert.Equal(t, outcome.Unknown, ans.Outcome)
	assert.Equal(t, FailureCanceled, ans.Failure)
}

// A long answer is streamed. If it is truncated, reading must return an error instead
// of io.EOF, so that the caller's connection can be aborted.
func TestTruncatedStreamReturnsError(t *testing.T) {
	const size = 1000 // over MaxBufferedBodyBytes
	head := "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n"
	for name, cut := range map[string]bool{"whole": false, "cut": true} {
		t.Run(name, func(t *testing.T) {
			text := head + strings.Repeat("x", size)
			if cut {
				text = head + strings.Repeat("x", size-10) + string(cutMark)
			}
			b := serve(t, func(int, *http.Request) []byte { return []byte(text) })
			ans := client(b).Do(t.Context(), request(b, http.MethodGet, "/export", nil, ""))
			require.NotNil(t, ans.Rest)
			defer ans.Rest.Close()
			got, err := io.ReadAll(ans.Rest)
			if cut {
				assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
				return
			}
			assert.NoError(t, err)
			assert.Len(t, got, size-len(ans.Body))
		})
	}
}

// All entry VMs share a backend server's connections. Each must stay within its share
// even with many requests in flight; the excess requests are not run.
func TestConnectionsStayWithinShare(t *testing.T) {
	const limit, calls = 2, 6
	held := make(chan struct{})
	b := serve(t, func(int, *http.Request) []byte { <-held; return ok("") })
	c := client(b)
	answers := make(chan Answer, calls)
	for range calls {
		go func() { answers <- c.Do(t.Context(), request(b, http.MethodGet, "/lookup", nil, "")) }()
	}
	for range calls - limit {
		ans := <-answers
		assert.Equal(t, outcome.NotRun, ans.Outcome)
		assert.ErrorIs(t, ans.Err, errNoConnection)
	}
	close(held)
	for range limit {
		assert.Equal(t, outcome.Ran, (<-answers).Outcome)
	}
	assert.LessOrEqual(t, b.maxConns, limit)
	assert.Equal(t, limit, b.count("/lookup"))
}
