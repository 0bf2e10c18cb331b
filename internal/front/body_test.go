package front

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/membudget"
)

func testClaim(t *testing.T, bytes int) *membudget.Conn {
	t.Helper()
	c := membudget.New().NewGroup(membudget.Limits{Bytes: bytes, Connections: 1}).Open(func() {})
	require.NotNil(t, c)
	return c
}

// Guards against bodies that take more memory than was reserved for them.
func TestBodiesAreReadWithinTheirReservation(t *testing.T) {
	text := strings.Repeat("b", 3*firstBodyBuffer)
	body, err := readBody(strings.NewReader(text), len(text), testClaim(t, len(text)+1))
	require.NoError(t, err)
	assert.Equal(t, text, string(body))
	assert.LessOrEqual(t, cap(body), len(text)+1)
	_, err = readBody(strings.NewReader(text), len(text), testClaim(t, 2*firstBodyBuffer))
	assert.ErrorIs(t, err, errNoMemory)
	_, err = readBody(strings.NewReader(text), len(text)-1, nil)
	assert.ErrorIs(t, err, errBodyTooLarge)
	body, err = readBody(bytes.NewReader(nil), 10, nil)
	require.NoError(t, err)
	assert.Empty(t, body)
}

// Guards against a refusal for want of memory that promises too much: the job may have been accepted before.
func TestRefusalsForWantOfMemoryAreTrue(t *testing.T) {
	for status, report := range map[int]AcceptanceReport{
		http.StatusServiceUnavailable: ruledOut(), http.StatusGatewayTimeout: {}, http.StatusOK: {Stands: true},
	} {
		for _, memory := range []int{firstBodyBuffer - 1, firstBodyBuffer} {
			r := newFrontRig(t)
			r.jobs.report = report
			claim := testClaim(t, memory)
			require.True(t, claim.Hold())
			req := r.newRequest(http.MethodPost, jobPath, "Bearer ward-key")
			res := r.serve(req.WithContext(listen.ContextWithClaim(req.Context(), claim)))
			assert.Equal(t, status, res.StatusCode, "%d bytes", memory)
			assert.Equal(t, status != http.StatusOK, res.Header.Get("Retry-After") != "")
			assert.Empty(t, r.jobs.records)
		}
	}
}

// Guards against bodies that never end: without a limit of their time, they keep their connection as long as their
// client likes.
func TestABodyThatNeverEndsLosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newFrontRig(t)
		client, server := net.Pipe()
		l := &pipeListener{conns: make(chan net.Conn, 1), closed: make(chan struct{})}
		l.conns <- server
		s := &http.Server{Handler: r.handler}
		go func() { _ = s.Serve(l) }()
		go func() {
			_, _ = io.WriteString(client, "POST "+jobPath+" HTTP/1.1\r\nHost: "+testHost+"\r\nAuthorization: Bearer ward-key\r\nContent-Length: 100\r\n\r\n{")
		}()
		began := time.Now()
		_, err := io.ReadAll(client)
		require.NoError(t, err)
		assert.Equal(t, bodyTimeout, time.Since(began).Truncate(time.Second))
		assert.Empty(t, r.jobs.records)
		require.NoError(t, s.Close())
	})
}

// pipeListener is a listener of connections in memory.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
