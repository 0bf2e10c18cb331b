package stewardpeer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/yuccadrift/yuccadrift/internal/peerserver"
	pb "github.com/yuccadrift/yuccadrift/internal/stewardpeer/stewardpeerpb"
)

// Times and limits of hello calls.
const (
	helloInterval = time.Second
	helloTimeout  = time.Second
	// hellosPerInterval bounds the hello calls per interval. With more peers,
	// each is called less often, so the cost for a node does not grow with the
	// number of peers.
	hellosPerInterval = 8
	// aliveIntervals is the number of intervals for which a peer counts as
	// alive after its last reply.
	aliveIntervals = 3
)

// Peers calls the other stewards regularly and tracks which of them are alive.
type Peers struct {
	logger   hclog.Logger
	peers    []*peer
	interval time.Duration // between hello calls to one peer
}

type peer struct {
	address      string
	conn         *grpc.ClientConn
	rpc          pb.StewardPeerClient
	aliveTimeout time.Duration

	mu         sync.Mutex
	node       string
	answeredAt time.Time // when the last hello with the reply "able" was sent
}

// NewPeers returns Peers for the stewards at the addresses (IP:port). Serve
// must run for peers to count as alive.
func NewPeers(addresses []string, logger hclog.Logger) (*Peers, error) {
	rounds := max(1, (len(addresses)+hellosPerInterval-1)/hellosPerInterval)
	p := &Peers{logger: logger, interval: time.Duration(rounds) * helloInterval}
	for _, address := range addresses {
		options := append(peerserver.DialOptions(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		conn, err := grpc.NewClient("passthrough:///"+address, options...)
		if err != nil {
			return nil, errors.Wrapf(err, "steward %s", address)
		}
		p.peers = append(p.peers, &peer{
			address:      address,
			conn:         conn,
			rpc:          pb.NewStewardPeerClient(conn),
			aliveTimeout: aliveIntervals * p.interval,
		})
	}
	return p, nil
}

// Close closes the connections.
func (p *Peers) Close() {
	for _, peer := range p.peers {
		_ = peer.conn.Close()
	}
}

// Serve calls the peers until ctx ends. It is a duty's Serve function.
func (p *Peers) Serve(ctx context.Context) error {
	ticker := time.NewTicker(p.interval)
	defer ticker.Stop()
	for {
		p.helloAll(ctx)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

func (p *Peers) helloAll(ctx context.Context) {
	var wg sync.WaitGroup
	for _, peer := range p.peers {
		wg.Go(func() {
			if err := peer.hello(ctx); err != nil {
				p.logger.Debug("a steward does not answer", "address", peer.address, "error", err)
			}
		})
	}
	wg.Wait()
}

func (p *peer) hello(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := p.rpc.Hello(ctx, &pb.HelloRequest{})
	if err != nil || !reply.GetAble() {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.node, p.answeredAt = reply.GetNode(), sent
	return nil
}

func (p *peer) alive() (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.node, time.Since(p.answeredAt) < p.aliveTimeout
}

// Configured reports whether any peers are configured.
func (p *Peers) Configured() bool { return len(p.peers) > 0 }

// Nodes returns the nodes whose stewards are alive and may decide, sorted.
func (p *Peers) Nodes() []string {
	var nodes []string
	for _, peer := range p.peers {
		if node, ok := peer.alive(); ok {
			nodes = append(nodes, node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// maxPeersAsked is the number of peers that check failing backend servers.
const maxPeersAsked = 2

// Healthy asks live peers which of the backend servers they reach. It returns
// the servers that at least one of them reached, and the number of peers that
// replied.
func (p *Peers) Healthy(ctx context.Context, addresses []string) (healthy map[string]bool, replied int) {
	healthy = map[string]bool{}
	for _, peer := range p.peers {
		if _, ok := peer.alive(); !ok || replied == maxPeersAsked {
			continue
		}
		if peer.check(ctx, addresses, healthy) == nil {
			replied++
		}
	}
	return healthy, replied
}

func (p *peer) check(ctx context.Context, addresses []string, healthy map[string]bool) error {
	for part := range slices.Chunk(addresses, maxAddresses) {
		callCtx, cancel := context.WithTimeout(ctx, checkTimeout+helloTimeout)
		reply, err := p.rpc.Check(callCtx, &pb.CheckRequest{Addresses: part})
		cancel()
		if err != nil {
			return errors.Wrapf(err, "steward %s", p.address)
		}
		for _, address := range reply.GetHealthy() {
			healthy[address] = true
		}
	}
	return nil
}
