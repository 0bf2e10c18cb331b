package testkit

import (
	"net"
	"slices"
	"strconv"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a process that can't listen, "address already in use": its port was free when it
// was chosen but was given to another listener before the process started, or while it was down.
func TestReservedPortIsGivenToNobodyElse(t *testing.T) {
	ip := uniqueLoopbackIP()
	const others = 2000
	address := reserveAddress(t, ip)
	for range 3 { // a process may be restarted
		l, err := net.Listen("tcp", address)
		require.NoError(t, err)
		require.NoError(t, l.Close())
	}
	first := reservePortRange(t, ip, portsPerNode, func(int) bool { return false })
	reserved := []string{address}
	for i := range portsPerNode {
		reserved = append(reserved, net.JoinHostPort(ip, strconv.Itoa(first+i)))
	}
	for range others {
		l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
		require.NoError(t, err)
		t.Cleanup(func() { _ = l.Close() })
		require.False(t, slices.Contains(reserved, l.Addr().String()))
	}
	for _, a := range reserved {
		l, err := net.Listen("tcp", a)
		require.NoError(t, err, "after %d others", others)
		require.NoError(t, l.Close())
	}
}

// Guards against overlapping port ranges, with which two nodes of a cluster get the same port.
func TestPortRangesDoNotOverlap(t *testing.T) {
	ip := uniqueLoopbackIP()
	var ports []int
	for range 200 {
		first := reservePortRange(t, ip, portsPerNode, func(port int) bool { return slices.Contains(ports, port) })
		for i := range portsPerNode {
			assert.NotContains(t, ports, first+i)
			ports = append(ports, first+i)
		}
	}
}
