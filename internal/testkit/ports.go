package testkit

import (
	"net"
	"net/netip"
	"os"
	"strconv"
	"syscall"
	"testing"

	"github.com/pkg/errors"
)

// reservation keeps a port of an IP number for a process that a test starts. The port is
// bound by a socket that doesn't listen: the kernel gives it to nobody who asks for a free
// one, while a process that names it can listen there, as Go sets SO_REUSEADDR.
type reservation struct {
	file *os.File
	port int
}

// reserve reserves a port, any free one for port 0. A port that others listen on is an
// error; one that is reserved already isn't, so the caller names none of those.
func reserve(ip string, port int) (r reservation, err error) {
	address, err := netip.ParseAddr(ip)
	if err != nil {
		return r, errors.Wrap(err, "reserve a port")
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return r, errors.Wrap(err, "open a socket")
	}
	r.file = os.NewFile(uintptr(fd), "reserved port")
	if err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: address.As4()})
	}
	var name syscall.Sockaddr
	if err == nil {
		name, err = syscall.Getsockname(fd)
	}
	if err != nil {
		r.release()
		return r, errors.Wrapf(err, "reserve port %d of %s", port, ip)
	}
	r.port = name.(*syscall.SockaddrInet4).Port
	return r, nil
}

func (r reservation) release() { _ = r.file.Close() } // nothing was written

// reservePort reserves a free port until the test ends.
func reservePort(t testing.TB, ip string) int {
	t.Helper()
	r, err := reserve(ip, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.release)
	return r.port
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
			t.Cleanup(r.release)
		}
		if len(row) == length {
			return row[0].port
		}
	}
	t.Fatalf("no %d free ports of %s next to one another", length, ip)
	return 0
}

// tryRow reserves a free port and those that follow it, as far as they are free.
func tryRow(ip string, length int, taken func(port int) bool) (row []reservation) {
	for len(row) < length {
		port := 0
		if len(row) > 0 {
			port = row[len(row)-1].port + 1
		}
		if port != 0 && taken(port) {
			return row
		}
		r, err := reserve(ip, port)
		if err != nil {
			return row // taken by others, or none is free: the next row is tried
		}
		row = append(row, r)
	}
	return row
}
