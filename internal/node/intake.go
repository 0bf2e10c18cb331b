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
	health   *storeHealth
	hedger   *hedge.Hedger
}

func (l localStore) Store(ctx context.Context, partition int, r workload.Record, pendingAfter <-chan time.Time) (platform.StoreStatus, bool, error) {
	return l.acceptor.Store(ctx, partition, r, pendingAfter)
}

// CheckAvailable tells why calls to the store are hopeless. A call that is not sent has
// certainly no effect, so a refusal is true, and its caller need not wait for a
// time-out that tells it nothing.
func (l localStore) CheckAvailable() error {
	if silence := l.health.sinceLastAnswer(); silence > failFastAfter {
		return errors.Errorf("no answer of the store for %s", silence.Round(time.Millisecond))
	}
	return nil
}

// IsSlow tells whether the store takes long for writes.
func (l localStore) IsSlow() bool { return l.hedger.IsSlow() }

// storePeers are the other nodes, as intake sees them.
type storePeers struct{ owners *ownerDirectory }

func (p storePeers) Owner(partition int) string {
	if p.owners.localOwner(partition) != nil {
		return ""
	}
	address := p.owners.manager.CachedOwner(platform.Partition{Topic: joblog.JobsTopic, Part: partition})
	if address == p.owners.selfAddress {
		return ""
	}
	return address
}

func (p storePeers) Self() string { return p.owners.selfAddress }

func (p storePeers) Others() []string {
	var others []string
	for _, a := range p.owners.manager.OwnerAddresses() {
		if a != p.owners.selfAddress {
			others = append(others, a)
		}
	}
	return others
}

func (p storePeers) Store(ctx context.Context, address string, q intake.StoreRequest) (intake.StoreReply, error) {
	key, value, err := q.Record.Encode()
	if err != nil {
		return intake.StoreReply{Status: platform.StoreInvalid, Reason: err.Error()}, nil
	}
	answer, err := p.owners.clients.Call(ctx, address, nodepeer.MethodStore, nodepeer.Request{Partition: q.Partition, RecordKey: key, RecordValue: value, PendingAfterMS: q.PendingAfter.Milliseconds()})
	switch {
	case errors.Is(err, nodepeer.ErrNotSent):
		return intake.StoreReply{Status: platform.StoreRefused}, err
	case err != nil:
		return intake.StoreReply{Status: platform.StoreUnknown}, err
	case answer.StoreResult == nil:
		return intake.StoreReply{Status: platform.StoreUnknown}, errors.Errorf("node %s gave no outcome", address)
	}
	s := answer.StoreResult
	return intake.StoreReply{Status: s.Status, Pending: s.Pending, Unavailable: s.Unavailable, Reason: s.Reason}, nil
}

// Accept stores a record of a caller's request with its service's jobs.
func (n *Node) Accept(ctx context.Context, service string, r workload.Record) (platform.StoreStatus, error) {
	return n.intake.Accept(ctx, n.owners.partitionOf(service), r)
}

// onStored hands records that were just stored to the partition's owner, if it is
// here: it need not wait until it has read them back.
func (n *Node) onStored(partition int, records []workload.Record) {
	if localOwner := n.owners.localOwner(partition); localOwner != nil {
		localOwner.HandleStored(records)
	}
}
