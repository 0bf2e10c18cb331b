package ownership

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Pauses between checks of the owners.
const (
	// yieldingCheckInterval is the longest pause of a VM that yields. The TTL of a lost member plus
	// this pause is shorter than a lease.
	yieldingCheckInterval = 500 * time.Millisecond
	// outrankedCheckInterval is the pause of a member that knows of stronger members. It may be too weak
	// to serve its partitions, and must yield within about a second. That takes two checks, or four if the
	// group assigns it the partitions of another member that has just yielded.
	outrankedCheckInterval = 150 * time.Millisecond
	// memberCheckInterval is the pause of any other member.
	memberCheckInterval = time.Second
	// initialGatherTime is how long a member waits before it starts runners if no partition had an owner
	// at its first read. VMs that start together do so within this time. Otherwise the first member to
	// join would start runners for all partitions, and the service of most would be interrupted twice: by
	// the takeover, and when they are reassigned to members that join a moment later.
	initialGatherTime = 300 * time.Millisecond
)

// awaitFirstOwnersRead reads the owners until the store answers, and starts the yield policy. Before the first
// read, a VM doesn't know whether it must yield.
func (m *Manager) awaitFirstOwnersRead(ctx context.Context) {
	for ctx.Err() == nil && !m.readOwners(ctx, 0) {
		wait.Pause(ctx, joinInterval)
	}
	m.startYieldPolicy()
}

// startYieldPolicy starts the yield policy after the first read of the owners. If no partition has an owner, no
// runner is started for initialGatherTime.
func (m *Manager) startYieldPolicy() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	m.yieldPolicy.start(m.milliCores, now)
	if len(m.owners) == 0 {
		m.runnersStartFrom = now.Add(initialGatherTime)
		time.AfterFunc(initialGatherTime, m.RequestJoin)
	}
}

// watchOwners reads the owners and updates whether this VM yields, until ctx ends. A failed read changes nothing.
func (m *Manager) watchOwners(ctx context.Context) {
	for ctx.Err() == nil {
		m.readCapacityHint(ctx)
		now := time.Now()
		m.queryUnslowedMembers(ctx)
		m.updateYielding(now)
		m.storeCapacityHint(ctx, now)
		pause := m.nextCheckDelay(now)
		m.awaitCheck(ctx, pause)
		for ctx.Err() == nil && !m.useRelayedOwners() && !m.readOwners(ctx, pause/2) {
			wait.Pause(ctx, pause)
		}
	}
}

// updateYielding decides from the known owners whether this VM yields, and requests a join if that has changed.
func (m *Manager) updateYielding(now time.Time) {
	m.mu.Lock()
	s := m.snapshot()
	wasYielding := m.yieldPolicy.isYielding
	m.yieldPolicy.update(s, now)
	isYielding := m.yieldPolicy.isYielding
	m.mu.Unlock()
	if wasYielding != isYielding {
		m.logger.Info("stronger members", "own_something", s.strongerMembers, "all_owned", s.isSaturated, "stands_back", isYielding)
		m.RequestJoin()
	}
}

// nextCheckDelay returns the pause before the next check.
func (m *Manager) nextCheckDelay(now time.Time) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.yieldPolicy.isYielding:
		// The pauses differ between VMs. If the strong members are lost, some weak VMs join before the
		// others check, and the others then see that enough members have joined.
		delay := yieldingCheckInterval - time.Duration(m.checkJitter*float64(yieldingCheckInterval/4))
		if untilJoin := m.yieldPolicy.joinAt.Sub(now); untilJoin > 0 {
			delay = min(delay, untilJoin)
		}
		return delay
	case m.capacityHint.storedMilliCores >= strongerFactor*m.milliCores || !m.yieldPolicy.outrankedSince.IsZero():
		return outrankedCheckInterval
	default:
		return memberCheckInterval
	}
}

// IsYielding reports whether this node stays out of the group.
func (m *Manager) IsYielding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.yieldPolicy.isYielding
}

// leaveToYield leaves the group and prepares the next membership. It waits for joins in flight: a join that
// arrived after the leave would assign partitions to a member that has no runners. The next membership has
// another name for the same reason.
func (m *Manager) leaveToYield() {
	for range maxJoinsInFlight {
		m.joinSlots <- struct{}{}
	}
	m.leaveGroup()
	m.mu.Lock()
	m.memberName = m.newMemberName()
	m.generation, m.releasedGeneration = 0, 0
	m.mu.Unlock()
	for range maxJoinsInFlight {
		<-m.joinSlots
	}
}
