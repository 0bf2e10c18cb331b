package standin

import (
	"bytes"
	"net"
	"sync"
)

// HealthPath is the path of a backend server's health check.
const HealthPath = "/healthz"

// limitListener accepts at most limit connections at a time and closes what
// comes beyond at once, as a backend server does that is out of connections.
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

// backendConn counts itself out when closed, and may be cut with what the
// client sent unread.
type backendConn struct {
	net.Conn
	listener  *limitListener
	closeOnce sync.Once
}

var healthCheckStart = []byte("GET " + HealthPath)

// Read drops what came and closes when CutBeforeRead was ordered. Health checks
// pass, so that they do not use up a fault meant for a request.
func (c *backendConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !bytes.HasPrefix(p[:n], healthCheckStart) && c.listener.shouldCut() {
		c.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection and makes room for another.
func (c *backendConn) Close() error {
	c.closeOnce.Do(c.listener.release)
	return c.Conn.Close()
}
