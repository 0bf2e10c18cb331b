package claim

import (
	"maps"
	"slices"
	"time"
)

// Vote is a suspect or trust record that is due on the log.
type Vote struct {
	Member  string
	Suspect bool
	Seq     uint64
	// Until is when the last lease that was acked runs out, by the member's own
	// wall clock. Every key that the member could grant under that ack was
	// minted before Until plus the allowance.
	Until time.Time
}

type trust uint8

const (
	// trusted: acks are given.
	trusted trust = iota
	// suspecting: a suspicion is on the log or may be.
	suspecting
	// trusting: a record that takes the suspicion back is on its way.
	trusting
)

// watched is one peer as the Watch sees it. Times are of the monotonic clock.
type watched struct {
	trust   trust
	seq     uint64
	heard   time.Duration // last request from the peer
	reached time.Duration // last answer from the peer
	until   time.Time     // end of the last lease acked, by the peer's wall clock
}

// Watch is a member's part in the leases and the eviction of its peers.
//
// The meaning of an ack is kept by three rules. A suspicion says until when the
// last lease runs that was acked. No ack is given once a suspicion was appended.
// And acks are given again only after a trust record with a higher sequence
// number was read back, which makes every copy of the suspicion void, also one
// still under way.
type Watch struct {
	cfg     LeaseConfig
	peers   map[string]*watched
	stepped time.Duration
	// until is the end of the latest lease acked of all peers, those that are
	// gone included. No ack is given once retired is set.
	until   time.Time
	retired bool
}

// NewWatch returns a Watch without peers.
func NewWatch(cfg LeaseConfig) *Watch {
	return &Watch{cfg: cfg, peers: map[string]*watched{}}
}

// SetPeers takes the other members. A new one has Silence to be heard of.
func (w *Watch) SetPeers(now Instant, names []string) {
	for _, n := range names {
		if w.peers[n] == nil {
			w.peers[n] = &watched{heard: now.Mono, reached: now.Mono}
		}
	}
	maps.DeleteFunc(w.peers, func(n string, _ *watched) bool { return !contains(names, n) })
}

// Request notes a lease request that a peer sent at the given time of its wall
// clock, and returns whether it is acked. A peer whose clock is ahead gets no
// ack: it would admit keys that a new owner must refuse for as long after its
// eviction.
func (w *Watch) Request(now Instant, peer string, sent time.Time) bool {
	p := w.peers[peer]
	if p == nil {
		return false
	}
	p.heard = now.Mono
	if w.retired || p.trust != trusted || sent.After(now.Wall.Add(w.cfg.Skew)) {
		return false
	}
	if until := sent.Add(w.cfg.Duration); until.After(p.until) {
		p.until = until
	}
	if p.until.After(w.until) {
		w.until = p.until
	}
	return true
}

// Retire ends the acks for good, as before a planned leave, and returns when the
// last of the leases runs out that were acked, by their holders' wall clocks;
// zero when there were none.
func (w *Watch) Retire() time.Time {
	w.retired = true
	return w.until
}

// Reached notes that a peer answered a lease request of this member.
func (w *Watch) Reached(now Instant, peer string) {
	if p := w.peers[peer]; p != nil {
		p.reached = now.Mono
	}
}

// Step moves on and returns the votes that are due, by name. It must be called
// several times in Silence. logUp says that the log can be written: without it
// no vote is begun, since one whose outcome stays open would keep this member
// from giving acks for as long as the log is out.
//
// After a pause of this process nothing was heard for as long, which is no
// evidence against the peers.
func (w *Watch) Step(now Instant, logUp bool) []Vote {
	paused := now.Mono-w.stepped > w.cfg.Silence/2
	w.stepped = now.Mono
	var votes []Vote
	for _, name := range slices.Sorted(maps.Keys(w.peers)) {
		p := w.peers[name]
		if paused {
			p.heard, p.reached = now.Mono, now.Mono
		}
		if w.step(now, p, logUp) {
			p.seq++
			votes = append(votes, Vote{Member: name, Suspect: p.trust == suspecting, Seq: p.seq, Until: p.until})
		}
	}
	return votes
}

// step returns whether a vote is due.
func (w *Watch) step(now Instant, p *watched, logUp bool) bool {
	silent := now.Mono-min(p.heard, p.reached) > w.cfg.Silence
	switch p.trust {
	case trusted:
		if silent && logUp {
			p.trust = suspecting
			return true
		}
	case suspecting:
		if !silent && logUp {
			p.trust = trusting
			return true
		}
	case trusting:
		if silent && logUp {
			p.trust = suspecting
			return true
		}
	}
	return false
}

// Settled notes that a trust vote was read back as effective.
func (w *Watch) Settled(v Vote) {
	p := w.peers[v.Member]
	if p != nil && !v.Suspect && p.trust == trusting && p.seq == v.Seq {
		p.trust = trusted
	}
}

// Distrusts reports whether the peer has not this member's trust.
func (w *Watch) Distrusts(peer string) bool {
	p := w.peers[peer]
	return p != nil && p.trust != trusted
}

// Suspects returns the peers without this member's trust, by name.
func (w *Watch) Suspects() []string {
	var names []string
	for n, p := range w.peers {
		if p.trust != trusted {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}
