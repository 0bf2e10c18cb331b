package platform

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is returned by writes to a sealed connection.
var errSealed = errors.New("connection sealed")

// sealableConn counts its writes and can be sealed against further writes.
//
// When a request fails, the client returns ErrUnavailable if no byte was sent and
// ErrUnknownOutcome otherwise. http.Transport writes on its own goroutine, so a
// byte may be sent just after the check. Sealing the connection and reading the
// count under one lock prevents that: an earlier write is counted and a later
// write fails.
type sealableConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write implements net.Conn. It counts the write first, so that a partial write
// is counted too.
func (c *sealableConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	c.writes++
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// writeCount returns the number of writes so far.
func (c *sealableConn) writeCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal makes all further writes fail and reports whether there were writes since
// writeCount returned before.
func (c *sealableConn) seal(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes > before
}

// dialSealable returns a dial function whose connections are sealableConns.
func dialSealable(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &sealableConn{Conn: conn}, nil
	}
}
