package claim

import (
	"slices"
	"time"
)

// LeaseConfig holds the durations of leases. All nodes must use equal ones.
type LeaseConfig struct {
	// Duration is for how long a peer's ack keeps the right to grant. The member
	// itself counts on it for Margin less.
	Duration time.Duration
	Margin   time.Duration
	// Silence is after how long without an exchange a peer counts as lost.
	Silence time.Duration
	// Skew is how far a member's clock may be ahead of a peer's for an ack.
	Skew time.Duration
}

// Lease is a member's right to grant claims. A peer's ack says: I have no
// suspicion of you on the log, and if I append one, it will say that you may
// have granted until the end of this lease. A member is removed only by the
// suspicion of a strict majority of its own electorate; so for one with acks
// from half of it, itself counted, at least one of those suspicions comes from
// a peer that gave an ack, and what was granted under it lies below the floor
// of every new owner, whatever the member could read of the log.
type Lease struct {
	cfg        LeaseConfig
	self       string
	electorate []string
	// proposed is the electorate of a refresh record whose outcome is open; nil
	// when there is none. Either may be in force, so acks must do for both.
	proposed []string
	acks     map[string]Instant
}

// NewLease returns the Lease of member self without any ack.
func NewLease(cfg LeaseConfig, self string) *Lease {
	return &Lease{cfg: cfg, self: self, acks: map[string]Instant{}}
}

// SetElectorate takes the electorate that was folded.
func (l *Lease) SetElectorate(names []string) { l.electorate = slices.Clone(names) }

// Propose must be called before a refresh record is appended.
func (l *Lease) Propose(names []string) { l.proposed = slices.Clone(names) }

// Proposed ends Propose once the record's outcome was read back. SetElectorate
// must have been called with the state after it.
func (l *Lease) Proposed() { l.proposed = nil }

// Acked notes a peer's ack to a request that was sent at the given time.
func (l *Lease) Acked(peer string, sent Instant) { l.acks[peer] = sent }

// Valid implements Right.
//
// The monotonic clock stops while a VM is suspended, so a suspended member
// could believe in a lease that ended hours ago. The wall clock is checked too:
// either it has jumped on, and the lease shows as ended, or it has not, and the
// keys that it admits are as old as the lease, for which any new owner answers
// "unknown" (see Watch).
func (l *Lease) Valid(now Instant) bool {
	return l.holds(l.electorate, now) && (l.proposed == nil || l.holds(l.proposed, now))
}

func (l *Lease) holds(electorate []string, now Instant) bool {
	count := 0
	for _, m := range electorate {
		if m == l.self || l.current(m, now) {
			count++
		}
	}
	return len(electorate) > 0 && 2*count >= len(electorate)
}

func (l *Lease) current(peer string, now Instant) bool {
	sent, ok := l.acks[peer]
	term := l.cfg.Duration - l.cfg.Margin
	return ok && now.Mono-sent.Mono < term && now.Wall.Sub(sent.Wall) < term
}

// clockVote is one peer's clock as seen from here.
type clockVote struct {
	ahead time.Duration // how far the peer's clock is ahead of ours at least
	at    time.Duration
}

// Clocks compares this VM's clock with those of its peers. Keys carry mint
// times, so a member with a wrong clock must not decide on them.
type Clocks struct {
	skew  time.Duration
	keep  time.Duration
	votes map[string]clockVote
}

// NewClocks returns a Clocks that allows a difference of skew and forgets a
// peer after keep.
func NewClocks(skew, keep time.Duration) *Clocks {
	return &Clocks{skew: skew, keep: keep, votes: map[string]clockVote{}}
}

// Observe notes a peer's clock, read between sent and received. What the
// exchange took cannot count as a difference.
func (c *Clocks) Observe(peer string, theirs time.Time, sent, received Instant) {
	trip := received.Mono - sent.Mono
	ahead := theirs.Sub(sent.Wall.Add(trip / 2))
	switch {
	case ahead > trip/2:
		ahead -= trip / 2
	case ahead < -trip/2:
		ahead += trip / 2
	default:
		ahead = 0
	}
	c.votes[peer] = clockVote{ahead: ahead, at: received.Mono}
}

// Right reports whether this VM's clock agrees with at least half of its peers.
func (c *Clocks) Right(now Instant) bool {
	wrong, all := 0, 0
	for _, v := range c.votes {
		if now.Mono-v.at > c.keep {
			continue
		}
		all++
		if v.ahead > c.skew || v.ahead < -c.skew {
			wrong++
		}
	}
	return 2*wrong <= all
}
