package claim

import (
	"slices"
	"time"
)

// LeaseConfig holds the durations of leases. All nodes must use the same
// values.
type LeaseConfig struct {
	// Duration is how long a peer's ack extends the right to grant. The holder
	// itself counts on it for Margin less.
	Duration time.Duration
	Margin   time.Duration
	// PeerTimeout is how long a peer may be silent, in requests or in answers,
	// before it counts as lost.
	PeerTimeout time.Duration
	// Skew is how far a member's clock may be ahead of the peer's clock for the
	// peer to ack.
	Skew time.Duration
}

// Lease is a member's right to grant claims.
//
// With an ack a peer states that it has no suspicion of the member on the log,
// and that a suspicion which it appends later will state that the member may
// have granted until the end of this lease. A member is removed only if a
// strict majority of its electorate suspects it. If at least half of the
// electorate, the member included, acked its lease, at least one of those
// suspicions comes from a peer that acked. Whatever the member granted is then
// below the floor of every new owner, however far the member had read the log.
type Lease struct {
	cfg        LeaseConfig
	self       string
	electorate []string
	// proposed is the electorate of a refresh record whose outcome is not known.
	// Nil if there is none. Either electorate may be in force, so the acks must
	// suffice for both.
	proposed []string
	acks     map[string]Instant
}

// NewLease returns the Lease of member self, without acks.
func NewLease(cfg LeaseConfig, self string) *Lease {
	return &Lease{cfg: cfg, self: self, acks: map[string]Instant{}}
}

// SetElectorate sets the electorate from the member's folded state.
func (l *Lease) SetElectorate(names []string) { l.electorate = slices.Clone(names) }

// ProposeElectorate records an electorate whose refresh record is about to be
// appended. It must be called before the append.
func (l *Lease) ProposeElectorate(names []string) { l.proposed = slices.Clone(names) }

// ConfirmElectorate drops the proposed electorate once the outcome of its
// record was read back. SetElectorate must have been called with the state
// after that record.
func (l *Lease) ConfirmElectorate() { l.proposed = nil }

// RecordAck records that a peer acked a lease request that this member sent at
// the given time.
func (l *Lease) RecordAck(peer string, sent Instant) { l.acks[peer] = sent }

// Valid implements Authority.
//
// The monotonic clock stops while a VM is suspended, so a resumed member could
// count on a lease that ended hours ago. The wall clock is therefore checked,
// too. If it has advanced, the lease has expired. If it has not, the keys that
// the member admits are as old as the lease, and any new owner answers
// "unknown" for them (see PeerMonitor).
func (l *Lease) Valid(now Instant) bool {
	return l.ackedByHalf(l.electorate, now) && (l.proposed == nil || l.ackedByHalf(l.proposed, now))
}

// ackedByHalf reports whether at least half of the electorate, this member
// included, has a current ack.
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

// clockSample is one comparison with a peer's clock.
type clockSample struct {
	ahead   time.Duration // by which the peer's clock is ahead at least
	takenAt time.Duration
}

// ClockCheck compares this VM's clock with the clocks of its peers. Keys carry
// mint times, so a member whose clock is wrong must not decide on them.
type ClockCheck struct {
	skew    time.Duration
	maxAge  time.Duration
	samples map[string]clockSample
}

// NewClockCheck returns a ClockCheck that tolerates a difference of skew and
// ignores samples older than maxAge.
func NewClockCheck(skew, maxAge time.Duration) *ClockCheck {
	return &ClockCheck{skew: skew, maxAge: maxAge, samples: map[string]clockSample{}}
}

// Observe records a peer's clock, which was read between sent and received. A
// difference that the round trip could explain does not count.
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

// Agrees reports whether this VM's clock agrees with at least half of its
// peers.
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
