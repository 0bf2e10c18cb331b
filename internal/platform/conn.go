package platform

import (
	"context"
	"net"
	"sync"

	"github.com/pkg/errors"
)

// errSealed is what a write gets after the connection was sealed.
var errSealed = errors.New("connection sealed")

// sealableConn counts its writes and can be sealed against further ones.
//
// The failure it is for: a request fails, and whether any byte left decides
// between ErrUnavailable and ErrUnknownOutcome. The Transport writes on a
// goroutine of its own, so "nothing written yet" may be false a moment later.
// Sealing and asking under one lock makes the answer final: a write that comes
// after is refused, one that came before is counted.
type sealableConn struct {
	net.Conn

	mu     sync.Mutex
	writes uint64
	sealed bool
}

// Write counts the write before it happens, so a partial one counts too.
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

// seal refuses all further writes and reports whether any came after mark.
func (c *sealableConn) seal(before uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes > before
}

// dialSealable wraps a dialer so that its connections are sealableConns.
func dialSealable(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &sealableConn{Conn: conn}, nil
	}
}
