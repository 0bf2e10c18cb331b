package testkit

import (
	"bufio"
	"net"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"
)

// Two VMs dial the same peer address. A partition of one of them must not affect the other, and
// must also stop the connections that exist already.
func TestPartitionCutsOnlyOneDialerOfAnAddress(t *testing.T) {
	c := &Cluster{t: t, ip: uniqueLoopbackIP()}
	upstream, err := net.Listen("tcp", c.ip+":0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = upstream.Close() })
	lines := make(chan string, 10)
	go func() {
		for {
			conn, err := upstream.Accept()
			if err != nil {
				return
			}
			go func() {
				for scan := bufio.NewScanner(conn); scan.Scan(); {
					lines <- scan.Text()
				}
			}()
		}
	}()
	bash, err := exec.LookPath("bash")
	require.NoError(t, err)
	idle := newProcess(t, t.TempDir(), "target", bash, "-c", "sleep 600")
	idle.Start() // stands for the daemon behind the proxy
	target := &Node{Name: "target", entryPeerProxy: newPeerProxy(c, idle, upstream.Addr().String())}
	target.stewardPeerProxy = target.entryPeerProxy
	host, port, err := net.SplitHostPort(target.entryPeerProxy.address())
	require.NoError(t, err)
	// A shell stands for a daemon that dials: it sends its name repeatedly.
	var nodes []*Node
	for _, name := range []string{"one", "two"} {
		script := "exec 3<>/dev/tcp/" + host + "/" + port + "; while echo " + name + " >&3; do sleep 0.01; done"
		n := &Node{Name: name, Entry: newProcess(t, t.TempDir(), name, bash, "-c", script), Steward: &Process{}}
		n.entryPeerProxy, n.stewardPeerProxy = target.entryPeerProxy, target.entryPeerProxy
		nodes = append(nodes, n)
	}
	c.Nodes = nodes
	target.entryPeerProxy.serve()
	for _, n := range nodes {
		n.Entry.Start()
	}
	awaitTwoNames(lines)
	c.Partition([]*Node{target}, []*Node{nodes[0]})
	for len(lines) > 0 {
		<-lines
	}
	<-lines // may have been in transit
	for range 20 {
		require.Equal(t, "two", <-lines)
	}
}

func awaitTwoNames(lines <-chan string) {
	seen := map[string]bool{}
	for len(seen) < 2 {
		seen[<-lines] = true
	}
}
