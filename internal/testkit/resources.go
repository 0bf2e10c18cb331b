package testkit

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
)

// RaceEnabled reports whether the processes run with the race detector, which multiplies their memory.
const RaceEnabled = raceEnabled

// PeakMemoryMB returns the largest resident memory that the process has had, in MB.
func (p *Process) PeakMemoryMB() int {
	p.t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		p.t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	fields := strings.Fields(rest)
	if len(fields) == 0 {
		p.t.Fatalf("%s: no VmHWM in its status", p.Name)
	}
	kb, err := strconv.Atoi(fields[0])
	if err != nil {
		p.t.Fatal(err)
	}
	return kb >> 10
}

// Sockets returns the number of sockets that the process has open.
func (p *Process) Sockets() int {
	p.t.Helper()
	files, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.PID()))
	if err != nil {
		p.t.Fatal(err)
	}
	sockets := 0
	for _, f := range files {
		if target, err := os.Readlink(f); err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return sockets
}

// Fields of a line of /proc/net/tcp.
const (
	tcpLocalAddress = 1
	tcpQueues       = 4
	tcpFields       = 5
)

// UnreadBytes returns the bytes that were received by local TCP sockets with an address and not yet read.
func UnreadBytes(address string) (int, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0, err
	}
	number, err := strconv.Atoi(port)
	if err != nil {
		return 0, err
	}
	ip := net.ParseIP(strings.TrimSuffix(address, ":"+port)).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], number)
	text, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	total := 0
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if len(fields) < tcpFields || fields[tcpLocalAddress] != local {
			continue
		}
		_, received, _ := strings.Cut(fields[tcpQueues], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, err
		}
		total += int(n)
	}
	return total, nil
}
