package ownership

import (
	"cmp"
	"context"
	"fmt"
	"hash/fnv"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/platform"
)

// Owner returns the address of the node that owns a partition, "" if none is known. refresh requests a new read
// of the owners, for a caller that has found the known owner to be wrong.
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

// CachedOwner returns the address of the node that owned a partition at the last read, "" if none is known. It
// doesn't wait: if the last read is older than maxOwnersAge, it starts another one in the background.
func (m *Manager) CachedOwner(p platform.Partition) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.ownersReadSentAt) > maxOwnersAge {
		go m.readOwners(context.Background(), maxOwnersAge) // one at a time; the call has a timeout of its own
	}
	return m.owners[p].address
}

// OwnerAddresses returns the addresses of the nodes that owned a partition at the last read.
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

// readOwners reads the owners of the partitions, unless a read was sent less than maxAge ago. It returns false if
// its own read failed, and true otherwise, also if the earlier read has failed or has not been answered yet.
func (m *Manager) readOwners(ctx context.Context, maxAge time.Duration) bool {
	m.mu.Lock()
	isStale := time.Since(m.ownersReadSentAt) > maxAge
	if isStale {
		m.ownersReadSentAt = time.Now() // concurrent callers use the known owners
		m.ownReadSentAt = m.ownersReadSentAt
	}
	m.mu.Unlock()
	if !isStale {
		return true
	}
	list, status, err := m.store.Owners(ctx, groupName)
	if status != platform.StoreOK {
		m.logger.Debug("failed to read the owners of the partitions", "status", status.String(), "error", err)
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setOwners(list)
	m.ownersRead.set(list, time.Now())
	return true
}

// setOwners sets the owners of all partitions. It must be called with mu held.
func (m *Manager) setOwners(list []platform.Owner) {
	clear(m.owners) // a partition that isn't listed has no owner
	for _, o := range list {
		if info, ok := parseMemberName(o.Member); ok {
			m.owners[o.Partition] = info
		}
	}
}

// useRelayedOwners uses the owners that another node has read, if this VM yields and one tells, unless this node has
// read them itself since: a caller that has found an owner to be wrong reads at once. It returns false if no node
// tells.
func (m *Manager) useRelayedOwners() bool {
	if m.relayed == nil || !m.IsYielding() {
		return false
	}
	list, asOf, ok := m.relayed()
	if !ok {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if asOf.After(m.ownReadSentAt) {
		m.setOwners(list)
		m.ownersReadSentAt = time.Now()
	}
	return true
}

// ownersRead is the latest answer of the store to a read of this node, for nodes that follow it.
type ownersRead struct {
	list       []platform.Owner
	version    uint64 // changes with the list
	answeredAt time.Time
	changed    chan struct{} // closed when the version changes
}

func (r *ownersRead) set(list []platform.Owner, now time.Time) {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b platform.Owner) int {
		return cmp.Or(cmp.Compare(a.Partition.Topic, b.Partition.Topic), cmp.Compare(a.Partition.Part, b.Partition.Part))
	})
	h := fnv.New64a()
	for _, o := range sorted {
		fmt.Fprintf(h, "%s/%d=%s;", o.Partition.Topic, o.Partition.Part, o.Member)
	}
	r.list, r.answeredAt = sorted, now
	if version := h.Sum64(); version != r.version {
		r.version = version
		close(r.changed)
		r.changed = make(chan struct{})
	}
}

// OwnersRead is what this node has last read of the owners from the store.
type OwnersRead struct {
	List    []platform.Owner
	Version uint64        // changes with the list
	Age     time.Duration // of the answer
	// Changed is closed when the version changes.
	Changed <-chan struct{}
}

// LastOwnersRead returns the last read of the owners that the store has answered. ok is false if there is none.
func (m *Manager) LastOwnersRead() (read OwnersRead, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.ownersRead
	return OwnersRead{List: r.list, Version: r.version, Age: time.Since(r.answeredAt), Changed: r.changed}, !r.answeredAt.IsZero()
}

// RelayCandidates returns the addresses of other nodes that own a partition: those without work, or all if fewer
// than minRelays have none.
func (m *Manager) RelayCandidates() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	var all []string
	var busy []string
	for p, o := range m.owners {
		if o.address != m.address && !slices.Contains(all, o.address) {
			all = append(all, o.address)
		}
		if !isAnnouncement(p) && m.hasWork(p) {
			busy = append(busy, o.address)
		}
	}
	slices.Sort(all)
	if idle := slices.DeleteFunc(slices.Clone(all), func(a string) bool { return slices.Contains(busy, a) }); len(idle) >= minRelays {
		return idle
	}
	return all
}

// minRelays is the number of nodes without work below which nodes with work are followed as well.
const minRelays = 2

// owningMembers returns the members that own a partition of any topic, each once. It must be called with mu held.
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

// snapshot returns what the last read of the owners shows. It must be called with mu held.
func (m *Manager) snapshot() ownershipSnapshot {
	var s ownershipSnapshot
	for _, o := range m.owningMembers() {
		if m.isOutrankedBy(o) && m.mayBeUnslowed(o) {
			s.strongerMembers++
		}
		if isStronger(o.milliCores, m.milliCores) {
			s.usuallyStronger++
		}
	}
	workOwners := map[string]bool{}
	for p, o := range m.owners {
		if !isAnnouncement(p) && o.name != m.memberName && !m.outranks(o) {
			workOwners[o.name] = true
		}
	}
	s.isSaturated = m.partitions > 0 && len(workOwners) >= len(m.workTopics)*m.partitions
	for p := range m.owned {
		s.ownsPartition = true
		s.ownsWork = s.ownsWork || m.hasWork(p)
	}
	s.isCovered = m.isWorkCovered()
	return s
}

// isWorkCovered reports whether other members own all partitions that have work now. It must be called with mu
// held.
func (m *Manager) isWorkCovered() bool {
	if m.partitions == 0 {
		return false
	}
	for _, topic := range m.workTopics {
		for part := range m.partitions {
			p := platform.Partition{Topic: topic, Part: part}
			if o, ok := m.owners[p]; m.hasWork(p) && (!ok || o.name == m.memberName) {
				return false
			}
		}
	}
	return true
}

// outranks reports whether this node has at least strongerFactor times the processor time of a member.
func (m *Manager) outranks(o memberInfo) bool { return isStronger(m.currentMilliCores(), o.milliCores) }

// isOutrankedBy reports whether a member has at least strongerFactor times the processor time of this one.
func (m *Manager) isOutrankedBy(o memberInfo) bool {
	return isStronger(o.milliCores, m.currentMilliCores())
}

// isStronger reports whether a VM with milliCores is stronger than another one. It is not if the processor time of the
// other one is unknown.
func isStronger(milliCores, other int) bool { return other > 0 && milliCores >= strongerFactor*other }
