package ownership

import "time"

// Rules for VMs that leave owning to stronger ones. The group deals partitions out
// evenly, whatever a member can bear. The owner of a service in demand needs some
// 0.1 to 0.3 of a core; a VM with 0.2 that also serves callers answers those late.
//
// So the weak join last, and only if the strong don't come. How strong the owners were
// is on the store (see memory.go): after a loss of all nodes each VM knows from its
// start on whether to wait for stronger ones, however many members there are.
const (
	// strongerFactor is how many times the processor time a member needs to have to
	// count as stronger.
	strongerFactor = 2
	// minStrongerMembers is how many stronger members must own something for a weaker VM
	// to stand back: one may be lost at any time.
	minStrongerMembers = 2
	// strongerStartTimeout is how long a weak VM that starts waits for stronger ones that
	// owned last. VMs that start together do so within 0.3 s of each other, and a
	// process is up within another 0.3 s.
	strongerStartTimeout = time.Second
	// initialWaitOfOneCore is how long a VM with a whole core waits where nothing is known of
	// earlier owners; one with a fifth waits five times as long, so that VMs that start
	// together join in the order of their strength. There are no jobs yet.
	initialWaitOfOneCore = 150 * time.Millisecond
	// maxInitialWait bounds it. By then owners that were lost before a VM's start are not
	// listed any more.
	maxInitialWait = 2 * time.Second
	// yieldDelay is for how long enough stronger members must have owned something
	// before a member leaves to them: two looks in a row.
	yieldDelay = 100 * time.Millisecond
	// idleYieldDelay is how long a member that owns nothing stays where all partitions have
	// owners: each change of the members is a call, and may move partitions.
	idleYieldDelay = 3 * time.Second
)

// ownershipSnapshot is what one look at the owners shows.
type ownershipSnapshot struct {
	strongerMembers int  // members that own something and have far more processor time
	isSaturated     bool // as many members own something as there are partitions to be worked on
	ownsPartition   bool // this member owns a partition that is worked on
	ownsWork        bool // one of them is in use
}

// yieldPolicy decides whether a VM stands back. It is not safe for concurrent use.
type yieldPolicy struct {
	startedAt  time.Time
	isYielding bool
	// joinAt is when a VM that stands back joins, unless enough stronger ones own.
	joinAt time.Time
	// outrankedSince is since when a member has seen enough stronger ones, idleSince since
	// when it owns nothing beside partitions that all have owners. Zero if not.
	outrankedSince, idleSince time.Time
}

// start starts at the first look at the owners. mine is the VM's processor time in
// thousandths of a core, 0 if it isn't known; nothing is known of earlier owners yet.
func (p *yieldPolicy) start(ownMilliCores int, now time.Time) {
	p.startedAt = now
	p.isYielding = ownMilliCores > 0
	p.joinAt = now.Add(initialWait(ownMilliCores))
}

func initialWait(ownMilliCores int) time.Duration {
	return min(maxInitialWait, initialWaitOfOneCore*1000/time.Duration(max(1, ownMilliCores)))
}

// applyCapacityHint takes how strong the last owners were, 0 if there were none.
func (p *yieldPolicy) applyCapacityHint(ownMilliCores, lastMilliCores int) {
	switch {
	case lastMilliCores == 0:
	case lastMilliCores >= strongerFactor*ownMilliCores:
		p.joinAt = p.startedAt.Add(strongerStartTimeout)
	default:
		p.joinAt = p.startedAt
	}
}

// update takes a look.
func (p *yieldPolicy) update(s ownershipSnapshot, now time.Time) {
	isOutranked := s.strongerMembers >= minStrongerMembers
	if p.isYielding {
		if isOutranked {
			p.joinAt = now // should they be lost, it joins at the next look
		}
		// Soon after a start members may be listed that were lost with all nodes.
		isSaturated := s.isSaturated && now.Sub(p.startedAt) > maxInitialWait
		p.isYielding = isOutranked || isSaturated || now.Before(p.joinAt)
		p.outrankedSince, p.idleSince = time.Time{}, time.Time{}
		return
	}
	p.outrankedSince = conditionSince(isOutranked, p.outrankedSince, now)
	p.idleSince = conditionSince(s.isSaturated && !s.ownsPartition, p.idleSince, now)
	switch {
	case isOutranked && !s.ownsWork:
		// What it owns moves no work. Were it to stay, partitions that busy members
		// leave would pass on to it first, and pause a second time.
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

// conditionSince keeps the time from which on something holds, zero while it doesn't.
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
