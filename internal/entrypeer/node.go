package entrypeer

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
)

// Defaults of NodeConfig for the latencies between entry VMs.
const (
	DefaultCallTimeout       = 300 * time.Millisecond
	DefaultClaimRetryTimeout = time.Second
)

// NodeConfig holds the dependencies and settings of a Node.
type NodeConfig struct {
	Logger hclog.Logger
	// InFlight returns the requests in flight by backend VM, and the offset up to
	// which the process had applied the log when it counted them. Nil in a process
	// that serves no callers.
	InFlight func() (offset uint64, vms map[string]int)
	// State is sent to nodes that cannot read the log. Nil in a process without
	// state.
	State StateSource
	// CallTimeout limits one call that the peer answers at once.
	CallTimeout time.Duration
	// ClaimRetryTimeout is how long a claim is retried while its owner is unreachable or
	// may not grant.
	ClaimRetryTimeout time.Duration
	// Dial connects to a peer address. Nil means TCP.
	Dial func(ctx context.Context, address string) (net.Conn, error)
}

// Node is this process as one of the entry VMs. It implements Claimer for the
// request path.
type Node struct {
	cfg   NodeConfig
	conns *connPool

	mu      sync.Mutex
	members []*Member // the current one is the last; earlier ones still hand over
	joined  bool

	reports     chan report
	undelivered atomic.Int64
	dropped     atomic.Int64
}

// maxMemberships is the number of memberships of this process that are kept,
// including earlier ones that still hand over their records.
const maxMemberships = 3

// NewNode returns a Node without membership. It grants no claims before Begin.
func NewNode(cfg NodeConfig) *Node {
	return &Node{cfg: cfg, conns: newConnPool(cfg.Dial), reports: make(chan report, maxReports)}
}

// Close closes the connections to peers.
func (n *Node) Close() { n.conns.close() }

// Begin makes m the current membership.
func (n *Node) Begin(m *Member) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members = append(n.members, m)
	if len(n.members) > maxMemberships {
		n.members = n.members[1:]
	}
	n.joined = true
}

// End ends the current membership, which continues to hand over its records.
func (n *Node) End() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.joined = false
}

// current returns the current membership, or nil without one.
func (n *Node) current() *Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.joined {
		return nil
	}
	return n.members[len(n.members)-1]
}

// member returns the membership of this process with the given name, or nil.
func (n *Node) member(name string) *Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range n.members {
		if m.Name() == name {
			return m
		}
	}
	return nil
}

// NotReadyReason returns the reason why the node cannot grant claims, or "" if it can.
func (n *Node) NotReadyReason() string {
	m := n.current()
	switch {
	case m == nil:
		return "not a member of the entry VMs"
	case !m.Valid():
		return "no lease: too few other entry VMs answer, or the clock is wrong"
	}
	return ""
}

// Stats returns the figures of the current membership, or zeros without one.
func (n *Node) Stats() Stats {
	if m := n.current(); m != nil {
		return m.Stats()
	}
	return Stats{}
}

// Lease sends a lease request to the peer on behalf of m.
func (n *Node) Lease(ctx context.Context, m *Member, peer, address string) error {
	c, err := n.conns.client(address)
	if err != nil {
		return err
	}
	sent := Now()
	r, err := c.Lease(ctx, &pb.LeaseRequest{Member: m.Name(), Clock: timeProto(sent.Wall)})
	if err != nil {
		return errors.Wrapf(err, "request a lease ack from %s", peer)
	}
	if r.GetMember() != peer {
		return errors.Errorf("member %s answered at the address of %s", r.GetMember(), peer)
	}
	m.handleLeaseReply(peer, r.GetAcked(), r.GetClock().AsTime(), sent)
	return nil
}

// Probe returns nil if any entry process answers at address.
func (n *Node) Probe(ctx context.Context, address string) error {
	c, err := n.conns.client(address)
	if err != nil {
		return err
	}
	_, err = c.Lease(ctx, &pb.LeaseRequest{})
	return errors.Wrapf(err, "probe %s", address)
}

// Drop closes the connection to address. The next call connects again.
func (n *Node) Drop(address string) { n.conns.drop(address) }

// Retain closes the connections to all addresses except the given ones.
func (n *Node) Retain(addresses map[string]bool) { n.conns.retain(addresses) }

// Pull pulls the records of a pending handover from its source on behalf of m.
// It returns PullLater without a call if the handover is no longer pending.
func (n *Node) Pull(ctx context.Context, m *Member, d claim.PendingHandover) (claim.Handover, claim.PullStatus, error) {
	var h claim.Handover
	req, open := m.pullRequestFor(d)
	if !open {
		return h, claim.PullLater, nil
	}
	c, err := n.conns.client(m.Address(d.Source))
	if err != nil {
		return h, claim.PullLater, err
	}
	stream, err := c.Pull(ctx, &pb.PullRequest{
		Source:  req.Source,
		Puller:  req.Puller,
		Offset:  req.Offset,
		Owner:   req.Owner,
		Members: req.Members,
		Whole:   req.RequireComplete,
	})
	if err != nil {
		return h, claim.PullLater, errors.Wrapf(err, "pull from %s", d.Source)
	}
	code := claim.PullLater
	for {
		part, err := stream.Recv()
		if err == io.EOF {
			return h, code, nil
		}
		if err != nil {
			return claim.Handover{}, claim.PullLater, errors.Wrapf(err, "pull from %s", d.Source)
		}
		code = claim.PullStatus(part.GetStatus())
		if err := addPart(&h, part); err != nil {
			return claim.Handover{}, claim.PullLater, err
		}
	}
}

func addPart(h *claim.Handover, part *pb.PullReply) error {
	for _, r := range part.GetRecords() {
		rec, err := recordOf(r)
		if err != nil {
			return err
		}
		h.Records = append(h.Records, rec)
	}
	for _, f := range part.GetFloors() {
		h.Floors = append(h.Floors, floorOf(f))
	}
	if d := part.GetDropped(); d != nil {
		h.DroppedUntil = d.AsTime()
	}
	return nil
}
