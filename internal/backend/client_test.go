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

// script answers the nth request of a connection (from 0); nil breaks it off.
type script func(n int, r *http.Request) []byte

// scriptedServer is a backend server that reads whole requests, counts them as run
// and answers by a script.
type scriptedServer struct {
	net.Listener
	script script

	mu    sync.Mutex
	runs  []string // path of each request read
	conns int
	most  int // connections open at once
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
	b.most = max(b.most, b.conns)
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

// cutMark ends an answer after which the connection is closed.
var cutMark = []byte("~")

func ok(string) []byte { return []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok") }

func client(b *scriptedServer) *Client {
	c := NewClient(Config{ConnectTimeout: time.Second, IdleTimeout: time.Minute, HoldMax: 64, HeaderMax: 4096})
	c.Update(map[string]int{b.Addr().String(): 2})
	return c
}

func request(b *scriptedServer, method, path string, header http.Header, body string) *Request {
	if header == nil {
		header = http.Header{}
	}
	return &Request{Method: method, URL: &url.URL{Path: path}, Host: "h", Header: header, Body: []byte(body), Address: b.Addr().String()}
}

// The caller sees one answer, but the booking was made twice: the backend server
// ran the request that came on a reused connection and the connection broke
// before its answer, whereupon net/http's Transport sent it again on another
// one. The baseline shows that it does; Client must send once and say unknown.
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
			require.Equal(t, 2, raw.count("/book"), "the baseline no longer replays")

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

// The caller may only hear "not run" when no byte left, or when the backend
// server says so; "ran" only with the whole answer. Each case breaks at a later
// point than the one before.
func TestOutcomeByPointOfFailure(t *testing.T) {
	refusal := "HTTP/1.1 503 Service Unavailable\r\n" + outcome.HeaderBackend + ": not-run\r\nContent-Length: 0\r\n\r\n"
	cases := []struct {
		name    string
		answer  string // empty breaks off
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

// "Not run" is right while nothing left this process: no connection, no time,
// or a pause between choice and write. The backend server must have seen nothing.
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

// The deadline passes while net/http's writer has not started: the round trip
// ends with an error, the caller is told "not run", and then the writer runs.
// seal must keep the bytes back, or the word would be false.
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

// A deadline that passes after the bytes left ends unknown, since the backend
// server may still be at it.
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

// A long answer is streamed; when it breaks off, reading says so instead of
// ending, so that the caller's connection can be aborted.
func TestTruncatedStreamReturnsError(t *testing.T) {
	const size = 1000 // over HoldMax
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

// All entry VMs share a backend server's connections, so each keeps to its
// share even when many requests are under way; the surplus is not run.
func TestConnectionsStayWithinShare(t *testing.T) {
	const most, calls = 2, 6
	held := make(chan struct{})
	b := serve(t, func(int, *http.Request) []byte { <-held; return ok("") })
	c := client(b)
	answers := make(chan Answer, calls)
	for range calls {
		go func() { answers <- c.Do(t.Context(), request(b, http.MethodGet, "/lookup", nil, "")) }()
	}
	for range calls - most {
		ans := <-answers
		assert.Equal(t, outcome.NotRun, ans.Outcome)
		assert.ErrorIs(t, ans.Err, errNoConnection)
	}
	close(held)
	for range most {
		assert.Equal(t, outcome.Ran, (<-answers).Outcome)
	}
	assert.LessOrEqual(t, b.most, most)
	assert.Equal(t, most, b.count("/lookup"))
}
