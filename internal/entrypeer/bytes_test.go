package entrypeer

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
	"github.com/yuccadrift/yuccadrift/internal/peerserver"
)

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Every member sends a small message to every other several times a second, so
// bytes that the transport adds per message count with the square of the
// members. A ping and a window update with each message more than doubled the
// control traffic.
func TestSmallCallsUseFewBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peerserver.New(listener)
	NewNode(NodeConfig{InFlight: func() (uint64, map[string]int) { return 1, nil }}).Register(server.Registrar())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(ctx) }()
	var bytes atomic.Int64
	conns := newConnPool(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		return countedConn{conn, &bytes}, err
	})
	client, err := conns.client(listener.Addr().String())
	require.NoError(t, err)
	const warm, calls = 10, 100
	for i := range warm + calls {
		if i == warm {
			bytes.Store(0)
		}
		_, err := client.InFlight(t.Context(), &pb.InFlightRequest{})
		require.NoError(t, err)
	}
	// Headers, data and trailers of one call take about 75 bytes.
	require.Less(t, bytes.Load()/calls, int64(110))
	conns.close()
	cancel()
	<-ended
}
