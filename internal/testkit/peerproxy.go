package testkit

import (
	"io"
	"net"
	"sync"
)

// peerProxy is a proxy in front of a daemon's peer address. It finds out which VM dials and forwards
// the connection over a Link that only these two VMs use. With one proxy for all VMs that dial the
// address, a partition could not cut single pairs of VMs.
type peerProxy struct {
	cluster  *Cluster
	process  *Process
	upstream string
	listener net.Listener

	mu    sync.Mutex
	links map[*Node]*Link
	conns map[net.Conn]bool
}

// newPeerProxy binds the proxy's address; serve starts to accept connections.
func newPeerProxy(c *Cluster, process *Process, upstream string) *peerProxy {
	c.t.Helper()
	listener, err := net.Listen("tcp", c.ip+":0")
	if err != nil {
		c.t.Fatal(err)
	}
	g := &peerProxy{cluster: c, process: process, upstream: upstream, listener: listener, links: map[*Node]*Link{}, conns: map[net.Conn]bool{}}
	c.t.Cleanup(g.close)
	return g
}

// serve accepts connections in the background. It must be called after Cluster.Nodes is complete.
func (g *peerProxy) serve() { go g.acceptLoop() }

func (g *peerProxy) address() string { return g.listener.Addr().String() }

// linkFrom returns the link for connections from a VM.
func (g *peerProxy) linkFrom(n *Node) *Link {
	g.mu.Lock()
	defer g.mu.Unlock()
	link := g.links[n]
	if link == nil {
		link = newLink(g.cluster.t, n.Name+"-to-"+g.process.Name, g.cluster.ip, g.upstream)
		g.links[n] = link
	}
	return link
}

func (g *peerProxy) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		link.Heal()
	}
}

func (g *peerProxy) acceptLoop() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return // closed
		}
		go g.forward(conn)
	}
}

// forward forwards a connection over the link from the dialing VM. A connection from a process of no
// VM, such as the test, goes to the upstream without a link.
func (g *peerProxy) forward(conn net.Conn) {
	if !g.process.Running() {
		_ = conn.Close()
		return
	}
	target := g.upstream
	if n := g.cluster.dialingNode(conn); n != nil {
		target = g.linkFrom(n).Address()
	}
	upstream, err := net.Dial("tcp", target)
	if err != nil || !g.track(conn, upstream) {
		_ = conn.Close()
		return
	}
	defer g.closeAndUntrack(conn, upstream)
	ended := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from) // ends when either connection is closed
		ended <- struct{}{}
	}
	go pass(upstream, conn)
	go pass(conn, upstream)
	<-ended
}

func (g *peerProxy) track(conns ...net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		return false
	}
	for _, conn := range conns {
		g.conns[conn] = true
	}
	return true
}

func (g *peerProxy) closeAndUntrack(conns ...net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(g.conns, conn)
	}
}

func (g *peerProxy) close() {
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.conns {
		_ = conn.Close()
	}
	g.conns = nil
}

// dialingNode returns the VM whose process has opened the remote end of an accepted connection, nil
// for any other process.
func (c *Cluster) dialingNode(conn net.Conn) *Node {
	socket := remoteSocket(conn)
	if socket == "" {
		return nil
	}
	for _, n := range c.Nodes {
		if n.Entry.hasOpen(socket) || n.Steward.hasOpen(socket) {
			return n
		}
	}
	return nil
}

// Partition blackholes the links between daemons of VMs in different groups, in both directions.
// Connections stay open but forward no byte. VMs in no group, and the links to the platform and to
// backend servers, are not affected.
func (c *Cluster) Partition(groups ...[]*Node) {
	for i, group := range groups {
		for _, n := range group {
			for j, otherGroup := range groups {
				if i == j {
					continue
				}
				for _, other := range otherGroup {
					n.entryPeerProxy.linkFrom(other).Blackhole()
					n.stewardPeerProxy.linkFrom(other).Blackhole()
				}
			}
		}
	}
}

// HealPeers ends all partitions.
func (c *Cluster) HealPeers() {
	for _, n := range c.Nodes {
		n.entryPeerProxy.heal()
		n.stewardPeerProxy.heal()
	}
}
