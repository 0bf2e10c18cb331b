package testkit

import (
	"net"
	"strconv"
	"testing"

	"github.com/yuccadrift/yuccadrift/internal/ports"
)

// reservePort reserves a free port until the test ends.
func reservePort(t testing.TB, ip string) int {
	t.Helper()
	r, err := ports.Reserve(ip, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Release)
	return r.Port()
}

// reserveAddress reserves a free port until the test ends and returns it as ip:port.
func reserveAddress(t testing.TB, ip string) string {
	t.Helper()
	return net.JoinHostPort(ip, strconv.Itoa(reservePort(t, ip)))
}

// maxPortRangeTries bounds the search for a range of free ports.
const maxPortRangeTries = 50

// reservePortRange reserves length consecutive ports until the test ends and returns the first one.
// It uses no port for which taken returns true.
func reservePortRange(t testing.TB, ip string, length int, taken func(port int) bool) int {
	t.Helper()
	for range maxPortRangeTries {
		reserved := tryPortRange(ip, length, taken)
		for _, r := range reserved {
			t.Cleanup(r.Release)
		}
		if len(reserved) == length {
			return reserved[0].Port()
		}
	}
	t.Fatalf("no %d consecutive free ports of %s", length, ip)
	return 0
}

// tryPortRange reserves a free port and the ports that follow it, up to length ports or the first
// one that is in use.
func tryPortRange(ip string, length int, taken func(port int) bool) (reserved []ports.Reservation) {
	for len(reserved) < length {
		port := 0
		if len(reserved) > 0 {
			port = reserved[len(reserved)-1].Port() + 1
		}
		if port != 0 && taken(port) {
			return reserved
		}
		r, err := ports.Reserve(ip, port)
		if err != nil {
			return reserved // in use, or no port is free: the caller tries the next range
		}
		reserved = append(reserved, r)
	}
	return reserved
}
