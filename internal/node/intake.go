package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// localStore implements intake.LocalStore.
type localStore struct {
	acceptor *joblog.Acceptor
	health   *storeHealth
	hedger   *hedge.Hedger
}

func (l localStore) Store(ctx context.Context, partition int, r workload.Record, pendingAfter <-chan time.Time) (platform.StoreStatus, bool, error) {
	return l.acceptor.Store(ctx, partition, r, pendingAfter)
}

// CheckAvailable returns an error if the store has not answered this node for failFastAfter.
// A call that is not sent certainly has no effect, so the caller gets a refusal instead of
// waiting for a timeout with an unknown outcome.
func (l localStore) CheckAvailable() error {
	if silence := l.health.sinceLastAnswer(); silence > failFastAfter {
		return errors.Errorf("no answer of the store for %s", silence.Round(time.Millisecond))
	}
	return nil
}

// IsSlow reports whether the store is slow to answer.
func (l localStore) IsSlow() bool { return l.hedger.IsSlow() }

// storePeers implements intake.Peers.
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

func (p storePeers) OtherOwners() []string {
	var others []string
	for _, a := range p.owners.manager.OwnerAddresses() {
		if a != p.owners.selfAddress {
			others = append(others, a)
		}
	}
	return others
}

func (p storePeers) Store(ctx context.Context, address string, q intake.StoreRequest) (intake.StoreResponse, error) {
	key, value, err := q.Record.Encode()
	if err != nil {
		return intake.StoreResponse{Status: platform.StoreInvalid, Reason: err.Error()}, nil
	}
	response, err := p.owners.clients.Call(ctx, address, nodepeer.MethodStore, nodepeer.Request{Partition: q.Partition, RecordKey: key, RecordValue: value, PendingAfterMS: q.PendingAfter.Milliseconds(), ConfigVersion: p.owners.published.Version()})
	if err == nil && response.Config != nil {
		p.owners.published.ApplyFromPeer(address, response.Config.Record)
	}
	switch {
	case errors.Is(err, nodepeer.ErrNotSent):
		return intake.StoreResponse{Status: platform.StoreRefused}, err
	case err != nil:
		return intake.StoreResponse{Status: platform.StoreUnknown}, err
	case response.StoreResult == nil:
		return intake.StoreResponse{Status: platform.StoreUnknown}, errors.Errorf("node %s gave no outcome", address)
	}
	return storeResponseOf(*response.StoreResult), nil
}

// storeResponseOf returns the outcome that another node states. A status that this version doesn't know is unknown.
func storeResponseOf(s nodepeer.StoreResult) intake.StoreResponse {
	status := s.Status
	if !status.IsKnown() {
		status = platform.StoreUnknown
	}
	return intake.StoreResponse{Status: status, Pending: s.Pending, Unavailable: s.Unavailable, NoRoom: s.NoRoom, Reason: s.Reason}
}

func (p storePeers) NoteAttempt(ctx context.Context, address string, id workload.JobID, age time.Duration) error {
	_, err := p.owners.clients.Call(ctx, address, nodepeer.MethodAttempt, nodepeer.Request{Job: id, AgeMS: age.Milliseconds()})
	return err
}

// ReportOpen tells the node of the partition's owner, which may be this one, of open attempts.
func (p storePeers) ReportOpen(ctx context.Context, partition int, requests []acceptance.Request) error {
	if p.owners.localOwner(partition) != nil {
		return nil // this node remembers its own attempts
	}
	address := p.Owner(partition)
	if address == "" {
		return errors.Errorf("no owner of partition %d is known", partition)
	}
	response, err := p.owners.clients.Call(ctx, address, nodepeer.MethodOpenAttempts, nodepeer.Request{Partition: partition, OpenAttempts: requests})
	if err == nil && !response.IsOwner {
		return errors.Errorf("node %s doesn't own partition %d", address, partition)
	}
	return err
}

// Accept stores a record of a caller's request in the partition of its service. Nothing is stored while
// that partition isn't known.
func (n *Node) Accept(ctx context.Context, service string, r workload.Record) (platform.StoreStatus, error) {
	partition, ok := n.assignments.PartitionOf(service)
	if !ok {
		return platform.StoreRefused, errors.Errorf("service %q has no known partition yet", service)
	}
	n.probeStore(ctx, partition)
	return n.intake.Accept(ctx, partition, r)
}

// storeProbeTimeout bounds the read of probeStore. The store answers in some 5 ms.
const storeProbeTimeout = 250 * time.Millisecond

// probeStore makes a read if the store has been silent for so long that nothing is sent to it on behalf of
// callers. Nodes without partitions otherwise notice the store's return up to 0.7 s late. A write in its place
// could have an unknown outcome. Reads of all callers together are limited by the manager.
func (n *Node) probeStore(ctx context.Context, partition int) {
	if n.storeHealth.sinceLastAnswer() <= failFastAfter {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeProbeTimeout)
	defer cancel()
	n.manager.Owner(ctx, platform.Partition{Topic: joblog.JobsTopic, Part: partition}, true)
}

// onStored passes records that were just stored to the partition's owner if it is on this
// node. The owner then need not wait until it reads them.
func (n *Node) onStored(partition int, span platform.Span, records []workload.Record) {
	if localOwner := n.owners.localOwner(partition); localOwner != nil {
		localOwner.HandleStored(span, records)
	}
}
