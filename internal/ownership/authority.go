package ownership

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/platform"
)

// The authority over a partition is the right to start its tasks and to renew their leases.
//
// A node without answers from the store is either cut off, and its partitions may have been reassigned, or
// the store is down for everyone, and its tasks must keep running. To tell these apart it asks the other
// members when the store last answered them: a successor is a member to which the store has answered a join.

// memberQueryTimeout bounds a query to another member, which answers from memory. It leaves time to act on
// the answer before the authority that results from it ends.
const memberQueryTimeout = 800 * time.Millisecond

// MemberClient queries other members.
type MemberClient interface {
	// JoinStatus returns the join status of the node at an address. An error means that the node did not
	// answer.
	JoinStatus(ctx context.Context, address string) (JoinStatus, error)
}

// JoinStatus states when the store last answered a join of a node, and the partitions that the node owns.
type JoinStatus struct {
	Never bool          // the store has not answered a join of this node yet
	Age   time.Duration // time since the last answer
	Owned []platform.Partition
	// IsSlowed is set if the node's VM is slower than usual.
	IsSlowed bool
}

// instant is a monotonic time and the total time for which the machine had been suspended by then. The
// monotonic clock stops during a suspension.
type instant struct {
	at           time.Time
	suspendedFor time.Duration
}

func (m *Manager) currentInstant() instant {
	return instant{at: time.Now(), suspendedFor: m.suspendedFor()}
}

// suspendAdjustedTime converts an instant to the current monotonic clock, counting time suspended since as
// elapsed. It returns zero for the zero instant.
func (m *Manager) suspendAdjustedTime(i instant) time.Time {
	if i.at.IsZero() {
		return time.Time{}
	}
	return i.at.Add(-max(0, m.suspendedFor()-i.suspendedFor))
}

// ttlExpiresAt returns when a TTL that began at an instant ends. It returns zero for the zero instant.
func (m *Manager) ttlExpiresAt(i instant) time.Time {
	if i.at.IsZero() {
		return time.Time{}
	}
	return m.suspendAdjustedTime(i).Add(m.ttl)
}

// TTL returns the time without a join after which the group assigns a member's partitions to others.
func (m *Manager) TTL() time.Duration { return m.ttl }

// OwnedUntil returns the time until which the group can't reassign a partition because of missing joins: a
// TTL after the latest join that confirmed the partition was sent. It returns zero if this node doesn't own
// the partition. The group may also reassign partitions for other reasons at any time; this node learns of
// that from its next join, joinInterval later.
func (m *Manager) OwnedUntil(p platform.Partition) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	if own := m.owned[p]; own != nil {
		return m.ttlExpiresAt(own.confirmingJoinSentAt)
	}
	return time.Time{}
}

// AuthorityUntil returns the time until which this node has the authority over a partition. That is a TTL
// after the latest join that confirmed the partition was sent or, if later, a TTL after the last time at
// which all other members were asked and none of them could be a successor. So the authority ends at most a
// TTL after a successor learns that it owns the partition, however the group assigns partitions.
// AuthorityUntil returns zero if this node doesn't own the partition.
func (m *Manager) AuthorityUntil(p platform.Partition) time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	own := m.owned[p]
	if own == nil {
		return time.Time{}
	}
	until := m.ttlExpiresAt(own.confirmingJoinSentAt)
	if byMembers := m.ttlExpiresAt(m.noSuccessorAsOf); byMembers.After(until) {
		return byMembers
	}
	return until
}

// JoinStatus returns the join status of this node, as the answer to another member's query.
func (m *Manager) JoinStatus() JoinStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastJoinAnsweredAt.IsZero() {
		return JoinStatus{Never: true, IsSlowed: m.isSlowed()}
	}
	return JoinStatus{Age: time.Since(m.lastJoinAnsweredAt), Owned: slices.Collect(maps.Keys(m.owned)), IsSlowed: m.isSlowed()}
}

// memberAnswer is what another member has answered while the store did not answer this node.
type memberAnswer struct {
	askedAt                 instant // of the latest query whose answer ruled the member out as a successor
	joinSentAt              instant // latest answered join of this node at that time; the answer counts for this join only
	isQueryInFlight         bool
	possibleSuccessorReason string // "" if the member can't be a successor or has not been asked
}

// queryMembers asks the other members, while joins are not answered, whether one of them may be a successor
// of this node. It returns once ctx has ended.
func (m *Manager) queryMembers(ctx context.Context) {
	var queries sync.WaitGroup
	defer queries.Wait()
	for ctx.Err() == nil {
		wait.Pause(ctx, joinInterval)
		for _, address := range m.membersToQuery() {
			queries.Go(func() { m.queryMember(ctx, address) })
		}
		m.logConfirmationChange()
	}
}

// membersToQuery returns the addresses of the members without a query in flight, and marks their queries as
// in flight. It returns none while joins are answered or nothing is owned.
func (m *Manager) membersToQuery() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.owned) == 0 || time.Since(m.lastAnsweredJoinSentAt.at) < 2*joinInterval {
		return nil
	}
	var addresses []string
	others := m.otherAddresses()
	for _, address := range others {
		if m.memberAnswers[address] == nil {
			m.memberAnswers[address] = &memberAnswer{}
		}
		if !m.memberAnswers[address].isQueryInFlight {
			m.memberAnswers[address].isQueryInFlight = true
			addresses = append(addresses, address)
		}
	}
	if len(others) == 0 {
		m.noSuccessorAsOf = m.currentInstant() // without other members there is no successor
	}
	return addresses
}

// otherAddresses returns the addresses of the other members that owned a partition at the last read. It must
// be called with mu held.
func (m *Manager) otherAddresses() []string {
	var addresses []string
	for _, member := range m.owningMembers() {
		if member.address != m.address {
			addresses = append(addresses, member.address)
		}
	}
	return addresses
}

func (m *Manager) queryMember(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, memberQueryTimeout)
	defer cancel()
	askedAt := m.currentInstant()
	status, err := m.memberClient.JoinStatus(ctx, address)
	m.mu.Lock()
	defer m.mu.Unlock()
	answer := m.memberAnswers[address]
	answer.isQueryInFlight = false
	if err != nil {
		answer.possibleSuccessorReason = "does not answer: " + err.Error()
		return
	}
	answer.askedAt, answer.joinSentAt = askedAt, m.lastAnsweredJoinSentAt
	if answer.possibleSuccessorReason = m.possibleSuccessorReason(status); answer.possibleSuccessorReason != "" {
		answer.askedAt = instant{}
	}
	m.noSuccessorAsOf = m.allRuledOutAt()
}

// possibleSuccessorReason returns why another member may own a partition that this node owns, "" if it can't.
// It can't if the store has not answered it since the latest answered join of this node. It can't either if
// the store has answered it within the TTL of that join and it owns none of this node's partitions: if the
// group has reassigned a partition in that time, the new owner states that it owns it. The method must be
// called with mu held.
func (m *Manager) possibleSuccessorReason(status JoinStatus) string {
	answeredAt := time.Now().Add(-status.Age)
	switch {
	case status.Never || !answeredAt.After(m.suspendAdjustedTime(m.lastAnsweredJoinSentAt)):
		return "" // a later join confirmed the partitions to this node
	case answeredAt.After(m.ttlExpiresAt(m.lastAnsweredJoinSentAt)):
		return "has joined since the TTL expired"
	}
	for _, p := range status.Owned {
		if m.owned[p] != nil {
			return "owns a partition of this node" // the group has reassigned it
		}
	}
	return ""
}

// allRuledOutAt returns the latest instant as of which all other members are known to be no successors. For
// each member that is when it was last asked with an answer that rules it out, and the earliest of these
// counts. allRuledOutAt returns zero if a member has not given such an answer since the latest answered join
// of this node. It must be called with mu held.
func (m *Manager) allRuledOutAt() instant {
	var earliest instant
	for _, address := range m.otherAddresses() {
		answer := m.memberAnswers[address]
		if answer == nil || answer.joinSentAt != m.lastAnsweredJoinSentAt || answer.askedAt.at.IsZero() {
			return instant{}
		}
		if earliest.at.IsZero() || answer.askedAt.at.Before(earliest.at) {
			earliest = answer.askedAt
		}
	}
	return earliest
}

// logConfirmationChange logs, while the store doesn't answer, when the other members confirm that none of
// them is a successor, and when one of them may be.
func (m *Manager) logConfirmationChange() {
	m.mu.Lock()
	defer m.mu.Unlock()
	membershipExpiresAt := m.ttlExpiresAt(m.lastAnsweredJoinSentAt)
	if m.lastAnsweredJoinSentAt.at.IsZero() || len(m.owned) == 0 || time.Now().Before(membershipExpiresAt) {
		m.loggedConfirmation = confirmedByJoin
		return
	}
	confirmation := confirmedByMembers
	reason := ""
	if !time.Now().Before(m.ttlExpiresAt(m.noSuccessorAsOf)) {
		confirmation = unconfirmed
		for _, address := range m.otherAddresses() {
			if answer := m.memberAnswers[address]; answer != nil && answer.possibleSuccessorReason != "" {
				reason = address + " " + answer.possibleSuccessorReason
				break
			}
		}
	}
	if confirmation == m.loggedConfirmation {
		return
	}
	m.loggedConfirmation = confirmation
	sinceJoinMS := time.Since(m.lastAnsweredJoinSentAt.at).Milliseconds()
	if confirmation == confirmedByMembers {
		m.logger.Info("store answers no member, partitions are kept", "since_ms", sinceJoinMS)
		return
	}
	m.logger.Warn("another member may own the partitions", "reason", reason, "since_ms", sinceJoinMS)
}

// ownershipConfirmation states what confirms that no other member owns this node's partitions. It is used
// for the log only.
type ownershipConfirmation int

const (
	confirmedByJoin    ownershipConfirmation = iota // by an answered join
	confirmedByMembers                              // by the answers of all other members
	unconfirmed
)
