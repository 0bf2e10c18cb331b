package membership

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/entrypeer"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// sessionEnd states how a membership ended.
type sessionEnd uint8

const (
	removed sessionEnd = iota
	leftGracefully
)

const (
	// minRefreshInterval is the minimum time between two refreshes of the
	// electorate, so that one refresh covers several joins of a rolling restart.
	minRefreshInterval = 200 * time.Millisecond
	// leaveTimeout limits the delivery of reports and the append of the leave
	// record. A process that cannot append it during an outage of the log ends
	// without it and is evicted later.
	leaveTimeout = 3 * time.Second
	// pullRetryInterval is the pause between two pulls for one handover.
	pullRetryInterval = 50 * time.Millisecond
	// pullTimeout limits one pull.
	pullTimeout = 5 * time.Second
	// dropAfterFailures is the number of consecutive failed lease requests between
	// two drops of the connection. The first drop follows the second failure.
	dropAfterFailures = 3
)

// session is one membership, from its join to its end. Only the goroutine of
// serve uses the mutable fields, except pulls, which pullsMu guards. Helpers
// get what they need as arguments.
type session struct {
	duty   *Duty
	name   string
	member *entrypeer.Member
	offset uint64 // of the latest change applied

	lastRefresh time.Time
	refreshDone chan struct{} // closed once the refresh was read back; nil if none is in flight
	votes       map[string]context.CancelFunc
	pulls       map[claim.PendingHandover]bool
	pullsMu     sync.Mutex
	helpers     sync.WaitGroup
	renewals    map[string]context.CancelFunc
}

// serve keeps the membership until it ends or ctx does.
func (s *session) serve(parent context.Context, changed <-chan struct{}) sessionEnd {
	ctx, cancel := context.WithCancel(parent)
	defer s.helpers.Wait()
	defer cancel()
	s.renewals = map[string]context.CancelFunc{}
	tick := time.NewTicker(s.duty.cfg.Lease.PeerTimeout / stepsPerPeerTimeout)
	defer tick.Stop()
	for {
		if !s.applyChanges() {
			s.member.Retire()
			return removed
		}
		s.updateReadiness()
		s.updateRenewals(ctx)
		s.startPulls(ctx)
		s.refreshElectorate(ctx)
		select {
		case <-changed:
		case <-tick.C:
			s.castVotes(ctx, s.member.Step(s.logReachable()))
		case <-s.duty.leaveRequested:
			s.leave(ctx, changed, tick.C)
			return leftGracefully
		case <-ctx.Done():
			return removed
		}
	}
}

// updateReadiness updates the readiness. In the one or two seconds after the
// first join, the member refuses all new keys; callers sent to it would get
// "unknown" for requests that never ran.
func (s *session) updateReadiness() {
	if s.member.RefusesFreshKeys() {
		s.duty.setReadiness("keys that are minted now may be known to lost entry VMs")
		return
	}
	s.duty.setReadiness("")
}

func (s *session) logReachable() bool { return time.Since(s.duty.cfg.Log.Fresh()) < maxLogAge }

// applyChanges applies the changes of the membership since the last call. It
// returns false if this member was removed, or if the state no longer holds all
// of the changes, because the claims of the other members are then not known.
func (s *session) applyChanges() bool {
	var changes []ledger.MemberChange
	complete, isMember := true, false
	s.duty.cfg.Log.View(func(st *ledger.State) {
		changes, complete = changesAfter(st, s.offset)
		_, isMember = st.Members[s.name]
	})
	if !complete {
		s.duty.cfg.Logger.Error("the state no longer holds all changes of the membership", "member", s.name)
		return false
	}
	for _, c := range changes {
		s.member.Apply(c)
		s.offset = c.Offset
	}
	if len(changes) > 0 {
		s.duty.cfg.Peers.Retain(s.member.RequiredAddresses())
	}
	if isMember && s.refreshDone == nil {
		s.loadElectorate()
	}
	return isMember
}

// changesAfter returns the changes after offset. complete is false if the state
// no longer holds all of them.
func changesAfter(st *ledger.State, offset uint64) (changes []ledger.MemberChange, complete bool) {
	for _, c := range st.MemberChanges {
		if c.Offset <= offset {
			complete = true
			continue
		}
		changes = append(changes, c)
	}
	return changes, complete || len(changes) == 0
}

// loadElectorate sets the electorate from the folded state.
func (s *session) loadElectorate() {
	var names []string
	s.duty.cfg.Log.View(func(st *ledger.State) {
		if m, ok := st.Members[s.name]; ok {
			names = slices.Clone(m.Electorate)
		}
	})
	s.member.SetElectorate(names)
}

// refreshElectorate proposes the current members as the electorate if they
// differ from it. While the outcome is not known, the lease must be valid under
// both electorates.
func (s *session) refreshElectorate(ctx context.Context) {
	if s.refreshDone != nil {
		select {
		case <-s.refreshDone:
			s.refreshDone = nil
		default:
			return
		}
	}
	if time.Since(s.lastRefresh) < minRefreshInterval || !s.logReachable() {
		return
	}
	var members, electorate []string
	s.duty.cfg.Log.View(func(st *ledger.State) {
		members = st.MemberNames()
		if m, ok := st.Members[s.name]; ok {
			electorate = slices.Clone(m.Electorate)
		}
	})
	if slices.Equal(members, electorate) || !slices.Contains(members, s.name) {
		return
	}
	s.lastRefresh = time.Now()
	s.member.ProposeElectorate(members)
	done := make(chan struct{})
	s.refreshDone = done
	s.helpers.Go(func() {
		rec := s.duty.record(s.name, record.MemberRefresh{Electorate: members})
		if _, err := s.duty.cfg.Log.Propose(ctx, rec); err != nil {
			return // the session and its lease end with the outcome unknown
		}
		s.duty.cfg.Log.View(func(st *ledger.State) {
			if m, ok := st.Members[s.name]; ok {
				s.member.ConfirmElectorate(slices.Clone(m.Electorate))
			}
		})
		close(done)
	})
}

// castVotes appends votes. A later vote on the same peer cancels the wait for
// an earlier one. The earlier record may still be appended, but is void after
// the later one because its sequence number is lower.
func (s *session) castVotes(ctx context.Context, votes []claim.Vote) {
	for _, v := range votes {
		if cancel := s.votes[v.Member]; cancel != nil {
			cancel()
		}
		voteCtx, cancel := context.WithCancel(ctx)
		s.votes[v.Member] = cancel
		s.helpers.Go(func() { s.castVote(voteCtx, v) })
	}
}

func (s *session) castVote(ctx context.Context, v claim.Vote) {
	var body record.Body = record.MemberTrust{By: s.name, Seq: v.Seq}
	if v.Suspect {
		body = record.MemberSuspect{By: s.name, Seq: v.Seq, Until: v.Until}
	}
	s.duty.cfg.Logger.Warn("voting on an entry VM", "member", v.Member, "suspect", v.Suspect, "seq", v.Seq)
	out, err := s.duty.cfg.Log.Propose(ctx, s.duty.record(v.Member, body))
	if err == nil && out.Status == ledger.Effective {
		s.member.ConfirmTrust(v)
	}
}

// updateRenewals keeps one goroutine per peer that renews the lease.
func (s *session) updateRenewals(ctx context.Context) {
	peers := s.member.Peers()
	for name, cancel := range s.renewals {
		if _, ok := peers[name]; !ok {
			cancel()
			delete(s.renewals, name)
		}
	}
	for name, address := range peers {
		if s.renewals[name] != nil {
			continue
		}
		renewCtx, cancel := context.WithCancel(ctx)
		s.renewals[name] = cancel
		s.helpers.Go(func() { s.renew(renewCtx, name, address) })
	}
}

// renew sends lease requests to one peer until ctx ends.
func (s *session) renew(ctx context.Context, peer, address string) {
	every := s.duty.cfg.Lease.Duration / renewalsPerLease
	tick := time.NewTicker(every)
	defer tick.Stop()
	failed := 0
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, 2*every)
		err := s.duty.cfg.Peers.Lease(callCtx, s.member, peer, address)
		cancel()
		failed++
		if err == nil {
			failed = 0
		}
		if failed%dropAfterFailures == dropAfterFailures-1 {
			s.duty.cfg.Peers.Drop(address)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// startPulls starts pulling for each new pending handover.
func (s *session) startPulls(ctx context.Context) {
	s.pullsMu.Lock()
	defer s.pullsMu.Unlock()
	for _, pending := range s.member.PendingHandovers() {
		if s.pulls[pending] {
			continue
		}
		s.pulls[pending] = true
		s.helpers.Go(func() {
			s.pullHandover(ctx, pending)
			s.pullsMu.Lock()
			defer s.pullsMu.Unlock()
			delete(s.pulls, pending)
		})
	}
}

// pullHandover pulls until the handover was received or abandoned.
func (s *session) pullHandover(ctx context.Context, pending claim.PendingHandover) {
	for ctx.Err() == nil && slices.Contains(s.member.PendingHandovers(), pending) {
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		h, code, err := s.duty.cfg.Peers.Pull(callCtx, s.member, pending)
		cancel()
		if err == nil && code == claim.PullDone {
			s.member.ApplyHandover(pending, h)
			return
		}
		if err != nil {
			s.duty.cfg.Logger.Debug("pull failed", "from", pending.Source, "error", err)
		}
		wait.Sleep(ctx, pullRetryInterval)
	}
}

// leave ends the membership in a planned way. It stops granting, waits until
// the reports of its own requests were delivered, appends the leave record, and
// remains until every other member has pulled or would not wait any longer.
func (s *session) leave(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time) {
	acksUntil := s.member.Retire()
	appendCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	s.duty.cfg.Peers.Flush(appendCtx)
	out, err := s.duty.cfg.Log.Propose(appendCtx, s.duty.record(s.name, record.MemberLeave{AcksUntil: acksUntil}))
	if err != nil {
		s.duty.cfg.Logger.Warn("cannot append the leave record, leaving without it", "member", s.name, "error", err)
		return
	}
	stayCtx, cancelStay := context.WithTimeout(ctx, 2*s.duty.cfg.Claim.Handover)
	defer cancelStay()
	for stayCtx.Err() == nil {
		s.applyChanges()
		if s.offset >= out.Offset && len(s.member.MembersYetToPull(out.Offset)) == 0 {
			break
		}
		select {
		case <-changed:
		case <-tick:
		case <-stayCtx.Done():
		}
	}
	s.duty.cfg.Logger.Info("left the entry VMs", "member", s.name, "not_handed_to", s.member.MembersYetToPull(out.Offset))
}
