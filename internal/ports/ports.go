// Package ports reserves TCP ports for servers that restart at one address, such as
// the processes of tests and the workers of the platform stand-in.
package ports

import (
	"net/netip"
	"os"
	"syscall"

	"github.com/pkg/errors"
)

// Reservation keeps a port of an IP address reserved. The port is bound by a socket
// that doesn't listen: the kernel never assigns it as a free port, but a server can
// listen on it explicitly, since Go sets SO_REUSEADDR.
type Reservation struct {
	file *os.File
	port int
}

// Reserve reserves a port of an IPv4 address, any free one for port 0. It returns an
// error if another socket listens on the port. It doesn't detect a port that is
// reserved already: the caller must not reserve a port twice.
func Reserve(ip string, port int) (r Reservation, err error) {
	address, err := netip.ParseAddr(ip)
	if err != nil || !address.Is4() {
		return r, errors.Errorf("reserve a port: %q is not an IPv4 address", ip)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return r, errors.Wrap(err, "reserve a port: open a socket")
	}
	r.file = os.NewFile(uintptr(fd), "reserved port")
	if r.port, err = bind(fd, address, port); err != nil {
		r.Release()
		return r, errors.Wrapf(err, "reserve port %d of %s", port, ip)
	}
	return r, nil
}

// bind binds a socket with SO_REUSEADDR and returns its port.
func bind(fd int, address netip.Addr, port int) (int, error) {
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return 0, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: port, Addr: address.As4()}); err != nil {
		return 0, err
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		return 0, err
	}
	bound, ok := name.(*syscall.SockaddrInet4)
	if !ok {
		return 0, errors.Errorf("unexpected kind of address %T", name)
	}
	return bound.Port, nil
}

// Port returns the port number.
func (r Reservation) Port() int { return r.port }

// Release releases the port.
func (r Reservation) Release() { _ = r.file.Close() } // nothing was written to the file
