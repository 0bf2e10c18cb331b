package membership

import (
	"context"
	"fmt"
	"net"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// network connects nodes in memory and can be partitioned between any two of
// them.
type network struct {
	mu        sync.Mutex
	listeners map[string]chan net.Conn
	cut       map[[2]string]bool
	conns     map[[2]string][]net.Conn
}

func (n *network) dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, to string) (net.Conn, error) {
		n.mu.Lock()
		defer n.mu.Unlock()
		ch := n.listeners[to]
		if ch == nil || n.cut[[2]string{from, to}] {
			return nil, errors.New("no route")
		}
		here, there := net.Pipe()
		n.conns[[2]string{from, to}] = append(n.conns[[2]string{from, to}], here)
		ch <- there
		return here, nil
	}
}

// setCut cuts or restores the network between a and b in both directions.
func (n *network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, pair := range [][2]string{{a, b}, {b, a}} {
		n.cut[pair] = cut
		for _, c := range n.conns[pair] {
			_ = c.Close()
		}
		n.conns[pair] = nil
	}
}

type pipeListener struct {
	ch   chan net.Conn
	done chan struct{}
	once sync.Once
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.ch:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}
func (l *pipeListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// cluster is a set of nodes in one synctest bubble.
type cluster struct {
	t     *testing.T
	log   *testkit.FaultyLog // of all nodes
	net   *network
	nodes map[string]*node
}

type node struct {
	name   string
	peers  *entrypeer.Node
	duty   *Duty
	follow *follower.Follower
	stop   func()
}

const testAnswerBytes = 1 << 20

var (
	claimConfig = claim.Config{
		Window:     10 * time.Minute,
		Ahead:      500 * time.Millisecond,
		Skew:       500 * time.Millisecond,
		Handover:   time.Second,
		MaxRecords: 10000,
		MaxAnswer:  1 << 10,
		MaxAnswers: testAnswerBytes,
	}
	leaseConfig = claim.LeaseConfig{
		Duration:    2 * time.Second,
		Margin:      200 * time.Millisecond,
		PeerTimeout: 2 * time.Second,
		Skew:        500 * time.Millisecond,
	}
)

// withCluster runs fn with n joined nodes, named n0, n1 and so on.
func withCluster(t *testing.T, n int, fn func(*cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t:     t,
			log:   testkit.NewFaultyLog(standin.New(standin.Options{})),
			net:   &network{listeners: map[string]chan net.Conn{}, cut: map[[2]string]bool{}, conns: map[[2]string][]net.Conn{}},
			nodes: map[string]*node{},
		}
		for i := range n {
			c.start(fmt.Sprintf("n%d", i))
		}
		c.waitFor("all joined", func() bool { return len(c.ready()) == n })
		time.Sleep(3 * time.Second) // until the electorates were refreshed
		fn(c)
		for name := range c.nodes {
			c.kill(name)
		}
	})
}

// start starts a node whose address is its name.
func (c *cluster) start(name string) *node {
	logger := hclog.NewNullLogger()
	if testing.Verbose() {
		logger = hclog.New(&hclog.LoggerOptions{Name: name, Level: hclog.Debug})
	}
	ctx, cancel := context.WithCancel(context.Background())
	f := follower.New(follower.Config{Log: c.log, Stream: "s", Logger: hclog.NewNullLogger()})
	peers := entrypeer.NewNode(entrypeer.NodeConfig{
		Logger:            logger,
		CallTimeout:       300 * time.Millisecond,
		ClaimRetryTimeout: time.Second,
		Dial:              c.net.dialer(name),
	})
	d := New(Config{Node: name, Zone: "z", Address: name, Log: f, Peers: peers, Claim: claimConfig, Lease: leaseConfig, Logger: logger})
	listener := &pipeListener{ch: make(chan net.Conn, 64), done: make(chan struct{})}
	server := grpc.NewServer()
	peers.Register(server)
	c.net.mu.Lock()
	c.net.listeners[name] = listener.ch
	c.net.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { _ = server.Serve(listener) })
	wg.Go(func() { _ = f.Serve(ctx) })
	wg.Go(func() { _ = peers.Serve(ctx) })
	wg.Go(func() { _ = d.Serve(ctx) })
	nd := &node{name: name, peers: peers, duty: d, follow: f}
	nd.stop = func() {
		c.net.mu.Lock()
		delete(c.net.listeners, name)
		c.net.mu.Unlock()
		server.Stop()
		cancel()
		peers.Close()
		wg.Wait()
	}
	c.nodes[name] = nd
	return nd
}

// kill stops a node abruptly, as the loss of its VM does.
func (c *cluster) kill(name string) {
	c.nodes[name].stop()
	delete(c.nodes, name)
}

// ready returns the nodes that may grant claims.
func (c *cluster) ready() []string {
	var list []string
	for name, n := range c.nodes {
		if n.peers.NotReadyReason() == "" {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// members returns the number of members in the node's folded state.
func (n *node) members() int {
	count := 0
	n.follow.View(func(s *ledger.State) { count = len(s.Members) })
	return count
}

func (c *cluster) waitFor(what string, ok func() bool) time.Duration {
	c.t.Helper()
	began := time.Now()
	for !ok() {
		require.Less(c.t, time.Since(began), 2*time.Minute, "%s: ready %v", what, c.ready())
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(began)
}

func key() claim.Key { return claim.Key{Service: "orders", ID: ulid.Make()} }

func (c *cluster) claim(at string, k claim.Key) claim.Decision {
	ctx, cancel := context.WithTimeout(c.t.Context(), 5*time.Second)
	defer cancel()
	return c.nodes[at].peers.Claim(ctx, claim.Request{Key: k})
}

func (c *cluster) runRequest(at string, k claim.Key) {
	c.t.Helper()
	d := c.claim(at, k)
	require.Equal(c.t, claim.Granted, d.Verdict, "%s", d.Reason)
	c.nodes[at].peers.Report(claim.Result{Key: k, Attempt: d.Attempt, End: claim.EndRan, Answer: &claim.Answer{Status: 200}})
	c.nodes[at].peers.Flush(c.t.Context())
}
