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
	age := ownersInterval
	if refresh || unknown {
		age = ownersRetry
	}
	m.readOwners(ctx, age)
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.owners[p].address
}

// KnownOwner returns the address of the node that owned a partition when that was
// last read, "" if none is known. It never waits: what is too old is read again
// beside the caller.
func (m *Manager) KnownOwner(p platform.Partition) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.ownersAt) > ownersInterval {
		go m.readOwners(context.Background(), ownersInterval) // one at a time, with the call's own time-out
	}
	return m.owners[p].address
}

// Addresses lists the nodes that owned something when that was last read.
func (m *Manager) Addresses() []string {
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
func (m *Manager) readOwners(ctx context.Context, age time.Duration) bool {
	m.mu.Lock()
	stale := time.Since(m.ownersAt) > age
	if stale {
		m.ownersAt = time.Now() // others go on with what is known meanwhile
	}
	m.mu.Unlock()
	if !stale {
		return true
	}
	list, status, err := m.store.Owners(ctx, group)
	if status != platform.StoreOK {
		m.logger.Debug("owners can't be read", "status", status.String(), "error", err)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.owners) // one that isn't listed any more has no owner either
	for _, o := range list {
		if who, ok := parseName(o.Member); ok {
			m.owners[o.Partition] = who
		}
	}
	return true
}

// members lists the members that own something, each once. The lock is held.
func (m *Manager) members() []peer {
	seen := map[string]bool{}
	var list []peer
	for _, o := range m.owners {
		if !seen[o.name] {
			seen[o.name] = true
			list = append(list, o)
		}
	}
	return list
}

// lastLook is what the latest look at the owners shows. The lock is held.
func (m *Manager) lastLook() view {
	var v view
	for _, o := range m.members() {
		if m.outranks(o) {
			v.stronger++
		}
	}
	working := map[string]bool{}
	for p, o := range m.owners {
		if !isPresence(p) && o.name != m.member {
			working[o.name] = true
		}
	}
	v.full = m.partitions > 0 && len(working) >= len(m.worked)*m.partitions
	for p := range m.held {
		v.owns = true
		v.busy = v.busy || m.inUse(p)
	}
	return v
}

// outranks tells whether a member has far more processor time than this one.
func (m *Manager) outranks(o peer) bool {
	return m.milliCores > 0 && o.milliCores >= strongFactor*m.milliCores
}
