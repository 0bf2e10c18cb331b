package ownership

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/platform"
)

// ownedPartition is a partition that this node owns, or whose runner is still stopping.
type ownedPartition struct {
	epoch   int64
	cancel  context.CancelCauseFunc // ends the context of the runner
	stopped chan struct{}           // closed once the runner has returned
	// confirmingJoinSentAt is when the latest join was sent whose answer listed the partition.
	confirmingJoinSentAt instant
}

// applyAssignment starts and stops runners according to the answer to a join sent at sentAt. isNewGeneration
// states whether the generation differs from that of the answer before. The generation of the assignment is
// the epoch of the runners that it starts. It must be called with mu held.
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
			continue // a new runner is started once the previous one has recorded its runs
		case a.Generation < m.supersededBelow[p]:
			continue // the answer is older than the later owner that requested the stop
		}
		if m.owned[p] == nil {
			m.owned[p] = m.startRunner(ctx, p, a.Generation)
		}
		m.owned[p].confirmingJoinSentAt = sentAt
	}
	for p, own := range m.owned {
		if !listed[p] {
			m.stopReassigned(p, own, a.Generation, "the group has reassigned it")
		}
	}
	if m.stoppingCount == 0 {
		m.releasedGeneration = m.generation
	}
}

// stopReassigned stops the runner of a partition that was or may have been reassigned. It must be called with
// mu held.
func (m *Manager) stopReassigned(p platform.Partition, own *ownedPartition, generation int64, reason string) {
	m.logger.Info("partition handed over", "topic", p.Topic, "partition", p.Part, "generation", generation, "reason", reason)
	m.stopRunner(p, own, nil)
}

// stopRunner stops the runner of a partition with a cause. It must be called with mu held.
func (m *Manager) stopRunner(p platform.Partition, own *ownedPartition, cause error) {
	own.cancel(cause)
	delete(m.owned, p)
	m.stoppingRunners[p] = own
	m.stoppingCount++
	go m.releaseOnceStopped(p, own)
}

// releaseOnceStopped waits until a runner has stopped. Once none is stopping any more, it reports to the group
// the latest generation. On receiving it, the group assigns the partitions that this node lost by then to
// their successors. If it received the generation earlier, the successor would fence the runner before the
// runner has recorded its runs, and would have to wait for their leases: seconds instead of about 60 ms.
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

// startRunner starts the runner of a partition. If the runner returns before ctx has ended, the node rejoins.
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

// ErrSuperseded is the cause with which a runner is stopped at the request of a later owner.
var ErrSuperseded = errors.New("a later owner takes the partition over")

// StopRunnerBeforeEpoch stops the runner of a partition on this node if its epoch is below epoch, the epoch of the
// later owner that requests the stop. It waits until the runner has stopped or ctx ends.
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
		m.logger.Info("partition handed over", "topic", p.Topic, "partition", p.Part, "epoch", epoch, "reason", "a later owner takes the partition over")
		m.stopRunner(p, own, ErrSuperseded)
	}
	m.mu.Unlock()
	select {
	case <-own.stopped:
	case <-ctx.Done():
	}
}

// stopAllRunners stops the runners of all owned partitions, and waits until these and the ones that were being stopped
// before have recorded their runs and stopped.
func (m *Manager) stopAllRunners() {
	m.mu.Lock()
	for p, own := range m.owned {
		m.stopRunner(p, own, nil)
	}
	stopping := slices.Collect(maps.Values(m.stoppingRunners))
	m.mu.Unlock()
	for _, own := range stopping {
		<-own.stopped
	}
}
