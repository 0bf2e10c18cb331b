package ownership

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Pauses between checks of the owners.
const (
	// yieldingCheckInterval is the longest pause of a VM that yields. Together with the TTL of a lost
	// member it stays within a lease.
	yieldingCheckInterval = 500 * time.Millisecond
	// outrankedCheckInterval is the pause of a member that knows of stronger members: it can serve little,
	// and must yield to them within about a second. That takes two checks, and twice as many if the group
	// assigns it what another member has left.
	outrankedCheckInterval = 150 * time.Millisecond
	// memberCheckInterval is the pause of any other member.
	memberCheckInterval = time.Second
	// initialGatherTime is how long a member waits before it starts owners if nobody owned anything; VMs
	// that start together do so within this time. The first member to join is assigned all partitions,
	// and each would pause twice: for its takeover, and when it passes on to a member that joined a moment
	// later.
	initialGatherTime = 300 * time.Millisecond
)

// awaitFirstOwnersRead reads the owners until the store answers: without a read, a VM would not know whether it
// must yield.
func (m *Manager) awaitFirstOwnersRead(ctx context.Context) {
	for ctx.Err() == nil && !m.readOwners(ctx, 0) {
		wait.Pause(ctx, joinInterval)
	}
	m.startYieldPolicy()
}

// startYieldPolicy starts the yield policy after the first read of the owners.
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

// watchOwners reads the owners and updates whether this VM yields, until ctx ends. A read that fails changes
// nothing.
func (m *Manager) watchOwners(ctx context.Context) {
	for ctx.Err() == nil {
		m.readCapacityHint(ctx)
		now := time.Now()
		m.updateYielding(now)
		m.storeCapacityHint(ctx, now)
		pause := m.nextCheckDelay(now)
		wait.Pause(ctx, pause)
		for ctx.Err() == nil && !m.readOwners(ctx, pause/2) {
			wait.Pause(ctx, pause)
		}
	}
}

// updateYielding updates whether this VM yields from the known owners.
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
		// The pauses of the VMs differ: if the strong members are lost, some weak VMs join before others
		// check, and these then see that enough members have joined.
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

func (m *Manager) isYielding() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.yieldPolicy.isYielding
}

// leaveToYield leaves the group. It waits for joins in flight: a join that arrived after the leave would give
// partitions to a member that runs none. The next membership has another name for the same reason.
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
