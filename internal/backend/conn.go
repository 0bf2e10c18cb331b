package backend

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is returned by writes to a connection that was given up.
var errSealed = errors.New("connection was given up")

// meteredConn counts the bytes that were handed to the kernel, so that an
// attempt knows whether any of its bytes can have reached the backend server.
//
// net/http may write from another goroutine after a round trip has failed, as
// when the deadline passes just before the first write. Without seal such a
// request would be reported as not run and then run. seal makes the count final:
// no byte leaves after it.
type meteredConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
	// beforeWrite is asked ahead of an attempt's first write; its error keeps the
	// attempt from being sent. nil once asked.
	beforeWrite func() error
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, errSealed
	}
	if c.beforeWrite != nil {
		if err := c.beforeWrite(); err != nil {
			c.sealed = true
			return 0, err
		}
		c.beforeWrite = nil
	}
	n, err := c.Conn.Write(b)
	c.written += int64(n)
	return n, err
}

// beginAttempt starts an attempt and returns the count so far.
func (c *meteredConn) beginAttempt(before func() error) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite = before
	return c.written
}

// seal closes the connection and reports whether any byte was written since
// the count was at start. It closes first, which ends a write that blocks.
func (c *meteredConn) seal(start int64) (wrote bool) {
	_ = c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written != start
}
