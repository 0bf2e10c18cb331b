package listen_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/membudget"
)

// accept dials l and returns both ends of the connection.
func accept(t *testing.T, l net.Listener) (client, server net.Conn) {
	t.Helper()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	return client, server
}

// Guards against connections beyond the bound, and against a bound that shrinks with each connection that ends.
func TestBoundedListenerClosesForOthers(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	budget := membudget.New()
	l := listen.Bounded(inner, budget.NewGroup(membudget.Limits{Bytes: 10, Connections: 1, ConnBytes: 10}))
	defer l.Close()
	first, firstServer := accept(t, l)
	_, second := accept(t, l)
	_, err = first.Read(make([]byte, 1))
	require.Error(t, err, "the first connection was closed")
	assert.Equal(t, 20, budget.Usage().Reserved, "it has not ended yet")
	require.NoError(t, firstServer.Close())
	assert.Equal(t, membudget.Usage{Limit: 10, Reserved: 10, Closed: 1}, budget.Usage())
	require.NoError(t, second.Close())
	require.NoError(t, second.Close())
	assert.Zero(t, budget.Usage().Reserved)
	ctx := listen.WithClaim(t.Context(), second)
	assert.NotNil(t, listen.Claim(ctx))
	assert.Nil(t, listen.Claim(t.Context()))
}

// Guards against servers that read without a bound before their handlers are called.
func TestBoundedReadsEndAtTheBound(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	l := listen.BoundedReads(inner, membudget.New().NewGroup(membudget.Limits{Bytes: 20, Connections: 1, ConnBytes: 10}))
	defer l.Close()
	client, server := accept(t, l)
	buffer := make([]byte, 10)
	for range 2 {
		_, err = client.Write(buffer)
		require.NoError(t, err)
		_, err = io.ReadFull(server, buffer)
		require.NoError(t, err)
		listen.ClaimOf(server).Finish()
	}
	_, err = client.Write(append(buffer, 0))
	require.NoError(t, err)
	_, err = io.ReadAll(server)
	assert.Error(t, err)
}
