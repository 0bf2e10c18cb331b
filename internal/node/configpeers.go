package node

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/peerbook"
	"github.com/yuccadrift/yuccadrift/internal/published"
)

// nodesPerConfigResult is how many addresses of other nodes an answer to MethodConfig has.
const nodesPerConfigResult = 6

// configPeers implements published.Peers. It knows the owners of partitions and the nodes that
// have called this node; the store may be out of reach.
type configPeers struct {
	book   *peerbook.Book
	owners *ownerDirectory
}

func (p configPeers) Sample(n int) []string {
	p.book.Add(p.owners.manager.OwnerAddresses()...)
	return p.book.Sample(n)
}

func (p configPeers) FetchConfig(ctx context.Context, address string, version int64) (published.PeerConfig, error) {
	response, err := p.owners.clients.Call(ctx, address, nodepeer.MethodConfig, nodepeer.Request{ConfigVersion: version})
	if err != nil {
		return published.PeerConfig{}, err
	}
	if response.Config == nil {
		return published.PeerConfig{}, errors.Errorf("response of node %s has no configuration", address)
	}
	p.book.Add(response.Config.Nodes...)
	p.owners.assignments.Add(response.Config.Partitions)
	return published.PeerConfig{Record: response.Config.Record, ReadsStore: response.Config.ReadsStore}, nil
}

// ServeConfig serves MethodConfig.
func (p peerHandler) ServeConfig(_ context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	answer := p.published.ConfigNewerThan(req.ConfigVersion)
	return nodepeer.Response{Config: &nodepeer.ConfigResult{Record: answer.Record, ReadsStore: answer.ReadsStore, Nodes: p.peers.Sample(nodesPerConfigResult), Partitions: p.ownerDirectory.assignments.Table()}}, nil
}
