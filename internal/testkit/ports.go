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

// reserveAddress is reservePort for an address as text.
func reserveAddress(t testing.TB, ip string) string {
	t.Helper()
	return net.JoinHostPort(ip, strconv.Itoa(reservePort(t, ip)))
}

// maxPortRangeTries bounds the search for ports next to one another.
const maxPortRangeTries = 50

// reservePortRange reserves so many ports next to one another until the test ends, and returns
// the first. None of them may be among those that are taken.
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
	t.Fatalf("no %d free ports of %s next to one another", length, ip)
	return 0
}

// tryPortRange reserves a free port and those that follow it, as far as they are free.
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
			return reserved // taken by others, or none is free: the next row is tried
		}
		reserved = append(reserved, r)
	}
	return reserved
}
