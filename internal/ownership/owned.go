package ownership

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/platform"
)

// ownedPartition is a partition that this process owns, with its running owner.
type ownedPartition struct {
	epoch   int64
	cancel  context.CancelCauseFunc
	stopped chan struct{}
	// confirmingJoinSentAt is when the latest join was sent whose answer listed the partition.
	confirmingJoinSentAt instant
}

// applyAssignment starts and stops owners according to the answer to a join sent at sentAt. isNewGeneration
// states whether the generation differs from that of the answer before. It must be called with mu held.
func (m *Manager) applyAssignment(ctx context.Context, a platform.Assignment, sentAt instant, isNewGeneration bool) {
	if time.Now().Before(m.runnersStartFrom) {
		m.releasedGeneration = m.generation
		return // other members are about to join, and the next assignment will differ
	}
	listed := map[platform.Partition]bool{}
	for _, p := range a.Partitions {
		if isAnnouncement(p) {
			continue
		}
		listed[p] = true
		if own := m.owned[p]; own != nil && isNewGeneration && sentAt.at.After(m.ttlExpiresAt(own.confirmingJoinSentAt)) {
			m.stopReassigned(p, own, a.Generation, "another member may have owned it since")
		}
		switch {
		case m.stoppingRunners[p] != nil:
			continue // it is started again once the previous owner has recorded its runs
		case a.Generation < m.supersededBelow[p]:
			continue // the answer is older than the owner that requested the stop
		}
		if m.owned[p] == nil {
			m.owned[p] = m.startRunner(ctx, p, a.Generation)
		}
		m.owned[p].confirmingJoinSentAt = sentAt
	}
	for p, own := range m.owned {
		if !listed[p] {
			m.stopReassigned(p, own, a.Generation, "the group gave it to another member")
		}
	}
	if m.stoppingCount == 0 {
		m.releasedGeneration = m.generation
	}
}

// stopReassigned stops the owner of a partition that passes on. It must be called with mu held.
func (m *Manager) stopReassigned(p platform.Partition, own *ownedPartition, generation int64, reason string) {
	m.logger.Info("partition handed over", "topic", p.Topic, "partition", p.Part, "generation", generation, "reason", reason)
	m.stopRunner(p, own, nil)
}

// stopRunner stops the owner of a partition with a cause. It must be called with mu held.
func (m *Manager) stopRunner(p platform.Partition, own *ownedPartition, cause error) {
	own.cancel(cause)
	delete(m.owned, p)
	m.stoppingRunners[p] = own
	m.stoppingCount++
	go m.releaseOnceStopped(p, own)
}

// releaseOnceStopped reports to the group, as soon as no owner is stopping any more, the generation in which
// this process lost the partitions. The group gives them to others once it receives that generation. If it
// received it earlier, the next owner would fence this one before it has recorded its runs, and would have
// to wait for their leases: seconds instead of about 60 ms.
func (m *Manager) releaseOnceStopped(p platform.Partition, own *ownedPartition) {
	<-own.stopped
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.stoppingRunners, p)
	m.stoppingCount--
	if m.stoppingCount == 0 {
		m.releasedGeneration = m.generation
		m.RequestJoin()
	}
}

func (m *Manager) startRunner(ctx context.Context, p platform.Partition, epoch int64) *ownedPartition {
	ctx, cancel := context.WithCancelCause(ctx)
	own := &ownedPartition{epoch: epoch, cancel: cancel, stopped: make(chan struct{})}
	go func() {
		defer close(own.stopped)
		err := m.run(ctx, p, epoch)
		if ctx.Err() != nil {
			return
		}
		m.logger.Warn("ownership ended", "topic", p.Topic, "partition", p.Part, "epoch", epoch, "error", err)
		m.mu.Lock()
		defer m.mu.Unlock()
		m.mustRejoin = true
	}()
	return own
}

// ErrSuperseded is the cause with which an owner is stopped at the request of a later owner.
var ErrSuperseded = errors.New("a later owner has taken the partition over")

// StopRunnerBeforeEpoch stops the owner of a partition in this process if its epoch is below epoch, and waits until it
// has stopped or ctx ends.
func (m *Manager) StopRunnerBeforeEpoch(ctx context.Context, p platform.Partition, epoch int64) {
	m.mu.Lock()
	m.supersededBelow[p] = max(m.supersededBelow[p], epoch)
	own := m.owned[p]
	if own == nil {
		own = m.stoppingRunners[p]
	}
	if own == nil || own.epoch >= epoch {
		m.mu.Unlock()
		return
	}
	if m.owned[p] == own {
		m.logger.Info("partition handed over", "topic", p.Topic, "partition", p.Part, "epoch", epoch, "reason", "its next owner asks for it")
		m.stopRunner(p, own, ErrSuperseded)
	}
	m.mu.Unlock()
	select {
	case <-own.stopped:
	case <-ctx.Done():
	}
}

// stopAllRunners stops the owners of all owned partitions and waits until they have stopped, by which time they
// have recorded their runs. It does not wait for owners that were being stopped before.
func (m *Manager) stopAllRunners() {
	m.mu.Lock()
	var stopping []*ownedPartition
	for p, own := range m.owned {
		own.cancel(nil)
		stopping = append(stopping, own)
		delete(m.owned, p)
	}
	m.mu.Unlock()
	for _, own := range stopping {
		<-own.stopped
	}
}
