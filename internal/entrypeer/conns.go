package entrypeer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"

	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
	"github.com/yuccadrift/yuccadrift/internal/peerserver"
)

// Bounds of a connection to a peer.
const (
	// maxMessage bounds one message, in bytes.
	maxMessage     = 4 << 20
	connectTimeout = time.Second
	redialMin      = 50 * time.Millisecond
	redialMax      = time.Second
)

// connPool keeps one connection per peer address. It carries no credentials yet:
// entry VMs talk in plain text inside their own network.
type connPool struct {
	dial      func(ctx context.Context, address string) (net.Conn, error)
	mu        sync.Mutex
	closed    bool
	byAddress map[string]*grpc.ClientConn
}

func newConnPool(dial func(ctx context.Context, address string) (net.Conn, error)) *connPool {
	if dial == nil {
		dial = dialTCP
	}
	return &connPool{dial: dial, byAddress: map[string]*grpc.ClientConn{}}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// client returns a client for the peer at address (IP:port).
func (c *connPool) client(address string) (pb.EntryPeerClient, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, errors.New("connections to peers are closed")
	}
	if conn, ok := c.byAddress[address]; ok {
		return pb.NewEntryPeerClient(conn), nil
	}
	options := append(peerserver.DialOptions(),
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
		grpc.WithContextDialer(c.dial),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: redialMin, Multiplier: 2, Jitter: 0.2, MaxDelay: redialMax},
			MinConnectTimeout: connectTimeout,
		}))
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, errors.Wrapf(err, "entry peer %s", address)
	}
	c.byAddress[address] = conn
	return pb.NewEntryPeerClient(conn), nil
}

// drop closes the connection to address; the next call dials anew. After a
// network split TCP would go on retransmitting at its grown interval for many
// seconds, in which the peer seems lost though it can be reached again.
func (c *connPool) drop(address string) {
	c.mu.Lock()
	conn := c.byAddress[address]
	delete(c.byAddress, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close() // nothing to do about an error: the connection is given up
	}
}

// retain closes the connections to all other addresses.
func (c *connPool) retain(keep map[string]bool) {
	c.mu.Lock()
	var gone []*grpc.ClientConn
	for a, conn := range c.byAddress {
		if !keep[a] {
			gone = append(gone, conn)
			delete(c.byAddress, a)
		}
	}
	c.mu.Unlock()
	for _, conn := range gone {
		_ = conn.Close()
	}
}

func (c *connPool) close() {
	c.retain(nil)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
}
