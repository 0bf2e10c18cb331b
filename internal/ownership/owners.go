package ownership

import (
	"context"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/platform"
)

// Owner returns the address of the node that owns a partition, "" if none is
// known. With refresh, what is known has just proved wrong.
func (m *Manager) Owner(ctx context.Context, p platform.Partition, refresh bool) string {
	m.mu.Lock()
	unknown := m.owners[p].address == ""
	m.mu.Unlock()
	maxAge := maxOwnersAge
	if refresh || unknown {
		maxAge = minOwnersReadInterval
	}
	m.readOwners(ctx, maxAge)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[p].address
}

// CachedOwner returns the address of the node that owned a partition when that was
// last read, "" if none is known. It never waits: what is too old is read again
// beside the caller.
func (m *Manager) CachedOwner(p platform.Partition) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.ownersReadSentAt) > maxOwnersAge {
		go m.readOwners(context.Background(), maxOwnersAge) // one at a time, with the call's own time-out
	}
	return m.owners[p].address
}

// OwnerAddresses lists the nodes that owned something when that was last read.
func (m *Manager) OwnerAddresses() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []string
	for _, o := range m.owners {
		if !slices.Contains(list, o.address) {
			list = append(list, o.address)
		}
	}
	return list
}

// readOwners reads who owns what, unless that is known from a read that was sent
// less than age ago. It tells whether it is.
func (m *Manager) readOwners(ctx context.Context, maxAge time.Duration) bool {
	m.mu.Lock()
	isStale := time.Since(m.ownersReadSentAt) > maxAge
	if isStale {
		m.ownersReadSentAt = time.Now() // others go on with what is known meanwhile
	}
	m.mu.Unlock()
	if !isStale {
		return true
	}
	list, status, err := m.store.Owners(ctx, groupName)
	if status != platform.StoreOK {
		m.logger.Debug("owners can't be read", "status", status.String(), "error", err)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.owners) // one that isn't listed any more has no owner either
	for _, o := range list {
		if info, ok := parseMemberName(o.Member); ok {
			m.owners[o.Partition] = info
		}
	}
	return true
}

// owningMembers lists the members that own something, each once. The lock is held.
func (m *Manager) owningMembers() []memberInfo {
	seen := map[string]bool{}
	var list []memberInfo
	for _, o := range m.owners {
		if !seen[o.name] {
			seen[o.name] = true
			list = append(list, o)
		}
	}
	return list
}

// snapshot is what the latest look at the owners shows. The lock is held.
func (m *Manager) snapshot() ownershipSnapshot {
	var s ownershipSnapshot
	for _, o := range m.owningMembers() {
		if m.isOutrankedBy(o) {
			s.strongerMembers++
		}
	}
	workOwners := map[string]bool{}
	for p, o := range m.owners {
		if !isAnnouncement(p) && o.name != m.memberName {
			workOwners[o.name] = true
		}
	}
	s.isSaturated = m.partitions > 0 && len(workOwners) >= len(m.workTopics)*m.partitions
	for p := range m.owned {
		s.ownsPartition = true
		s.ownsWork = s.ownsWork || m.hasWork(p)
	}
	return s
}

// isOutrankedBy tells whether a member has far more processor time than this one.
func (m *Manager) isOutrankedBy(o memberInfo) bool {
	return m.milliCores > 0 && o.milliCores >= strongerFactor*m.milliCores
}
