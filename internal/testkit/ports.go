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

// portTries bounds the search for ports next to one another.
const portTries = 50

// reserveRow reserves so many ports next to one another until the test ends, and returns
// the first. None of them may be among those that are taken.
func reserveRow(t testing.TB, ip string, length int, taken func(port int) bool) int {
	t.Helper()
	for range portTries {
		row := tryRow(ip, length, taken)
		for _, r := range row {
			t.Cleanup(r.Release)
		}
		if len(row) == length {
			return row[0].Port()
		}
	}
	t.Fatalf("no %d free ports of %s next to one another", length, ip)
	return 0
}

// tryRow reserves a free port and those that follow it, as far as they are free.
func tryRow(ip string, length int, taken func(port int) bool) (row []ports.Reservation) {
	for len(row) < length {
		port := 0
		if len(row) > 0 {
			port = row[len(row)-1].Port() + 1
		}
		if port != 0 && taken(port) {
			return row
		}
		r, err := ports.Reserve(ip, port)
		if err != nil {
			return row // taken by others, or none is free: the next row is tried
		}
		row = append(row, r)
	}
	return row
}
