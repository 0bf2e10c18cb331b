package testkit

import (
	endian "encoding/binary"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"syscall"
)

// Layout of sock_diag(7) messages about one socket, in bytes.
const (
	diagByFamily  = 20
	headerBytes   = 16
	requestBytes  = headerBytes + 56
	typeOffset    = 4
	flagsOffset   = 6
	familyOffset  = headerBytes
	statesOffset  = headerBytes + 4
	sourcePort    = headerBytes + 8
	targetPort    = headerBytes + 10
	sourceIP      = headerBytes + 12
	targetIP      = headerBytes + 28
	cookieOffset  = headerBytes + 48
	inodeOffset   = headerBytes + 68
	anyState      = ^uint32(0)
	receiveBuffer = 4096
)

// remoteSocket returns the name in /proc/PID/fd of the remote socket of an accepted local
// connection, "" if it can't be found. It queries this one socket from the kernel, because
// /proc/net/tcp lists every socket of the machine, which takes longer than a dial's timeout.
func remoteSocket(conn net.Conn) string {
	source, err1 := netip.ParseAddrPort(conn.RemoteAddr().String())
	target, err2 := netip.ParseAddrPort(conn.LocalAddr().String())
	if err1 != nil || err2 != nil {
		return ""
	}
	fd, err := syscall.Socket(syscall.AF_NETLINK, syscall.SOCK_RAW|syscall.SOCK_CLOEXEC, syscall.NETLINK_INET_DIAG)
	if err != nil {
		return ""
	}
	defer func() { _ = syscall.Close(fd) }()
	if err := syscall.Sendto(fd, diagRequest(source, target), 0, &syscall.SockaddrNetlink{Family: syscall.AF_NETLINK}); err != nil {
		return ""
	}
	reply := make([]byte, receiveBuffer)
	n, _, err := syscall.Recvfrom(fd, reply, 0)
	if err != nil || n < inodeOffset+4 || endian.NativeEndian.Uint16(reply[typeOffset:]) != diagByFamily {
		return ""
	}
	return fmt.Sprintf("socket:[%d]", endian.NativeEndian.Uint32(reply[inodeOffset:]))
}

func diagRequest(source, target netip.AddrPort) []byte {
	m := make([]byte, requestBytes)
	endian.NativeEndian.PutUint32(m, requestBytes)
	endian.NativeEndian.PutUint16(m[typeOffset:], diagByFamily)
	endian.NativeEndian.PutUint16(m[flagsOffset:], syscall.NLM_F_REQUEST)
	m[familyOffset], m[familyOffset+1] = syscall.AF_INET, syscall.IPPROTO_TCP
	endian.NativeEndian.PutUint32(m[statesOffset:], anyState)
	endian.BigEndian.PutUint16(m[sourcePort:], source.Port())
	endian.BigEndian.PutUint16(m[targetPort:], target.Port())
	copy(m[sourceIP:], source.Addr().AsSlice())
	copy(m[targetIP:], target.Addr().AsSlice())
	endian.NativeEndian.PutUint64(m[cookieOffset:], ^uint64(0)) // any
	return m
}

// hasOpen reports whether the process has a socket open, by its name in /proc/PID/fd.
func (p *Process) hasOpen(socket string) bool {
	if !p.Running() {
		return false
	}
	dir := fmt.Sprintf("/proc/%d/fd", p.PID())
	files, _ := os.ReadDir(dir) // the process may have exited
	for _, f := range files {
		if name, _ := os.Readlink(filepath.Join(dir, f.Name())); name == socket {
			return true
		}
	}
	return false
}
