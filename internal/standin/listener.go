package standin

import (
	"bytes"
	"net"
	"sync"
)

// HealthPath is the path of a backend server's health check.
const HealthPath = "/healthz"

// limitListener accepts at most limit connections at a time and closes further ones
// at once, like a backend server at its connection limit.
type limitListener struct {
	net.Listener
	limit     int
	onRefused func()
	shouldCut func() bool

	mu   sync.Mutex
	open int
}

// Accept implements net.Listener.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.acquire() {
			return &backendConn{Conn: conn, listener: l}, nil
		}
		l.onRefused()
		conn.Close()
	}
}

func (l *limitListener) acquire() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open >= l.limit {
		return false
	}
	l.open++
	return true
}

func (l *limitListener) release() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open--
}

// backendConn is a connection to a backend server. It releases its place in the
// listener when closed, and CutBeforeRead can close it before a request is read.
type backendConn struct {
	net.Conn
	listener  *limitListener
	closeOnce sync.Once
}

var healthCheckStart = []byte("GET " + HealthPath)

// Read implements net.Conn. It discards the data and closes the connection if
// CutBeforeRead is active. Health checks are exempt, so that they don't use up a
// fault meant for a request.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !bytes.HasPrefix(p[:n], healthCheckStart) && c.listener.shouldCut() {
		c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection and allows the listener to accept another one.
func (c *backendConn) Close() error {
	c.closeOnce.Do(c.listener.release)
	return c.Conn.Close()
}
