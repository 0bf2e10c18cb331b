package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// localStore is this node's own way to the store, as intake sees it.
type localStore struct {
	acceptor *joblog.Acceptor
	contact  *contact
	hedger   *hedge.Hedger
}

func (l localStore) Await(ctx context.Context, partition int, r workload.Record, bound <-chan time.Time) (platform.StoreStatus, bool, error) {
	return l.acceptor.Await(ctx, partition, r, bound)
}

// Away tells why calls to the store are hopeless. A call that is not sent has
// certainly no effect, so a refusal is true, and its caller need not wait for a
// time-out that tells it nothing.
func (l localStore) Away() error {
	if age := l.contact.age(); age > hopeless {
		return errors.Errorf("no answer of the store for %s", age.Round(time.Millisecond))
	}
	return nil
}

// Slow tells whether the store takes long for writes.
func (l localStore) Slow() bool { return l.hedger.Slow() }

// storePeers are the other nodes, as intake sees them.
type storePeers struct{ owners *owners }

func (p storePeers) Owner(partition int) string {
	if p.owners.get(partition) != nil {
		return ""
	}
	address := p.owners.manager.CachedOwner(platform.Partition{Topic: joblog.Topic, Part: partition})
	if address == p.owners.self {
		return ""
	}
	return address
}

func (p storePeers) Self() string { return p.owners.self }

func (p storePeers) Others() []string {
	var others []string
	for _, a := range p.owners.manager.OwnerAddresses() {
		if a != p.owners.self {
			others = append(others, a)
		}
	}
	return others
}

func (p storePeers) Store(ctx context.Context, address string, q intake.Question) (intake.Reply, error) {
	key, value, err := q.Record.Encode()
	if err != nil {
		return intake.Reply{Status: platform.StoreInvalid, Reason: err.Error()}, nil
	}
	answer, err := p.owners.clients.Ask(ctx, address, nodepeer.Store, nodepeer.Ask{Partition: q.Partition, RecordKey: key, RecordValue: value, WaitMS: q.Wait.Milliseconds()})
	switch {
	case errors.Is(err, nodepeer.ErrNotSent):
		return intake.Reply{Status: platform.StoreRefused}, err
	case err != nil:
		return intake.Reply{Status: platform.StoreUnknown}, err
	case answer.Stored == nil:
		return intake.Reply{Status: platform.StoreUnknown}, errors.Errorf("node %s gave no outcome", address)
	}
	s := answer.Stored
	return intake.Reply{Status: s.Status, Pending: s.Pending, Away: s.Away, Reason: s.Reason}, nil
}

// Accept stores a record of a caller's request with its service's jobs.
func (n *Node) Accept(ctx context.Context, service string, r workload.Record) (platform.StoreStatus, error) {
	return n.intake.Accept(ctx, n.owners.partitionOf(service), r)
}

// stored hands records that were just stored to the partition's owner, if it is
// here: it need not wait until it has read them back.
func (n *Node) stored(partition int, records []workload.Record) {
	if own := n.owners.get(partition); own != nil {
		own.Stored(records)
	}
}
