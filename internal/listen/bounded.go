package listen

import (
	"context"
	"net"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/membudget"
)

// receiveBufferBytes is the size of a connection's receive buffer. Bytes that wait there count towards the memory
// of the process.
const receiveBufferBytes = 32 << 10

// Bounded returns a listener whose connections belong to a group of a memory budget. Connections that the group
// has no room for are closed.
func Bounded(l Listener, group *membudget.Group) Listener {
	return &boundedListener{Listener: l, group: group}
}

// BoundedReads is like Bounded, and reserves memory for all that is read from a connection until its claim is
// finished. It is for servers that read requests before their handlers are called.
func BoundedReads(l Listener, group *membudget.Group) Listener {
	return &boundedListener{Listener: l, group: group, countsReads: true}
}

type boundedListener struct {
	net.Listener
	group       *membudget.Group
	countsReads bool
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			if err := tcp.SetReadBuffer(receiveBufferBytes); err != nil {
				_ = conn.Close() // the client has disconnected
				continue
			}
		}
		claim := l.group.Open(func() { _ = conn.Close() }) // a second close returns an error
		if claim == nil {
			_ = conn.Close()
			continue
		}
		return &boundedConn{Conn: conn, claim: claim, countsReads: l.countsReads}, nil
	}
}

type boundedConn struct {
	net.Conn
	claim       *membudget.Conn
	countsReads bool
}

// Read implements net.Conn.
func (c *boundedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.countsReads && !c.claim.Reserve(n) {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.claim.Close()
	if err := c.Conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		return err
	}
	return nil
}

type claimKey struct{}

// WithClaim returns a context that carries the claim of a connection of a bounded listener. It is the ConnContext
// function of an http.Server.
func WithClaim(ctx context.Context, conn net.Conn) context.Context {
	if claim := ClaimOf(conn); claim != nil {
		return ContextWithClaim(ctx, claim)
	}
	return ctx
}

// ContextWithClaim returns a context that carries a claim.
func ContextWithClaim(ctx context.Context, claim *membudget.Conn) context.Context {
	return context.WithValue(ctx, claimKey{}, claim)
}

// Claim returns the claim that a context carries, nil if there is none.
func Claim(ctx context.Context) *membudget.Conn {
	claim, _ := ctx.Value(claimKey{}).(*membudget.Conn)
	return claim
}

// ClaimOf returns the claim of a connection, nil if it is not of a bounded listener.
func ClaimOf(conn net.Conn) *membudget.Conn {
	if c, ok := conn.(*boundedConn); ok {
		return c.claim
	}
	return nil
}
