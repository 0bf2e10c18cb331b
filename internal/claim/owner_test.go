package claim

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// ownerHarness runs the owner "a", the only member, under a clock that the test
// advances.
type ownerHarness struct {
	t     *testing.T
	owner *Owner
	now   Instant
	valid bool
}

func (s *ownerHarness) Valid(Instant) bool { return s.valid }

func newOwnerHarness(t *testing.T, cfg Config) *ownerHarness {
	s := &ownerHarness{t: t, now: Instant{Wall: epoch}, valid: true}
	s.owner = NewOwner(cfg, "a", s)
	s.owner.Join(s.now, nil, Change{Offset: 1, Joined: []string{"a"}, Until: epoch})
	return s
}

func (s *ownerHarness) advance(d time.Duration) {
	s.now.Wall = s.now.Wall.Add(d)
	s.now.Mono += d
}

// key returns a key minted at the given offset from the current time.
func (s *ownerHarness) key(n byte, offset time.Duration) Key {
	k := Key{Service: "orders"}
	ms := uint64(s.now.Wall.Add(offset).UnixMilli())
	for i := range 6 {
		k.ID[i] = byte(ms >> (40 - 8*i))
	}
	k.ID[15] = n
	return k
}

func attemptByA(n byte) Attempt { return Attempt{Holder: "a", ID: [16]byte{n}} }

// requireClaim makes an attempt whose claim lasts 5 s, and requires the reply.
func (s *ownerHarness) requireClaim(k Key, a Attempt, code Code, reason Reason) Reply {
	s.t.Helper()
	r := s.owner.Claim(s.now, Request{Key: k, Fingerprint: 1}, a, s.now.Wall.Add(5*time.Second))
	require.Equal(s.t, code, r.Code, "%s", r.Reason)
	require.Equal(s.t, reason, r.Reason)
	return r
}

func (s *ownerHarness) report(k Key, a Attempt, end End, answer string) {
	s.t.Helper()
	res := Result{Key: k, Attempt: a, End: end}
	if answer != "" {
		res.Answer = &Answer{Status: 200, Body: []byte(answer)}
	}
	require.True(s.t, s.owner.Report(s.now, res))
}

// A caller sends the same request three times. A claim that the same attempt
// requests again is granted again, other attempts wait, and after the run all
// get its reply, even if another attempt reports "not run" late.
func TestOneAttemptHoldsTheClaimAtATime(t *testing.T) {
	s := newOwnerHarness(t, modelClaim)
	s.advance(time.Second)
	k := s.key(1, 0)
	s.requireClaim(k, attemptByA(1), CodeGranted, ReasonNone)
	s.requireClaim(k, attemptByA(1), CodeGranted, ReasonNone)
	s.requireClaim(k, attemptByA(2), CodeInProgress, ReasonInProgress)
	require.True(t, s.owner.InProgress(s.now, k, attemptByA(2)))
	s.report(k, attemptByA(1), EndRan, "chair 7")
	s.report(k, attemptByA(2), EndNotRun, "")
	s.report(k, attemptByA(1), EndUnknown, "")
	require.Equal(t, "chair 7", string(s.requireClaim(k, attemptByA(2), CodeRan, ReasonNone).Answer.Body))
	other := s.owner.Claim(s.now, Request{Key: k, Fingerprint: 2}, attemptByA(3), s.now.Wall)
	require.Equal(t, ReasonMismatch, other.Reason)
}

// After the backend server refused an attempt, a retry may run. A late copy of
// the first attempt's claim must not be granted, because no holder would report
// its end.
func TestLateCopiesOfAReleasedAttempt(t *testing.T) {
	s := newOwnerHarness(t, modelClaim)
	s.advance(time.Second)
	k := s.key(1, 0)
	s.report(k, attemptByA(1), EndNotRun, "") // given up, reported before the claim arrives
	s.requireClaim(k, attemptByA(1), CodeNotRun, ReasonNone)
	s.requireClaim(k, attemptByA(2), CodeGranted, ReasonNone)
	s.report(k, attemptByA(1), EndNotRun, "")
	s.requireClaim(k, attemptByA(3), CodeInProgress, ReasonInProgress)
	s.report(k, attemptByA(2), EndNotRun, "")
	s.requireClaim(k, attemptByA(1), CodeNotRun, ReasonNone)
	s.requireClaim(k, attemptByA(3), CodeGranted, ReasonNone)
}

// The entry VM that runs a request never reports its end. After the time limit
// of the claim, retries get "unknown" and nothing runs again. A report that
// arrives even later is still recorded.
func TestAttemptThatNeverReportsItsEnd(t *testing.T) {
	s := newOwnerHarness(t, modelClaim)
	s.advance(time.Second)
	k := s.key(1, 0)
	s.requireClaim(k, attemptByA(1), CodeGranted, ReasonNone)
	s.advance(5 * time.Second)
	s.requireClaim(k, attemptByA(2), CodeInProgress, ReasonInProgress)
	s.advance(time.Millisecond)
	s.requireClaim(k, attemptByA(2), CodeUnknown, ReasonEndUnknown)
	s.report(k, attemptByA(1), EndRan, "late")
	s.requireClaim(k, attemptByA(2), CodeRan, ReasonNone)
}

// Keys before the claim window, from the future or from before the first member
// are not granted. After records were dropped, a clock that steps back does not
// make their keys valid again.
func TestKeysOutsideTheWindowAreNotGranted(t *testing.T) {
	s := newOwnerHarness(t, modelClaim)
	s.requireClaim(s.key(1, 0), attemptByA(1), CodeUnknown, ReasonOwnerLost)
	s.advance(modelClaim.Window + time.Minute)
	s.requireClaim(s.key(2, -modelClaim.Window-time.Millisecond), attemptByA(1), CodeUnknown, ReasonTooOld)
	s.requireClaim(s.key(3, modelClaim.Ahead+time.Millisecond), attemptByA(1), CodeUnknown, ReasonTooNew)
	s.requireClaim(s.key(4, modelClaim.Ahead), attemptByA(1), CodeGranted, ReasonNone)
	s.requireClaim(s.key(5, -modelClaim.Window), attemptByA(1), CodeGranted, ReasonNone)

	ran := s.key(6, 0)
	s.requireClaim(ran, attemptByA(1), CodeGranted, ReasonNone)
	s.report(ran, attemptByA(1), EndRan, "")
	s.advance(time.Hour)
	s.requireClaim(s.key(7, 0), attemptByA(1), CodeGranted, ReasonNone)
	s.advance(-time.Hour) // a wrong clock is corrected
	s.requireClaim(ran, attemptByA(2), CodeUnknown, ReasonTooOld)
}

// Without a lease, new keys are not granted, but recorded runs are still
// reported.
func TestOwnerWithoutLeaseGrantsNothing(t *testing.T) {
	s := newOwnerHarness(t, modelClaim)
	s.advance(time.Second)
	ran, fresh := s.key(1, 0), s.key(2, 0)
	s.requireClaim(ran, attemptByA(1), CodeGranted, ReasonNone)
	s.report(ran, attemptByA(1), EndRan, "x")
	s.valid = false
	s.requireClaim(ran, attemptByA(2), CodeRan, ReasonNone)
	s.requireClaim(fresh, attemptByA(1), CodeNoLease, ReasonUnreachable)
	s.valid = true
	s.owner.Retire()
	s.requireClaim(fresh, attemptByA(1), CodeNoLease, ReasonUnreachable)
	require.Equal(t, CodeNotOwner, s.owner.Claim(s.now, Request{Key: fresh}, Attempt{Holder: "stranger"}, s.now.Wall).Code)
}

// Beyond MaxRecords, new keys are refused as not run. Beyond MaxAnswers, the
// oldest replies are dropped and the records of their runs are kept.
func TestMemoryStaysWithinItsBounds(t *testing.T) {
	cfg := modelClaim
	cfg.MaxRecords, cfg.MaxAnswer, cfg.MaxAnswers = 3, 10, 20
	s := newOwnerHarness(t, cfg)
	s.advance(time.Second)
	for n, body := range []string{"0123456789", "abcdefghij", strings.Repeat("x", 11)} {
		k := s.key(byte(n), 0)
		s.requireClaim(k, attemptByA(1), CodeGranted, ReasonNone)
		s.report(k, attemptByA(1), EndRan, body)
	}
	require.NotNil(t, s.requireClaim(s.key(0, 0), attemptByA(2), CodeRan, ReasonNone).Answer)
	require.Nil(t, s.requireClaim(s.key(2, 0), attemptByA(2), CodeRan, ReasonNone).Answer, "a reply over MaxAnswer must not be kept")
	s.requireClaim(s.key(3, 0), attemptByA(1), CodeNotRun, ReasonFull)
	s.report(s.key(4, 0), attemptByA(1), EndRan, "an")
	require.Nil(t, s.requireClaim(s.key(0, 0), attemptByA(2), CodeRan, ReasonNone).Answer, "oldest")
	require.NotNil(t, s.requireClaim(s.key(1, 0), attemptByA(2), CodeRan, ReasonNone).Answer)
	s.advance(cfg.Window + time.Minute)
	s.requireClaim(s.key(5, 0), attemptByA(1), CodeGranted, ReasonNone)
	records, running := s.owner.Counts()
	require.Equal(t, []int{1, 1}, []int{records, running})
}
