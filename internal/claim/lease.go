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
	// PeerTimeout is after how long without an exchange a peer counts as lost.
	PeerTimeout time.Duration
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

// ProposeElectorate must be called before a refresh record is appended.
func (l *Lease) ProposeElectorate(names []string) { l.proposed = slices.Clone(names) }

// ConfirmElectorate ends Propose once the record's outcome was read back. SetElectorate
// must have been called with the state after it.
func (l *Lease) ConfirmElectorate() { l.proposed = nil }

// RecordAck notes a peer's ack to a request that was sent at the given time.
func (l *Lease) RecordAck(peer string, sent Instant) { l.acks[peer] = sent }

// Valid implements Right.
//
// The monotonic clock stops while a VM is suspended, so a suspended member
// could believe in a lease that ended hours ago. The wall clock is checked too:
// either it has jumped on, and the lease shows as ended, or it has not, and the
// keys that it admits are as old as the lease, for which any new owner answers
// "unknown" (see Watch).
func (l *Lease) Valid(now Instant) bool {
	return l.ackedByHalf(l.electorate, now) && (l.proposed == nil || l.ackedByHalf(l.proposed, now))
}

func (l *Lease) ackedByHalf(electorate []string, now Instant) bool {
	count := 0
	for _, m := range electorate {
		if m == l.self || l.ackCurrent(m, now) {
			count++
		}
	}
	return len(electorate) > 0 && 2*count >= len(electorate)
}

func (l *Lease) ackCurrent(peer string, now Instant) bool {
	sent, ok := l.acks[peer]
	term := l.cfg.Duration - l.cfg.Margin
	return ok && now.Mono-sent.Mono < term && now.Wall.Sub(sent.Wall) < term
}

// clockSample is one peer's clock as seen from here.
type clockSample struct {
	ahead   time.Duration // how far the peer's clock is ahead of ours at least
	takenAt time.Duration
}

// ClockCheck compares this VM's clock with those of its peers. Keys carry mint
// times, so a member with a wrong clock must not decide on them.
type ClockCheck struct {
	skew    time.Duration
	maxAge  time.Duration
	samples map[string]clockSample
}

// NewClockCheck returns a Clocks that allows a difference of skew and forgets a
// peer after keep.
func NewClockCheck(skew, maxAge time.Duration) *ClockCheck {
	return &ClockCheck{skew: skew, maxAge: maxAge, samples: map[string]clockSample{}}
}

// Observe notes a peer's clock, read between sent and received. What the
// exchange took cannot count as a difference.
func (c *ClockCheck) Observe(peer string, peerTime time.Time, sent, received Instant) {
	roundTrip := received.Mono - sent.Mono
	ahead := peerTime.Sub(sent.Wall.Add(roundTrip / 2))
	switch {
	case ahead > roundTrip/2:
		ahead -= roundTrip / 2
	case ahead < -roundTrip/2:
		ahead += roundTrip / 2
	default:
		ahead = 0
	}
	c.samples[peer] = clockSample{ahead: ahead, takenAt: received.Mono}
}

// Agrees reports whether this VM's clock agrees with at least half of its peers.
func (c *ClockCheck) Agrees(now Instant) bool {
	wrong, all := 0, 0
	for _, v := range c.samples {
		if now.Mono-v.takenAt > c.maxAge {
			continue
		}
		all++
		if v.ahead > c.skew || v.ahead < -c.skew {
			wrong++
		}
	}
	return 2*wrong <= all
}
