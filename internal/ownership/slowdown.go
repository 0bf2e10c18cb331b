package ownership

import (
	"context"
	"sync"
	"time"
)

// slowdownQueryTimeout bounds the queries of a slowed member to the others. A member that doesn't
// answer in time may be slowed, too.
const slowdownQueryTimeout = 150 * time.Millisecond

// SetSlowdown states how many times slower than usual this VM is, 1 if it is not. A VM that has lost
// much of its processor time ranks as a weak one: it leaves the group, in good order, if at least
// minStrongerMembers members are stronger than it is now, and joins again once it is as fast as usual.
func (m *Manager) SetSlowdown(factor float64) {
	m.mu.Lock()
	m.slowdownFactor = max(1, factor)
	m.mu.Unlock()
	select {
	case m.checkRequested <- struct{}{}:
	default: // one is requested already
	}
}

// OwnsPartition reports whether this node owns a partition.
func (m *Manager) OwnsPartition() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.owned) > 0
}

// isSlowed reports whether this VM is slower than usual. It must be called with mu held.
func (m *Manager) isSlowed() bool { return m.slowdownFactor > 1 }

// currentMilliCores returns the processor time, in millicores, that this VM has now, 0 if it is unknown. It must be
// called with mu held.
func (m *Manager) currentMilliCores() int { return int(float64(m.milliCores) / m.slowdownFactor) }

// queryUnslowedMembers asks, for a member that is slowed, the members that are stronger by their names whether they
// are slowed as well. A name states the usual processor time: if several VMs slowed down together and each took the
// others for stronger, all would leave, and nobody would own their partitions.
func (m *Manager) queryUnslowedMembers(ctx context.Context) {
	m.mu.Lock()
	clear(m.unslowedMembers)
	var addresses []string
	if m.isSlowed() && !m.yieldPolicy.isYielding && m.memberClient != nil {
		for _, o := range m.owningMembers() {
			if o.address != m.address && m.isOutrankedBy(o) {
				addresses = append(addresses, o.address)
			}
		}
	}
	m.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, slowdownQueryTimeout)
	defer cancel()
	var queries sync.WaitGroup
	for _, address := range addresses {
		queries.Go(func() {
			status, err := m.memberClient.JoinStatus(ctx, address)
			if err != nil {
				m.logger.Debug("failed to ask a member whether it is slowed", "member", address, "error", err)
				return
			}
			if !status.IsSlowed {
				m.mu.Lock()
				defer m.mu.Unlock()
				m.unslowedMembers[address] = struct{}{}
			}
		})
	}
	queries.Wait()
}

// mayBeUnslowed reports whether a member that is stronger by its name counts as stronger. A slowed member asks first;
// a VM that yields needs no answer, as it owns nothing. It must be called with mu held.
func (m *Manager) mayBeUnslowed(o memberInfo) bool {
	if !m.isSlowed() || m.yieldPolicy.isYielding || isStronger(o.milliCores, m.milliCores) {
		return true
	}
	_, ok := m.unslowedMembers[o.address]
	return ok
}

// awaitCheck waits until the next check of the owners is due or requested, or ctx ends.
func (m *Manager) awaitCheck(ctx context.Context, pause time.Duration) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.checkRequested:
	case <-ctx.Done():
	}
}
