package backend

import (
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("connection is sealed")

// meteredConn counts the bytes passed to the kernel, which shows whether any byte of
// an attempt can have reached the backend server.
//
// net/http may write from another goroutine after a round trip has failed, for
// example if the deadline passes just before the first write. Without seal, such a
// request would be reported as not run and then run. seal makes the count final: no
// byte is written after it.
type meteredConn struct {
	net.Conn

	mu      sync.Mutex
	written int64
	sealed  bool
	// beforeWrite is called before an attempt's first write. Its error seals the
	// connection. It is nil after it succeeded.
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

// beginAttempt starts an attempt and returns the number of bytes written so far.
func (c *meteredConn) beginAttempt(before func() error) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.beforeWrite = before
	return c.written
}

// seal closes the connection, rejects all further writes and reports whether any byte
// was written since beginAttempt returned start. It closes the connection first,
// which ends a blocked write.
func (c *meteredConn) seal(start int64) (wrote bool) {
	_ = c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written != start
}
