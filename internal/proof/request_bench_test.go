package proof

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// BenchmarkOpenConnections measures the memory that an entry process uses for 10,000 idle
// connections of callers, each after one answered request. Run it with -benchtime 1x.
func BenchmarkOpenConnections(b *testing.B) {
	const connections = 10_000
	c := testkit.Start(b, testkit.Options{
		Nodes: []string{"a"}, Fleet: []testkit.Group{{Prefix: "vm", Count: 2, Zones: []string{"a"}}},
	})
	c.Publish(testDocument("booking", 2, 1))
	awaitServing(c, "booking", 2)
	c.AwaitReady()
	for range b.N {
		before := residentBytes(b, c.Nodes[0].Entry)
		held := make([]net.Conn, 0, connections)
		for range connections {
			held = append(held, requestOnce(b, c.Nodes[0].CallerAddress()))
		}
		after := residentBytes(b, c.Nodes[0].Entry)
		b.ReportMetric(0, "ns/op")
		b.ReportMetric(float64(before)/(1<<20), "MB-before")
		b.ReportMetric(float64(after)/(1<<20), "MB-after")
		b.ReportMetric(float64(after-before)/connections/1024, "KB/connection")
		for _, conn := range held {
			_ = conn.Close()
		}
	}
}

// requestOnce sends one request on a new connection, reads the answer and returns the open
// connection.
func requestOnce(b *testing.B, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(b, err)
	_, err = fmt.Fprintf(conn, "GET /booking/lookup HTTP/1.1\r\nHost: %s\r\n\r\n", address)
	require.NoError(b, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(b, err)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(b, err)
	require.Equal(b, http.StatusOK, res.StatusCode)
	return conn
}

var residentPattern = regexp.MustCompile(`VmRSS:\s+(\d+) kB`)

// residentBytes returns the resident memory of a process.
func residentBytes(b *testing.B, p *testkit.Process) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	require.NoError(b, err)
	match := residentPattern.FindStringSubmatch(strings.ReplaceAll(string(text), "\t", " "))
	require.NotNil(b, match)
	kb, err := strconv.ParseInt(match[1], 10, 64)
	require.NoError(b, err)
	return kb << 10
}
