package ports_test

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ports"
)

const ip = "127.0.0.1"

// A restarted server fails with "address already in use" if another listener or a
// connection got its port while it was down.
func TestReservedPortStaysAvailableToItsServer(t *testing.T) {
	r, err := ports.Reserve(ip, 0)
	require.NoError(t, err)
	t.Cleanup(r.Release)
	address := fmt.Sprintf("%s:%d", ip, r.Port())
	const others = 2000
	for i := range others {
		l, err := net.Listen("tcp", ip+":0")
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		require.NotEqual(t, address, l.Addr().String())
		if i%500 == 0 {
			server, err := net.Listen("tcp", address)
			require.NoError(t, err, "after %d others", i)
			require.NoError(t, server.Close())
		}
	}
}

func TestReserveErrors(t *testing.T) {
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	_, err = ports.Reserve(ip, l.Addr().(*net.TCPAddr).Port)
	assert.ErrorContains(t, err, "address already in use")
	_, err = ports.Reserve("localhost", 0)
	assert.ErrorContains(t, err, `"localhost" is not an IPv4 address`)
}
