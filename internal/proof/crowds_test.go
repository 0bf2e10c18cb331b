package proof_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/testkit"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// Sizes of the crowds and of the nodes that they meet.
const (
	crowdMemoryMB    = 96
	crowdDescriptors = 500
	// fileDescriptors is the part of a process's descriptors that is reserved for files.
	fileDescriptors = 200
	unfinishedCrowd = 300
	idleCrowd       = 400
	legalBodyBytes  = 262144
)

// startCrowdedNode starts a node with a small machine.
func startCrowdedNode(t *testing.T) (*testkit.JobCluster, *testkit.JobNode) {
	t.Helper()
	o := smallPlatform()
	o.NodeLimits = standin.ProcessLimits{MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors}
	c := testkit.StartJobs(t, o, 1)
	return c, c.Nodes[0]
}

// crowd opens n connections to an address at once and runs send on each. It returns when all have sent; the
// connections stay open until the test ends. A node may close any of them.
func crowd(t *testing.T, address string, n int, send func(i int, conn net.Conn) error) {
	t.Helper()
	var senders sync.WaitGroup
	for i := range n {
		senders.Go(func() {
			conn, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
			_ = send(i, conn)
		})
	}
	senders.Wait()
}

func submissionHead(i int, framing string) string {
	return fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nX-Request-Timeout-Ms: 3000\r\n%s\r\n\r\n",
		standin.QueuePrefix("booking"), 0xc0ffee0000+i, standin.Host, framing)
}

// legalBody returns a valid job in a body of legalBodyBytes.
func legalBody() string {
	const job = `{"spec":"x","steps":[{"count":1}],"pad":"`
	return job + strings.Repeat("p", legalBodyBytes-len(job)-2) + `"}`
}

// inPieces returns text in pieces of at most size bytes.
func inPieces(text string, size int) (pieces []string) {
	for len(text) > size {
		pieces, text = append(pieces, text[:size]), text[size:]
	}
	return append(pieces, text)
}

// inChunks returns body as chunks of a chunked body, without the last one.
func inChunks(body string, size int) string {
	var chunked strings.Builder
	for _, piece := range inPieces(body, size) {
		fmt.Fprintf(&chunked, "%x\r\n%s\r\n", len(piece), piece)
	}
	return chunked.String()
}

// sendUnfinished returns a sender of a request that stops short of its end; one in ten is complete.
func sendUnfinished(framing, body, end string, pieceBytes int) func(int, net.Conn) error {
	return func(i int, conn net.Conn) error {
		text := submissionHead(i, framing) + body
		if i%10 == 0 {
			text += end
		}
		for _, piece := range inPieces(text, pieceBytes) {
			if _, err := io.WriteString(conn, piece); err != nil {
				return err
			}
		}
		return nil
	}
}

// checkSurvival checks that a node that met a crowd is the process that was started, has stayed within its
// memory and descriptors, and serves an ordinary caller.
func checkSurvival(t *testing.T, c *testkit.JobCluster, n *testkit.JobNode, pid int) {
	t.Helper()
	require.True(t, n.Running(), "the node has ended")
	c.Submit("booking", c.NewID(), testkit.Chain(50*time.Millisecond, 1))
	assert.True(t, n.Running())
	assert.Equal(t, pid, n.PID())
	checkMemory(t, n)
	sockets := n.Sockets()
	t.Logf("sockets %d", sockets)
	assert.LessOrEqual(t, sockets, crowdDescriptors-fileDescriptors, "sockets")
}

// checkMemory checks that a node has stayed within its memory, to which unread bytes count.
func checkMemory(t *testing.T, n *testkit.JobNode) {
	t.Helper()
	unread := 0
	for _, address := range []string{n.Callers, n.Readiness, n.Metrics, n.Peers} {
		bytes, err := testkit.UnreadBytes(address)
		require.NoError(t, err)
		unread += bytes
	}
	peak := n.PeakMemoryMB()
	t.Logf("peak %d MB, unread %d kB", peak, unread>>10)
	if !testkit.RaceEnabled {
		assert.Less(t, peak+unread>>20, crowdMemoryMB, "memory in MB")
	}
}

// awaitRead waits until a node has read what a crowd has sent or has closed its connections. A node that
// leaves bytes unread is checked with them.
func awaitRead(t *testing.T, address string) {
	t.Helper()
	for range 400 {
		unread, err := testkit.UnreadBytes(address)
		require.NoError(t, err)
		if unread == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// Guards against callers that end a node by memory: many bodies of legal size that stop just short of their end.
func TestNodeSurvivesUnfinishedBodies(t *testing.T) {
	body := legalBody()
	almost, last := body[:len(body)-10], body[len(body)-10:]
	length := fmt.Sprintf("Content-Length: %d", len(body))
	const chunked = "Transfer-Encoding: chunked"
	for _, kind := range []struct {
		name string
		send func(int, net.Conn) error
	}{
		{"announced_whole", sendUnfinished(length, almost, last, len(body)+1000)},
		{"announced_in_pieces", sendUnfinished(length, almost, last, 16<<10)},
		{"large_chunks", sendUnfinished(chunked, inChunks(almost, 64<<10), inChunks(last, 10)+"0\r\n\r\n", len(body)+1000)},
		{"tiny_chunks", sendUnfinished(chunked, inChunks(almost, 4), inChunks(last, 10)+"0\r\n\r\n", 16<<10)},
	} {
		t.Run(kind.name, func(t *testing.T) {
			c, n := startCrowdedNode(t)
			pid := n.PID()
			crowd(t, n.Callers, unfinishedCrowd, kind.send)
			awaitRead(t, n.Callers)
			checkSurvival(t, c, n, pid)
		})
	}
}

// Guards against crowds that take all descriptors of a node: connections that stay idle, on any of its listeners.
func TestNodeSurvivesIdleConnections(t *testing.T) {
	for _, kind := range []struct {
		name    string
		address func(*testkit.JobNode) string
	}{
		{"callers", func(n *testkit.JobNode) string { return n.Callers }},
		{"readiness", func(n *testkit.JobNode) string { return n.Readiness }},
		{"metrics", func(n *testkit.JobNode) string { return n.Metrics }},
		{"peers", func(n *testkit.JobNode) string { return n.Peers }},
	} {
		t.Run(kind.name, func(t *testing.T) {
			c, n := startCrowdedNode(t)
			pid := n.PID()
			crowd(t, kind.address(n), idleCrowd, func(int, net.Conn) error { return nil })
			c.AwaitReady()
			assert.Equal(t, http.StatusOK, answerOf(t, n.Metrics, http.MethodGet, "/metrics", nil))
			var http2 http.Protocols
			http2.SetUnencryptedHTTP2(true)
			assert.NotZero(t, answerOf(t, n.Peers, http.MethodPost, "/", &http2), "a node that calls gets an answer")
			checkSurvival(t, c, n, pid)
		})
	}
}

// answerOf returns the status of the answer to a request on a new connection.
func answerOf(t *testing.T, address, method, path string, protocols *http.Protocols) int {
	t.Helper()
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, nil)
	require.NoError(t, err)
	resp, err := (&http.Client{Transport: transport, Timeout: 30 * time.Second}).Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	return resp.StatusCode
}

// Guards against crowds that keep ordinary callers out: connections come back as fast as the node closes them.
func TestCallersAreServedBesideACrowd(t *testing.T) {
	c, n := startCrowdedNode(t)
	pid := n.PID()
	body := legalBody()
	send := sendUnfinished(fmt.Sprintf("Content-Length: %d", len(body)), body[:len(body)-10], body[len(body)-10:], 16<<10)
	var members sync.WaitGroup
	stop := make(chan struct{})
	stopCrowd := sync.OnceFunc(func() { close(stop); members.Wait() })
	defer stopCrowd()
	for i := range unfinishedCrowd {
		members.Go(func() {
			for !isClosed(stop) {
				conn, err := net.Dial("tcp", n.Callers)
				if err != nil {
					continue
				}
				_ = conn.SetDeadline(time.Now().Add(time.Second))
				if send(i, conn) == nil {
					_, _ = io.Copy(io.Discard, conn)
				}
				_ = conn.Close()
			}
		})
	}
	for range 10 {
		c.Submit("booking", c.NewID(), testkit.Chain(50*time.Millisecond, 1))
	}
	stopCrowd()
	checkSurvival(t, c, n, pid)
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// Guards against limits that a single request meets in calm: bodies of legal size, and of the most steps, on a small
// machine.
func TestLargeBodiesAreServedInCalm(t *testing.T) {
	c, n := startCrowdedNode(t)
	for _, body := range []string{legalBody(), manySteps()} {
		status, answer := c.Call(n, http.MethodPost, standin.QueuePrefix("booking")+string(c.NewID()), body)
		assert.Equal(t, http.StatusOK, status, answer)
	}
}
