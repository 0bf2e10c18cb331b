package node

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
	"github.com/yuccadrift/yuccadrift/internal/published"
	"github.com/yuccadrift/yuccadrift/internal/relay"
	"github.com/yuccadrift/yuccadrift/platform"
)

// newRelayFollower returns the follower of a node that stands back from owning.
func (n *Node) newRelayFollower(logger hclog.Logger) *relay.Follower {
	return relay.New(relaySources{n}, relayTarget{n}, rand.IntN, logger)
}

// relaySources implements relay.Sources: the nodes that own partitions read the store.
type relaySources struct{ node *Node }

func (s relaySources) Candidates() []string { return s.node.manager.RelayCandidates() }

func (s relaySources) Follow(ctx context.Context, address string, q relay.Question) (relay.Answer, error) {
	response, err := s.node.owners.clients.Call(ctx, address, nodepeer.MethodFollow, nodepeer.Request{
		ConfigVersion: q.ConfigVersion, OwnersVersion: q.OwnersVersion, Services: q.Services, WaitMS: q.Wait.Milliseconds(),
	})
	if err != nil || response.Follow == nil {
		return relay.Answer{}, err
	}
	f := response.Follow
	return relay.Answer{IsSource: true, Config: f.Config, OwnersVersion: f.OwnersVersion, Owners: f.Owners, OwnersAge: time.Duration(f.OwnersAgeMS) * time.Millisecond, Partitions: f.Partitions}, nil
}

// relayTarget implements relay.Target. A node follows others while it stands back from owning and its own calls to
// the store, if there are any, are answered.
type relayTarget struct{ node *Node }

func (t relayTarget) MayFollow() bool {
	return t.node.manager.IsYielding() && t.node.published.Config() != nil && t.node.storeHealth.mayRely()
}

func (t relayTarget) Known() relay.Question {
	return relay.Question{ConfigVersion: t.node.published.Version(), Services: t.node.assignments.Count()}
}

func (t relayTarget) Apply(source string, a relay.Answer) {
	if a.Config != nil {
		t.node.published.ApplyFromPeer(source, a.Config)
	}
	t.node.assignments.Add(a.Partitions)
	t.node.storeHealth.recordRelayed()
}

// relayedChanges is the source of published changes of a node that may follow another one. While it does, the
// configuration comes from there, and nothing is read. Waves are of use to owners only, which follow nobody.
type relayedChanges struct {
	published.Source
	node *Node
}

func (c relayedChanges) ReadOperatorChanges(ctx context.Context, from int64, wait time.Duration) (platform.Batch, platform.StoreStatus, error) {
	if !c.node.relay.IsFresh() {
		return c.Source.ReadOperatorChanges(ctx, from, wait)
	}
	c.node.relay.AwaitLapse(ctx, wait)
	return platform.Batch{Next: from}, platform.StoreOK, nil
}

// ServeFollow serves MethodFollow. Only a node that reads the store itself and in time answers with what it knows.
func (p peerHandler) ServeFollow(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.WaitMS)*time.Millisecond)
	defer cancel()
	for {
		configChanged := p.published.Changed()
		owners, ok := p.manager.LastOwnersRead()
		config := p.published.ConfigNewerThan(req.ConfigVersion)
		if !ok || owners.Age > relay.MaxSourceAge || !config.ReadsStore || p.manager.IsYielding() {
			return nodepeer.Response{}, nil
		}
		if isNews := config.Record != nil || owners.Version != req.OwnersVersion || p.assignments.Count() > req.Services; isNews || ctx.Err() != nil {
			return nodepeer.Response{Follow: p.followResult(req, owners, config.Record)}, nil
		}
		select {
		case <-configChanged:
		case <-owners.Changed:
		case <-ctx.Done():
		}
	}
}

func (p peerHandler) followResult(req nodepeer.Request, owners ownership.OwnersRead, config []byte) *nodepeer.FollowResult {
	result := &nodepeer.FollowResult{Config: config, OwnersVersion: owners.Version, OwnersAgeMS: owners.Age.Milliseconds()}
	if owners.Version != req.OwnersVersion {
		result.Owners = owners.List
	}
	if p.assignments.Count() > req.Services {
		result.Partitions = p.assignments.Table()
	}
	return result
}
