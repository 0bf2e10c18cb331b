package ownership

import "time"

// This file has the rules by which weak VMs yield to stronger ones. The group assigns partitions evenly,
// whatever a member can serve. The owner of a busy service needs about 0.1 to 0.3 of a core. A VM with 0.2 of
// a core that also serves callers would answer them late.
//
// Weak VMs therefore join last, and only if the strong ones don't start. The capacity of the previous owners
// is on the store (see capacity.go). After a loss of all nodes each VM knows from its start whether to wait
// for stronger ones, for any number of members.

// Parameters of the rules.
const (
	// strongerFactor is how many times a member's processor time another member must have to count as
	// stronger.
	strongerFactor = 2
	// minStrongerMembers is how many stronger members must own a partition, also of announcementTopic, for
	// a weaker VM to yield. Two, because one may be lost at any time.
	minStrongerMembers = 2
	// strongerStartTimeout is how long a weak VM waits after its start for stronger previous owners. VMs
	// that start together do so within 0.3 s of each other, and a process is up within another 0.3 s.
	strongerStartTimeout = time.Second
	// initialWaitOfOneCore is how long a VM with one core waits if nothing is known of previous owners. A
	// VM with a fifth of a core waits five times as long, so that VMs that start together join in the order
	// of their processor time. The wait does little harm: without a record of previous owners there are
	// usually no jobs yet.
	initialWaitOfOneCore = 150 * time.Millisecond
	// maxInitialWait bounds the initial wait. By then, owners that were lost before the start of a VM are no
	// longer listed.
	maxInitialWait = 2 * time.Second
	// redundantYieldDelay is how long a weak member without work stays in the group while others own all
	// partitions with work.
	redundantYieldDelay = time.Second
	// yieldDelay is how long a member must have seen enough stronger members before it yields. It is
	// shorter than the pause between checks, so two checks in a row must have seen them.
	yieldDelay = 100 * time.Millisecond
	// idleYieldDelay is how long a member without a work partition stays in the group while the work
	// partitions are saturated with members. Each change of the members is a call, and may cause
	// reassignments.
	idleYieldDelay = 3 * time.Second
)

// ownershipSnapshot is what one read of the owners shows.
type ownershipSnapshot struct {
	strongerMembers int // members that own any partition and are stronger than this one is now
	// usuallyStronger is the same compared with this VM's usual processor time.
	usuallyStronger int
	// isSaturated is set if as many other members that are not weaker own work partitions as there are
	// work partitions.
	isSaturated   bool
	ownsPartition bool // this member owns a work partition
	ownsWork      bool // this member owns a work partition that has work now
	isCovered     bool // other members own all partitions that have work now
}

// yieldPolicy decides whether a VM yields. It is not safe for concurrent use.
type yieldPolicy struct {
	startedAt time.Time
	// isYielding is set while the VM stays out of the group. That is the case while it yields to stronger
	// members, while the work partitions are saturated, and during the initial wait of any VM whose processor
	// time is known.
	isYielding bool
	// joinAt is when a VM that yields joins, unless it has another reason to stay out by then.
	joinAt time.Time
	// outrankedSince is the time since which a member has seen enough stronger members. idleSince is the time
	// since which it has owned no work partition while these were saturated, redundantSince that since which
	// it was redundant. They are zero while their condition doesn't hold.
	outrankedSince, idleSince, redundantSince time.Time
	// isWeak is set once a member was seen that is stronger than this VM usually is.
	isWeak bool
}

// start begins the initial wait, at the first read of the owners. ownMilliCores is the VM's processor time in
// millicores, 0 if it is unknown; such a VM joins at once. Nothing is known of the previous owners yet.
func (p *yieldPolicy) start(ownMilliCores int, now time.Time) {
	p.startedAt = now
	p.isYielding = ownMilliCores > 0
	p.joinAt = now.Add(initialWait(ownMilliCores))
}

// initialWait returns how long a VM waits before it joins if nothing is known of the previous owners.
func initialWait(ownMilliCores int) time.Duration {
	return min(maxInitialWait, initialWaitOfOneCore*1000/time.Duration(max(1, ownMilliCores)))
}

// applyCapacityHint adjusts joinAt to the capacity of the previous owners in millicores, 0 if there is no record.
func (p *yieldPolicy) applyCapacityHint(ownMilliCores, previousMilliCores int) {
	switch {
	case previousMilliCores == 0:
	case previousMilliCores >= strongerFactor*ownMilliCores:
		p.joinAt = p.startedAt.Add(strongerStartTimeout)
	default:
		p.joinAt = p.startedAt
	}
}

// update decides from a read of the owners whether the VM yields.
func (p *yieldPolicy) update(s ownershipSnapshot, now time.Time) {
	isOutranked := s.strongerMembers >= minStrongerMembers
	p.isWeak = p.isWeak || s.usuallyStronger > 0
	// The group shows only members that own a partition. If all weak VMs were members, there would be
	// more members than partitions, and strong VMs that are back would get none and not be seen.
	isRedundant := p.isWeak && s.isCovered && !s.ownsWork
	if p.isYielding {
		if isOutranked {
			p.joinAt = now // if the stronger members are lost, this VM joins at the next check
		}
		// Soon after a start, members that were lost with all nodes may still be listed.
		isSaturated := s.isSaturated && now.Sub(p.startedAt) > maxInitialWait
		p.isYielding = isOutranked || isSaturated || isRedundant || now.Before(p.joinAt)
		p.outrankedSince, p.idleSince, p.redundantSince = time.Time{}, time.Time{}, time.Time{}
		return
	}
	p.outrankedSince = conditionSince(isOutranked, p.outrankedSince, now)
	p.idleSince = conditionSince(s.isSaturated && !s.ownsPartition, p.idleSince, now)
	p.redundantSince = conditionSince(isRedundant, p.redundantSince, now)
	switch {
	case isOutranked && !s.ownsWork:
		// Its partitions have no work. If it stayed, the partitions of other weak members that yield
		// might be reassigned to it first, and their service would be interrupted a second time.
		p.isYielding = true
	case isOutranked && now.Sub(p.outrankedSince) >= yieldDelay:
		p.isYielding = true
	case s.isSaturated && !s.ownsPartition && now.Sub(p.idleSince) >= idleYieldDelay:
		p.isYielding = true
	case isRedundant && now.Sub(p.redundantSince) >= redundantYieldDelay:
		p.isYielding = true
	}
	if p.isYielding {
		p.joinAt = now
	}
}

// conditionSince returns the time since which a condition has held, zero if it doesn't hold now. since is the previous
// result.
func conditionSince(isTrue bool, since, now time.Time) time.Time {
	switch {
	case !isTrue:
		return time.Time{}
	case since.IsZero():
		return now
	default:
		return since
	}
}
