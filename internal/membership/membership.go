// Package membership keeps this process a member of the entry VMs. It joins,
// renews the lease, applies the changes of the membership one by one, pulls
// records from old owners, votes on peers that fell silent, and leaves in a
// planned way.
//
// For the safety argument see docs/adr/0011-membership-leases-and-eviction.md.
package membership

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// Log is the part of the process's follower that the membership uses.
type Log interface {
	View(func(*ledger.State))
	Fresh() time.Time
	Changed() <-chan struct{}
	Propose(ctx context.Context, rec record.Record) (ledger.Outcome, error)
}

// Config holds the dependencies and settings of a Duty.
type Config struct {
	// Node, Zone and Address (IP:port of the peer server) are written to the join
	// record.
	Node    string
	Zone    string
	Address string
	Log     Log
	Peers   *entrypeer.Node
	Claim   claim.Config
	Lease   claim.LeaseConfig
	// Readiness is set to unready while the process is not a member or refuses all
	// new keys. May be nil.
	Readiness Readiness
	Logger    hclog.Logger
}

// Readiness controls whether the balancer sends callers to this process.
type Readiness interface {
	SetNotReady(source, reason string)
	SetReady(source string)
}

const (
	// stepsPerPeerTimeout is how often the peer monitor runs in PeerTimeout.
	stepsPerPeerTimeout = 20
	// renewalsPerLease is how often a lease is renewed in its duration.
	renewalsPerLease = 5
	// maxLogAge is the maximum age of the latest read that reached the end of the
	// log for the log to count as reachable. A read waits for up to 2 s.
	maxLogAge = 5 * time.Second
	// rejoinMin and rejoinMax limit the pause before a removed member joins again.
	// The pause doubles with each removal.
	rejoinMin = time.Second
	rejoinMax = time.Minute
	// probeTimeout limits one check whether a peer is reachable.
	probeTimeout = 500 * time.Millisecond
	// leaveLimit limits a leave, including the handover.
	leaveLimit = 10 * time.Second
	// readinessSource identifies this duty to Readiness.
	readinessSource = "membership"
	// joinGrace is how long a starting process waits for its join before it
	// accepts callers without it. During an outage of the log it can still serve
	// repeatable requests, and all other starting processes may be in the same
	// state.
	joinGrace = 3 * time.Second
)

// Duty keeps the membership of this process.
type Duty struct {
	cfg Config

	leaveRequested chan struct{}
	requestLeave   sync.Once
	left           chan struct{}
	closeLeft      sync.Once
}

// New returns a Duty that joins when Serve runs.
func New(cfg Config) *Duty {
	return &Duty{cfg: cfg, leaveRequested: make(chan struct{}), left: make(chan struct{})}
}

// Leave ends the membership in a planned way. It returns once the records were
// handed over, after leaveLimit or when ctx ends. The process must have ended
// its requests before, because claims held by a member that left count as
// unknown.
func (d *Duty) Leave(ctx context.Context) {
	d.requestLeave.Do(func() { close(d.leaveRequested) })
	timer := time.NewTimer(leaveLimit)
	defer timer.Stop()
	select {
	case <-d.left:
	case <-timer.C:
		d.cfg.Logger.Warn("leaving the entry VMs timed out")
	case <-ctx.Done():
	}
}

// Serve joins, keeps the membership, and joins again after a removal, until ctx
// ends.
func (d *Duty) Serve(ctx context.Context) error {
	rejoin := rejoinMin
	changed := d.cfg.Log.Changed()
	d.setReadiness("joining the entry VMs")
	grace := time.AfterFunc(joinGrace, func() { d.setReadiness("") })
	defer grace.Stop()
	for first := true; ; first = false {
		if !d.waitUntilJoinable(ctx, changed, first) {
			d.closeLeft.Do(func() { close(d.left) })
			<-ctx.Done()
			return ctx.Err()
		}
		s, err := d.join(ctx)
		if err != nil {
			return err
		}
		grace.Stop()
		began := time.Now()
		end := s.serve(ctx, changed)
		d.cfg.Peers.End()
		d.setReadiness("removed from the entry VMs")
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if end == leftGracefully {
			continue
		}
		d.cfg.Logger.Warn("removed from the entry VMs", "member", s.name, "joining_again_in", rejoin)
		if time.Since(began) > rejoinMax {
			rejoin = rejoinMin
		}
		wait.SleepUntil(ctx, rejoin, d.leaveRequested)
		rejoin = min(2*rejoin, rejoinMax)
	}
}

// setReadiness marks the process as unready for the given reason, or as ready
// if the reason is empty.
func (d *Duty) setReadiness(reason string) {
	switch {
	case d.cfg.Readiness == nil:
	case reason == "":
		d.cfg.Readiness.SetReady(readinessSource)
	default:
		d.cfg.Readiness.SetNotReady(readinessSource, reason)
	}
}

func (d *Duty) isLeaving() bool {
	select {
	case <-d.leaveRequested:
		return true
	default:
		return false
	}
}

// waitUntilJoinable waits until this process may join. It returns false if the
// process leaves or ctx ends.
//
// The log must have been read to its end once, because a join proposed on an
// old state would be void. After a removal, at least half of the members must
// answer, so that a partitioned VM does not join and get evicted over and over.
func (d *Duty) waitUntilJoinable(ctx context.Context, changed <-chan struct{}, first bool) bool {
	for ctx.Err() == nil && !d.isLeaving() {
		if !d.cfg.Log.Fresh().IsZero() && (first || d.reachesHalfOfMembers(ctx)) {
			return true
		}
		timer := time.NewTimer(rejoinMin)
		select {
		case <-changed:
		case <-timer.C:
		case <-d.leaveRequested:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return false
}

func (d *Duty) reachesHalfOfMembers(ctx context.Context) bool {
	var addresses []string
	d.cfg.Log.View(func(s *ledger.State) {
		for _, m := range s.Members {
			addresses = append(addresses, m.Address)
		}
	})
	answers := make(chan bool, len(addresses))
	for _, a := range addresses {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, probeTimeout)
			defer cancel()
			answers <- d.cfg.Peers.Probe(ctx, a) == nil
		}()
	}
	reached := 0
	for range addresses {
		if <-answers {
			reached++
		}
	}
	return 2*reached >= len(addresses)
}

// join proposes the join of a new incarnation until one takes effect, and
// returns its session.
func (d *Duty) join(ctx context.Context) (*session, error) {
	for {
		name := d.cfg.Node + "." + ulid.Make().String()
		out, err := d.cfg.Log.Propose(ctx, d.record(name, record.MemberJoin{
			Node:    d.cfg.Node,
			Zone:    d.cfg.Zone,
			Address: d.cfg.Address,
			// An earlier process at the address has ended, and did not ack a clock
			// further ahead than this VM's can be.
			AcksUntil: time.Now().Add(d.cfg.Lease.Duration + 2*d.cfg.Lease.Skew),
		}))
		if err != nil {
			return nil, errors.Wrap(err, "join the entry VMs")
		}
		if out.Status != ledger.Effective {
			d.cfg.Logger.Warn("join is void", "status", out.Status, "reason", out.Reason)
			wait.SleepUntil(ctx, rejoinMin, d.leaveRequested)
			continue
		}
		if s := d.newSession(name, out.Offset); s != nil {
			d.cfg.Logger.Info("joined the entry VMs", "member", name, "offset", out.Offset)
			return s, nil
		}
	}
}

// record returns a record about the named member, based on the current state.
func (d *Duty) record(name string, body record.Body) record.Record {
	sub := record.Subject{Kind: record.SubjectMember, Name: name}
	rec := record.Record{
		ID:      ulid.Make().String(),
		Subject: sub,
		Author:  d.cfg.Node,
		Time:    time.Now(),
		Body:    body,
	}
	d.cfg.Log.View(func(s *ledger.State) {
		rec.Base = s.Revision(sub)
		rec.Seen = s.Offset
	})
	return rec
}

// newSession returns the session of the member that joined at offset, or nil if
// the state no longer holds that change.
func (d *Duty) newSession(name string, offset uint64) *session {
	var before []ledger.MemberRef
	var change ledger.MemberChange
	found := false
	d.cfg.Log.View(func(s *ledger.State) {
		before, change, found = membersBefore(s, offset)
	})
	if !found {
		return nil
	}
	m := entrypeer.NewMember(entrypeer.MemberConfig{Name: name, Claim: d.cfg.Claim, Lease: d.cfg.Lease})
	m.Join(before, change)
	s := &session{duty: d, name: name, member: m, offset: offset, votes: map[string]context.CancelFunc{}, pulls: map[claim.PendingHandover]bool{}}
	s.loadElectorate()
	d.cfg.Peers.Begin(m)
	return s
}

// membersBefore returns the change at offset and the members before it, which
// it derives by undoing all later changes.
func membersBefore(s *ledger.State, offset uint64) ([]ledger.MemberRef, ledger.MemberChange, bool) {
	members := map[string]ledger.MemberRef{}
	for name, m := range s.Members {
		members[name] = ledger.MemberRef{Name: name, Address: m.Address}
	}
	for i := len(s.MemberChanges) - 1; i >= 0; i-- {
		c := s.MemberChanges[i]
		if c.Offset < offset {
			break
		}
		for _, r := range c.Joined {
			delete(members, r.Name)
		}
		for _, r := range c.Removed {
			members[r.Name] = r
		}
		if c.Offset == offset {
			return refs(members), c, true
		}
	}
	return nil, ledger.MemberChange{}, false
}

func refs(members map[string]ledger.MemberRef) []ledger.MemberRef {
	list := make([]ledger.MemberRef, 0, len(members))
	for _, r := range members {
		list = append(list, r)
	}
	return list
}
