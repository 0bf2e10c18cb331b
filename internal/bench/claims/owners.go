package claims

import (
	"context"
	"net"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"google.golang.org/grpc"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// claimTimeout is the timeout of a claim and of each call to a peer.
const claimTimeout = 5 * time.Second

// ownerConfig has limits that are large enough for all keys of a run.
var ownerConfig = claim.Config{
	Window: 10 * time.Minute, Ahead: 500 * time.Millisecond, Skew: 500 * time.Millisecond, Handover: time.Second,
	MaxRecords: 10_000_000, MaxAnswer: 1 << 10, MaxAnswers: 1 << 20,
}

// startOwners starts one node for each entry VM, connected over loopback, and
// makes all of them members.
func startOwners(ctx context.Context) ([]entrypeer.Claimer, func() int64, error) {
	var nodes []*entrypeer.Node
	var refs []ledger.MemberRef
	for range vms {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, errors.Wrap(err, "listen for peers on loopback")
		}
		nodes = append(nodes, startOwner(ctx, listener))
		address := listener.Addr().String()
		refs = append(refs, ledger.MemberRef{Name: address, Address: address})
	}
	var claimers []entrypeer.Claimer
	for i, n := range nodes {
		m := entrypeer.NewMember(entrypeer.MemberConfig{Name: refs[i].Name, Claim: ownerConfig})
		m.Join(nil, ledger.MemberChange{Offset: 1, Joined: refs})
		m.SetElectorate([]string{refs[i].Name})
		n.Begin(m)
		claimers = append(claimers, n)
	}
	return claimers, func() int64 { return 0 }, nil
}

// startOwner runs one node until ctx ends.
func startOwner(ctx context.Context, listener net.Listener) *entrypeer.Node {
	n := entrypeer.NewNode(entrypeer.NodeConfig{Logger: hclog.NewNullLogger(), CallTimeout: claimTimeout, ClaimRetryTimeout: claimTimeout})
	server := grpc.NewServer()
	n.Register(server)
	go func() { _ = server.Serve(listener) }()
	go func() { _ = n.Serve(ctx) }()
	context.AfterFunc(ctx, func() {
		server.Stop()
		n.Close()
	})
	return n
}
