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

// Limits of connections to peers.
const (
	// maxMessage is the maximum size of a message in bytes.
	maxMessage     = 4 << 20
	connectTimeout = time.Second
	redialMin      = 50 * time.Millisecond
	redialMax      = time.Second
)

// connPool keeps one connection per peer address. Connections are not encrypted
// and carry no credentials; entry VMs use their own network.
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

// client returns a client of the peer at address (IP:port).
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
		return nil, errors.Wrapf(err, "connect to entry peer %s", address)
	}
	c.byAddress[address] = conn
	return pb.NewEntryPeerClient(conn), nil
}

// drop closes the connection to address; the next call connects again. After a
// network partition, TCP would continue to retransmit at its increased interval
// for many seconds, during which a reachable peer seems lost.
func (c *connPool) drop(address string) {
	c.mu.Lock()
	conn := c.byAddress[address]
	delete(c.byAddress, address)
	c.mu.Unlock()
	if conn != nil {
		_ = conn.Close() // the connection is not used again
	}
}

// retain closes the connections to all addresses except those in keep.
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
