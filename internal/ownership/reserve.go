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
	// strongFactor is how many times the processor time a member needs to have to
	// count as stronger.
	strongFactor = 2
	// enoughStrong is how many stronger members must own something for a weaker VM
	// to stand back: one may be lost at any time.
	enoughStrong = 2
	// strongComeWithin is how long a weak VM that starts waits for stronger ones that
	// owned last. VMs that start together do so within 0.3 s of each other, and a
	// process is up within another 0.3 s.
	strongComeWithin = time.Second
	// firstWait is how long a VM with a whole core waits where nothing is known of
	// earlier owners; one with a fifth waits five times as long, so that VMs that start
	// together join in the order of their strength. There are no jobs yet.
	firstWait = 150 * time.Millisecond
	// longestWait bounds it. By then owners that were lost before a VM's start are not
	// listed any more.
	longestWait = 2 * time.Second
	// confirmStrong is for how long enough stronger members must have owned something
	// before a member leaves to them: two looks in a row.
	confirmStrong = 100 * time.Millisecond
	// idleFor is how long a member that owns nothing stays where all partitions have
	// owners: each change of the members is a call, and may move partitions.
	idleFor = 3 * time.Second
)

// view is what one look at the owners shows.
type view struct {
	stronger int  // members that own something and have far more processor time
	full     bool // as many members own something as there are partitions to be worked on
	owns     bool // this member owns a partition that is worked on
	busy     bool // one of them is in use
}

// reserve decides whether a VM stands back. It is not safe for concurrent use.
type reserve struct {
	started time.Time
	back    bool
	// joinAt is when a VM that stands back joins, unless enough stronger ones own.
	joinAt time.Time
	// strongSince is since when a member has seen enough stronger ones, idleSince since
	// when it owns nothing beside partitions that all have owners. Zero if not.
	strongSince, idleSince time.Time
}

// begin starts at the first look at the owners. mine is the VM's processor time in
// thousandths of a core, 0 if it isn't known; nothing is known of earlier owners yet.
func (r *reserve) begin(mine int, now time.Time) {
	r.started = now
	r.back = mine > 0
	r.joinAt = now.Add(firstWaitOf(mine))
}

func firstWaitOf(mine int) time.Duration {
	return min(longestWait, firstWait*1000/time.Duration(max(1, mine)))
}

// learn takes how strong the last owners were, 0 if there were none.
func (r *reserve) learn(mine, last int) {
	switch {
	case last == 0:
	case last >= strongFactor*mine:
		r.joinAt = r.started.Add(strongComeWithin)
	default:
		r.joinAt = r.started
	}
}

// update takes a look.
func (r *reserve) update(v view, now time.Time) {
	enough := v.stronger >= enoughStrong
	if r.back {
		if enough {
			r.joinAt = now // should they be lost, it joins at the next look
		}
		// Soon after a start members may be listed that were lost with all nodes.
		full := v.full && now.Sub(r.started) > longestWait
		r.back = enough || full || now.Before(r.joinAt)
		r.strongSince, r.idleSince = time.Time{}, time.Time{}
		return
	}
	r.strongSince = sinceWhen(enough, r.strongSince, now)
	r.idleSince = sinceWhen(v.full && !v.owns, r.idleSince, now)
	switch {
	case enough && !v.busy:
		// What it owns moves no work. Were it to stay, partitions that busy members
		// leave would pass on to it first, and pause a second time.
		r.back = true
	case enough && now.Sub(r.strongSince) >= confirmStrong:
		r.back = true
	case v.full && !v.owns && now.Sub(r.idleSince) >= idleFor:
		r.back = true
	}
	if r.back {
		r.joinAt = now
	}
}

// sinceWhen keeps the time from which on something holds, zero while it doesn't.
func sinceWhen(holds bool, since, now time.Time) time.Time {
	switch {
	case !holds:
		return time.Time{}
	case since.IsZero():
		return now
	default:
		return since
	}
}
