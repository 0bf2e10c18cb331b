package testkit

import (
	"io"
	"net"
	"sync"
)

// gate stands before a daemon's peer address. It finds out which VM dials and
// leads the connection over a Link of just these two VMs: a partition cuts pairs
// of VMs, and all that dial one address would else share one proxy.
type gate struct {
	c        *Cluster
	process  *Process
	upstream string
	listener net.Listener

	mu    sync.Mutex
	links map[*Node]*Link
	conns map[net.Conn]bool
}

// newGate binds the gate's address; open lets connections in.
func newGate(c *Cluster, process *Process, upstream string) *gate {
	c.t.Helper()
	listener, err := net.Listen("tcp", c.ip+":0")
	if err != nil {
		c.t.Fatal(err)
	}
	g := &gate{c: c, process: process, upstream: upstream, listener: listener, links: map[*Node]*Link{}, conns: map[net.Conn]bool{}}
	c.t.Cleanup(g.close)
	return g
}

// open must come after the cluster's VMs are known.
func (g *gate) open() { go g.accept() }

func (g *gate) address() string { return g.listener.Addr().String() }

// from returns the link of connections from a VM.
func (g *gate) from(n *Node) *Link {
	g.mu.Lock()
	defer g.mu.Unlock()
	link := g.links[n]
	if link == nil {
		link = newLink(g.c.t, n.Name+"-to-"+g.process.Name, g.c.ip, g.upstream)
		g.links[n] = link
	}
	return link
}

func (g *gate) heal() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, link := range g.links {
		link.Heal()
	}
}

func (g *gate) accept() {
	for {
		conn, err := g.listener.Accept()
		if err != nil {
			return // closed
		}
		go g.carry(conn)
	}
}

// carry passes a connection on. One of an unknown process, as of the test, goes
// straight through.
func (g *gate) carry(conn net.Conn) {
	if !g.process.Running() {
		_ = conn.Close()
		return
	}
	target := g.upstream
	if n := g.c.dialer(conn); n != nil {
		target = g.from(n).Address()
	}
	far, err := net.Dial("tcp", target)
	if err != nil || !g.track(conn, far) {
		_ = conn.Close()
		return
	}
	defer g.forget(conn, far)
	ended := make(chan struct{}, 2)
	pass := func(to, from net.Conn) {
		_, _ = io.Copy(to, from) // ends with either connection
		ended <- struct{}{}
	}
	go pass(far, conn)
	go pass(conn, far)
	<-ended
}

func (g *gate) track(conns ...net.Conn) bool {
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

func (g *gate) forget(conns ...net.Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, conn := range conns {
		_ = conn.Close()
		delete(g.conns, conn)
	}
}

func (g *gate) close() {
	_ = g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for conn := range g.conns {
		_ = conn.Close()
	}
	g.conns = nil
}

// dialer returns the VM whose process holds the far end of an accepted
// connection, nil for any other process.
func (c *Cluster) dialer(conn net.Conn) *Node {
	socket := socketOf(conn)
	if socket == "" {
		return nil
	}
	for _, n := range c.Nodes {
		if n.Entry.holds(socket) || n.Steward.holds(socket) {
			return n
		}
	}
	return nil
}

// Partition lets only the VMs of the same group reach each other's daemons, in
// both directions. Connections stand and pass no byte. VMs in no group are left
// alone. The ways to the platform and to backend servers are not touched.
func (c *Cluster) Partition(groups ...[]*Node) {
	for i, group := range groups {
		for _, n := range group {
			for j, others := range groups {
				if i == j {
					continue
				}
				for _, other := range others {
					n.entryGate.from(other).Blackhole()
					n.stewardGate.from(other).Blackhole()
				}
			}
		}
	}
}

// HealPeers ends all partitions.
func (c *Cluster) HealPeers() {
	for _, n := range c.Nodes {
		n.entryGate.heal()
		n.stewardGate.heal()
	}
}
