package ownership

import "time"

// Rules by which weak VMs yield to stronger ones. The group assigns partitions evenly, whatever a member can
// serve. The owner of a service in demand needs about 0.1 to 0.3 of a core; a VM with 0.2 of a core that also
// serves callers answers them late.
//
// Weak VMs therefore join last, and only if the strong ones don't start. The capacity of the last owners is on
// the store (see capacity.go): after a loss of all nodes each VM knows from its start whether to wait for
// stronger ones, however many members there are.
const (
	// strongerFactor is how many times a member's processor time another member must have to count as
	// stronger.
	strongerFactor = 2
	// minStrongerMembers is how many stronger members must own something for a weaker VM to yield: one may
	// be lost at any time.
	minStrongerMembers = 2
	// strongerStartTimeout is how long a weak VM that starts waits for stronger ones that were the last
	// owners. VMs that start together do so within 0.3 s of each other, and a process is up within another
	// 0.3 s.
	strongerStartTimeout = time.Second
	// initialWaitOfOneCore is how long a VM with one core waits if nothing is known of earlier owners. A VM
	// with a fifth of a core waits five times as long, so that VMs that start together join in the order of
	// their processor time. There are no jobs yet.
	initialWaitOfOneCore = 150 * time.Millisecond
	// maxInitialWait bounds the initial wait. By then, owners that were lost before the start of a VM are no
	// longer listed.
	maxInitialWait = 2 * time.Second
	// yieldDelay is how long enough stronger members must have owned something before a member yields to
	// them: two checks in a row.
	yieldDelay = 100 * time.Millisecond
	// idleYieldDelay is how long a member that owns nothing stays if all partitions have owners. Each change
	// of the members is a call, and may move partitions.
	idleYieldDelay = 3 * time.Second
)

// ownershipSnapshot is what one read of the owners shows.
type ownershipSnapshot struct {
	strongerMembers int  // members that own something and are stronger than this one
	isSaturated     bool // as many other members own partitions of work topics as there are such partitions
	ownsPartition   bool // this member owns a partition of a work topic
	ownsWork        bool // this member owns a partition that has work now
}

// yieldPolicy decides whether a VM yields. It is not safe for concurrent use.
type yieldPolicy struct {
	startedAt  time.Time
	isYielding bool
	// joinAt is when a VM that yields joins, unless enough stronger members own something.
	joinAt time.Time
	// outrankedSince is since when a member has seen enough stronger members. idleSince is since when it has
	// owned nothing while the partitions were saturated. They are zero if that is not so.
	outrankedSince, idleSince time.Time
}

// start begins with the first read of the owners. ownMilliCores is the VM's processor time in millicores, 0 if it
// is unknown. Nothing is known of the last owners yet.
func (p *yieldPolicy) start(ownMilliCores int, now time.Time) {
	p.startedAt = now
	p.isYielding = ownMilliCores > 0
	p.joinAt = now.Add(initialWait(ownMilliCores))
}

// initialWait returns how long a VM waits before it joins if nothing is known of the last owners.
func initialWait(ownMilliCores int) time.Duration {
	return min(maxInitialWait, initialWaitOfOneCore*1000/time.Duration(max(1, ownMilliCores)))
}

// applyCapacityHint adjusts joinAt to the capacity of the last owners in millicores, 0 if there is no record.
func (p *yieldPolicy) applyCapacityHint(ownMilliCores, previousMilliCores int) {
	switch {
	case previousMilliCores == 0:
	case previousMilliCores >= strongerFactor*ownMilliCores:
		p.joinAt = p.startedAt.Add(strongerStartTimeout)
	default:
		p.joinAt = p.startedAt
	}
}

// update decides from a read of the owners.
func (p *yieldPolicy) update(s ownershipSnapshot, now time.Time) {
	isOutranked := s.strongerMembers >= minStrongerMembers
	if p.isYielding {
		if isOutranked {
			p.joinAt = now // if they are lost, this VM joins at the next check
		}
		// Soon after a start, members that were lost with all nodes may still be listed.
		isSaturated := s.isSaturated && now.Sub(p.startedAt) > maxInitialWait
		p.isYielding = isOutranked || isSaturated || now.Before(p.joinAt)
		p.outrankedSince, p.idleSince = time.Time{}, time.Time{}
		return
	}
	p.outrankedSince = conditionSince(isOutranked, p.outrankedSince, now)
	p.idleSince = conditionSince(s.isSaturated && !s.ownsPartition, p.idleSince, now)
	switch {
	case isOutranked && !s.ownsWork:
		// Its partitions have no work. If it stayed, partitions that busy members leave would pass on
		// to it first, and would pause a second time.
		p.isYielding = true
	case isOutranked && now.Sub(p.outrankedSince) >= yieldDelay:
		p.isYielding = true
	case s.isSaturated && !s.ownsPartition && now.Sub(p.idleSince) >= idleYieldDelay:
		p.isYielding = true
	}
	if p.isYielding {
		p.joinAt = now
	}
}

// conditionSince returns the time since which a condition holds, zero while it doesn't hold. since is the previous
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
