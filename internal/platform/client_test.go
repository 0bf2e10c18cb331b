package platform

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// rawServer runs serve on every connection, numbered from 1, and counts the
// requests read with readRequest.
type rawServer struct {
	listener net.Listener
	requests atomic.Int32
}

func startRawServer(t *testing.T, serve func(s *rawServer, conn net.Conn, number int)) *rawServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &rawServer{listener: listener}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for number := 1; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(s, conn, number)
			}()
		}
	}()
	return s
}

func (s *rawServer) client(t *testing.T) *Client {
	c := NewClient(s.listener.Addr().String(), ClientOptions{Timeout: 5 * time.Second})
	t.Cleanup(c.Close)
	return c
}

func (s *rawServer) readRequest(r *bufio.Reader) {
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	io.Copy(io.Discard, req.Body)
	s.requests.Add(1)
}

const wholeReply = "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"offset\": 7}"

func TestErrorDependsOnWhatWasSentAndReceived(t *testing.T) {
	// The connection breaks at each point of the exchange in turn. An append returns
	// ErrUnavailable only if the platform can't have acted, and ErrUnknownOutcome
	// if it may have. A read changes nothing, so it never returns ErrUnknownOutcome.
	respond := func(reply string) func(*rawServer, net.Conn, int) {
		return func(s *rawServer, conn net.Conn, _ int) {
			s.readRequest(bufio.NewReader(conn))
			io.WriteString(conn, reply)
		}
	}
	refusal := func(status int) string {
		return fmt.Sprintf("HTTP/1.1 %d X\r\nContent-Length: 0\r\n\r\n", status)
	}
	cases := []struct {
		name                 string
		serve                func(*rawServer, net.Conn, int)
		wantAppend, wantRead error
		wantOffset           Offset
	}{
		{"whole reply", respond(wholeReply), nil, nil, 7},
		{"cut after the request", respond(""), ErrUnknownOutcome, ErrUnavailable, 0},
		{"cut in the reply's header", respond(wholeReply[:20]), ErrUnknownOutcome, ErrUnavailable, 0},
		{"cut in the reply's body", respond(wholeReply[:len(wholeReply)-2]), ErrUnknownOutcome, ErrUnavailable, 0},
		{"malformed reply", respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{]"), ErrUnknownOutcome, ErrUnavailable, 0},
		{"cut within the request", func(_ *rawServer, conn net.Conn, _ int) { conn.Read(make([]byte, 10)) }, ErrUnknownOutcome, ErrUnavailable, 0},
		{"refused before acting", respond(refusal(503)), ErrUnavailable, ErrUnavailable, 0},
		{"failed within the platform", respond(refusal(500)), ErrUnknownOutcome, ErrUnavailable, 0},
		{"fence", respond(refusal(409)), ErrFenced, ErrFenced, 0},
		{"trimmed", respond(refusal(410)), ErrTrimmed, ErrTrimmed, 0},
		{"throttled", respond(refusal(429)), ErrThrottled, ErrThrottled, 0},
		{"not found", respond(refusal(404)), ErrNotFound, ErrNotFound, 0},
		{"malformed request", respond(refusal(400)), ErrRejected, ErrRejected, 0},
		{"redirect", respond("HTTP/1.1 307 X\r\nLocation: /elsewhere\r\nContent-Length: 0\r\n\r\n"), ErrRejected, ErrRejected, 0},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			s := startRawServer(t, tc.serve)
			offset, err := s.client(t).Append(t.Context(), "s", [][]byte{[]byte("x")})
			require.ErrorIs(t, err, tc.wantAppend)
			require.Equal(t, tc.wantOffset, offset)
			_, err = s.client(t).Read(t.Context(), "s", 1, 1, 0)
			require.ErrorIs(t, err, tc.wantRead)
		})
	}
}

func TestNothingSentIsUnavailable(t *testing.T) {
	// Without a connection no byte is sent, so the append returns ErrUnavailable:
	// first with a cancelled context, then with nothing listening.
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := NewClient(listener.Addr().String(), ClientOptions{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = c.Append(ctx, "s", [][]byte{[]byte("x")})
	require.ErrorIs(t, err, ErrUnavailable)
	listener.Close()
	_, err = c.Append(t.Context(), "s", [][]byte{[]byte("x")})
	require.ErrorIs(t, err, ErrUnavailable)
}

func TestDeadlineWithoutReplyIsUnknown(t *testing.T) {
	// The platform reads the append and hangs until the caller's deadline. The append
	// may take effect later, so it returns ErrUnknownOutcome.
	s := startRawServer(t, func(s *rawServer, conn net.Conn, _ int) {
		s.readRequest(bufio.NewReader(conn))
		io.Copy(io.Discard, conn)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := s.client(t).Append(ctx, "s", [][]byte{[]byte("x")})
	require.ErrorIs(t, err, ErrUnknownOutcome)
}

func TestBrokenReusedConnectionIsNotReplayed(t *testing.T) {
	// The platform answers one append, reads a second one on the same connection and
	// closes it. net/http resends a replayable request in this case, and one call
	// would append its entry twice.
	s := startRawServer(t, func(s *rawServer, conn net.Conn, number int) {
		r := bufio.NewReader(conn)
		s.readRequest(r)
		io.WriteString(conn, wholeReply)
		if number == 1 {
			s.readRequest(r)
		}
	})
	c := s.client(t)
	_, err := c.Append(t.Context(), "s", [][]byte{[]byte("x")})
	require.NoError(t, err)
	_, err = c.Append(t.Context(), "s", [][]byte{[]byte("y")})
	require.ErrorIs(t, err, ErrUnknownOutcome)
	require.EqualValues(t, 2, s.requests.Load())
}

func TestSealedConnectionWritesNothing(t *testing.T) {
	// A call fails before its request is written, and the Transport's goroutine
	// writes just after that. The caller got ErrUnavailable, so the write must not
	// reach the platform.
	near, far := net.Pipe()
	defer far.Close()
	conn := &sealableConn{Conn: near}
	require.False(t, conn.seal(conn.writeCount()))
	_, err := conn.Write([]byte("late"))
	require.ErrorIs(t, err, errSealed)
	near.Close()
	left, _ := io.ReadAll(far)
	require.Empty(t, left)
}

// blockingLog is a Log whose appends block until the test sends a result.
type blockingLog struct {
	Log
	calls   chan [][]byte
	results chan error
	next    Offset
}

func (l *blockingLog) Append(ctx context.Context, _ string, entries [][]byte) (Offset, error) {
	l.calls <- entries
	if err := <-l.results; err != nil {
		return 0, err
	}
	first := l.next + 1
	l.next += Offset(len(entries))
	return first, ctx.Err()
}
