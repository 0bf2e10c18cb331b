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

// ending is how a membership ended.
type ending uint8

const (
	removed ending = iota
	leftInOrder
)

const (
	// refreshPause is the least time between two refreshes of the electorate,
	// so that a rolling restart costs one for several joins.
	refreshPause = 200 * time.Millisecond
	// leaveTimeout bounds the append of a leave. A process that cannot leave
	// because the log is out goes without, and is removed later.
	leaveTimeout = 3 * time.Second
	// pullPause is the pause between two pulls for one debt.
	pullPause = 50 * time.Millisecond
	// pullTimeout bounds one pull.
	pullTimeout = 5 * time.Second
	// dropAfter is how many lease requests in a row may fail before the
	// connection is given up.
	dropAfter = 3
)

// session is one membership, from its join to its end. Its own goroutine holds
// the state below; helpers get what they need as arguments.
type session struct {
	duty   *Duty
	name   string
	member *entrypeer.Member
	offset uint64 // of the last change applied

	refreshed  time.Time
	refreshing chan struct{} // closed once the refresh was read back; nil without one
	votes      map[string]context.CancelFunc
	pulls      map[claim.Debt]bool
	pullsMu    sync.Mutex
	helpers    sync.WaitGroup
	beats      map[string]context.CancelFunc
}

// serve keeps the membership until it ends or ctx does.
func (s *session) serve(parent context.Context, changed <-chan struct{}) ending {
	ctx, cancel := context.WithCancel(parent)
	defer s.helpers.Wait()
	defer cancel()
	s.beats = map[string]context.CancelFunc{}
	tick := time.NewTicker(s.duty.cfg.Lease.Silence / stepsPerSilence)
	defer tick.Stop()
	for {
		if !s.follow() {
			s.member.Retire()
			return removed
		}
		s.report()
		s.beat(ctx)
		s.pull(ctx)
		s.refresh(ctx)
		select {
		case <-changed:
		case <-tick.C:
			s.vote(ctx, s.member.Step(s.logUp()))
		case <-s.duty.leave:
			s.depart(ctx, changed, tick.C)
			return leftInOrder
		case <-ctx.Done():
			return removed
		}
	}
}

// report tells the readiness. A balancer that sent callers to a member that is
// blind, for the second or two after the first join, would earn them "unknown"
// for requests that never ran.
func (s *session) report() {
	if s.member.Blind() {
		s.duty.ready("keys that are minted now may be known to lost entry VMs")
		return
	}
	s.duty.ready("")
}

func (s *session) logUp() bool { return time.Since(s.duty.cfg.Log.Fresh()) < logQuiet }

// follow applies the changes of the membership since the last call. It returns
// false when this member was removed, or when the state does not hold all
// changes any more and the claims of others cannot be accounted for.
func (s *session) follow() bool {
	var changes []ledger.MemberChange
	complete, present := true, false
	s.duty.cfg.Log.View(func(st *ledger.State) {
		changes, complete = changesAfter(st, s.offset)
		_, present = st.Members[s.name]
	})
	if !complete {
		s.duty.cfg.Logger.Error("missed changes of the membership", "member", s.name)
		return false
	}
	for _, c := range changes {
		s.member.Apply(c)
		s.offset = c.Offset
	}
	if len(changes) > 0 {
		s.duty.cfg.Peers.Retain(s.member.Contacts())
	}
	if present && s.refreshing == nil {
		s.electorate()
	}
	return present
}

// changesAfter returns the changes after offset; complete is false when older
// ones are no longer held.
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

// electorate takes the folded electorate.
func (s *session) electorate() {
	var names []string
	s.duty.cfg.Log.View(func(st *ledger.State) {
		if m, ok := st.Members[s.name]; ok {
			names = slices.Clone(m.Electorate)
		}
	})
	s.member.SetElectorate(names)
}

// refresh sets the electorate to the present members once it differs. While its
// outcome is open the lease must hold for both.
func (s *session) refresh(ctx context.Context) {
	if s.refreshing != nil {
		select {
		case <-s.refreshing:
			s.refreshing = nil
		default:
			return
		}
	}
	if time.Since(s.refreshed) < refreshPause || !s.logUp() {
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
	s.refreshed = time.Now()
	s.member.Propose(members)
	done := make(chan struct{})
	s.refreshing = done
	s.helpers.Go(func() {
		rec := s.duty.record(s.name, record.MemberRefresh{Electorate: members})
		if _, err := s.duty.cfg.Log.Propose(ctx, rec); err != nil {
			return // the session ends with the outcome open, and with it the lease
		}
		s.duty.cfg.Log.View(func(st *ledger.State) {
			if m, ok := st.Members[s.name]; ok {
				s.member.Proposed(slices.Clone(m.Electorate))
			}
		})
		close(done)
	})
}

// vote appends votes. A later vote about the same peer ends the wait for an
// earlier one; the earlier record may still take effect, and is void after the
// later one by its lower sequence number.
func (s *session) vote(ctx context.Context, votes []claim.Vote) {
	for _, v := range votes {
		if cancel := s.votes[v.Member]; cancel != nil {
			cancel()
		}
		voteCtx, cancel := context.WithCancel(ctx)
		s.votes[v.Member] = cancel
		s.helpers.Go(func() { s.cast(voteCtx, v) })
	}
}

func (s *session) cast(ctx context.Context, v claim.Vote) {
	var body record.Body = record.MemberTrust{By: s.name, Seq: v.Seq}
	if v.Suspect {
		body = record.MemberSuspect{By: s.name, Seq: v.Seq, Until: v.Until}
	}
	s.duty.cfg.Logger.Warn("vote on an entry VM", "member", v.Member, "suspect", v.Suspect, "seq", v.Seq)
	out, err := s.duty.cfg.Log.Propose(ctx, s.duty.record(v.Member, body))
	if err == nil && out.Status == ledger.Effective {
		s.member.Settled(v)
	}
}

// beat runs one goroutine for each peer that renews the lease.
func (s *session) beat(ctx context.Context) {
	peers := s.member.Peers()
	for name, cancel := range s.beats {
		if _, ok := peers[name]; !ok {
			cancel()
			delete(s.beats, name)
		}
	}
	for name, address := range peers {
		if s.beats[name] != nil {
			continue
		}
		beatCtx, cancel := context.WithCancel(ctx)
		s.beats[name] = cancel
		s.helpers.Go(func() { s.renew(beatCtx, name, address) })
	}
}

// renew asks one peer for its promise again and again.
func (s *session) renew(ctx context.Context, peer, address string) {
	every := s.duty.cfg.Lease.Duration / beatsPerLease
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
		if failed%dropAfter == dropAfter-1 {
			s.duty.cfg.Peers.Drop(address)
		}
		select {
		case <-tick.C:
		case <-ctx.Done():
		}
	}
}

// pull starts pulling for each debt that is new.
func (s *session) pull(ctx context.Context) {
	s.pullsMu.Lock()
	defer s.pullsMu.Unlock()
	for _, debt := range s.member.Debts() {
		if s.pulls[debt] {
			continue
		}
		s.pulls[debt] = true
		s.helpers.Go(func() {
			s.collect(ctx, debt)
			s.pullsMu.Lock()
			defer s.pullsMu.Unlock()
			delete(s.pulls, debt)
		})
	}
}

// collect pulls until the debt is settled or was given up.
func (s *session) collect(ctx context.Context, debt claim.Debt) {
	for ctx.Err() == nil && slices.Contains(s.member.Debts(), debt) {
		callCtx, cancel := context.WithTimeout(ctx, pullTimeout)
		h, code, err := s.duty.cfg.Peers.Pull(callCtx, s.member, debt)
		cancel()
		if err == nil && code == claim.PullDone {
			s.member.Settle(debt, h)
			return
		}
		if err != nil {
			s.duty.cfg.Logger.Debug("pull failed", "from", debt.Source, "error", err)
		}
		wait.Sleep(ctx, pullPause)
	}
}

// depart leaves in order: it stops granting, waits for the reports of its own
// requests to be delivered, appends the leave, and stays until every other
// member has pulled, or until none would wait for it any longer.
func (s *session) depart(ctx context.Context, changed <-chan struct{}, tick <-chan time.Time) {
	acksUntil := s.member.Retire()
	bound, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	s.duty.cfg.Peers.Flush(bound)
	out, err := s.duty.cfg.Log.Propose(bound, s.duty.record(s.name, record.MemberLeave{AcksUntil: acksUntil}))
	if err != nil {
		s.duty.cfg.Logger.Warn("leaving without a record on the log", "member", s.name, "error", err)
		return
	}
	stay, cancelStay := context.WithTimeout(ctx, 2*s.duty.cfg.Claim.Handover)
	defer cancelStay()
	for stay.Err() == nil {
		s.follow()
		if s.offset >= out.Offset && len(s.member.Awaited(out.Offset)) == 0 {
			break
		}
		select {
		case <-changed:
		case <-tick:
		case <-stay.Done():
		}
	}
	s.duty.cfg.Logger.Info("left the entry VMs", "member", s.name, "not_handed_to", s.member.Awaited(out.Offset))
}
