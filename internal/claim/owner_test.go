package claim

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// script is an owner whose clock the test moves. It is member "a" of "a" alone.
type script struct {
	t     *testing.T
	o     *Owner
	now   Instant
	valid bool
}

func (s *script) Valid(Instant) bool { return s.valid }

func newScript(t *testing.T, cfg Config) *script {
	s := &script{t: t, now: Instant{Wall: epoch}, valid: true}
	s.o = NewOwner(cfg, "a", s)
	s.o.Join(s.now, nil, Change{Offset: 1, Joined: []string{"a"}, Until: epoch})
	return s
}

func (s *script) pass(d time.Duration) {
	s.now.Wall = s.now.Wall.Add(d)
	s.now.Mono += d
}

// key returns a key minted at a time from now.
func (s *script) key(n byte, from time.Duration) Key {
	k := Key{Service: "orders"}
	ms := uint64(s.now.Wall.Add(from).UnixMilli())
	for i := range 6 {
		k.ID[i] = byte(ms >> (40 - 8*i))
	}
	k.ID[15] = n
	return k
}

func try(n byte) Attempt { return Attempt{Holder: "a", ID: [16]byte{n}} }

// claim expects the answer to an attempt, whose claim lasts 5 s.
func (s *script) claim(k Key, a Attempt, code Code, reason Reason) Reply {
	s.t.Helper()
	r := s.o.Claim(s.now, Request{Key: k, Fingerprint: 1}, a, s.now.Wall.Add(5*time.Second))
	require.Equal(s.t, code, r.Code, "%s", r.Reason)
	require.Equal(s.t, reason, r.Reason)
	return r
}

func (s *script) report(k Key, a Attempt, end End, answer string) {
	s.t.Helper()
	res := Result{Key: k, Attempt: a, End: end}
	if answer != "" {
		res.Answer = &Answer{Status: 200, Body: []byte(answer)}
	}
	require.True(s.t, s.o.Report(s.now, res))
}

// A caller sends the same booking three times. A claim asked for again is the
// same claim, another attempt waits, and after the run all get its answer, also
// when a late "not run" of another attempt comes in.
func TestOneAttemptHoldsTheClaim(t *testing.T) {
	s := newScript(t, modelClaim)
	s.pass(time.Second)
	k := s.key(1, 0)
	s.claim(k, try(1), CodeGranted, ReasonNone)
	s.claim(k, try(1), CodeGranted, ReasonNone)
	s.claim(k, try(2), CodeInProgress, ReasonInProgress)
	require.True(t, s.o.InProgress(s.now, k, try(2)))
	s.report(k, try(1), EndRan, "chair 7")
	s.report(k, try(2), EndNotRun, "")
	s.report(k, try(1), EndUnknown, "")
	require.Equal(t, "chair 7", string(s.claim(k, try(2), CodeRan, ReasonNone).Answer.Body))
	other := s.o.Claim(s.now, Request{Key: k, Fingerprint: 2}, try(3), s.now.Wall)
	require.Equal(t, ReasonMismatch, other.Reason)
}

// An attempt was refused by the backend server, so a retry may run; copies of
// the first attempt's messages that come late must not take the claim again,
// for nobody would ever report its end.
func TestLateCopiesOfAReleasedAttempt(t *testing.T) {
	s := newScript(t, modelClaim)
	s.pass(time.Second)
	k := s.key(1, 0)
	s.report(k, try(1), EndNotRun, "") // given up, and heard of before the claim
	s.claim(k, try(1), CodeNotRun, ReasonNone)
	s.claim(k, try(2), CodeGranted, ReasonNone)
	s.report(k, try(1), EndNotRun, "")
	s.claim(k, try(3), CodeInProgress, ReasonInProgress)
	s.report(k, try(2), EndNotRun, "")
	s.claim(k, try(1), CodeNotRun, ReasonNone)
	s.claim(k, try(3), CodeGranted, ReasonNone)
}

// The entry VM that runs a booking never reports its end. From the claim's time
// limit on, retries are told "unknown" and nothing runs again; a report that
// does come is believed even then.
func TestAttemptWithoutAnEnd(t *testing.T) {
	s := newScript(t, modelClaim)
	s.pass(time.Second)
	k := s.key(1, 0)
	s.claim(k, try(1), CodeGranted, ReasonNone)
	s.pass(5 * time.Second)
	s.claim(k, try(2), CodeInProgress, ReasonInProgress)
	s.pass(time.Millisecond)
	s.claim(k, try(2), CodeUnknown, ReasonReported)
	s.report(k, try(1), EndRan, "late")
	s.claim(k, try(2), CodeRan, ReasonNone)
}

// Keys outside the window, from the future, or older than the first member are
// not granted; and once records of an age were dropped, no clock that steps back
// brings their keys into the window again.
func TestAgeOfKeys(t *testing.T) {
	s := newScript(t, modelClaim)
	s.claim(s.key(1, 0), try(1), CodeUnknown, ReasonOwnerLost)
	s.pass(modelClaim.Window + time.Minute)
	s.claim(s.key(2, -modelClaim.Window-time.Millisecond), try(1), CodeUnknown, ReasonTooOld)
	s.claim(s.key(3, modelClaim.Ahead+time.Millisecond), try(1), CodeUnknown, ReasonTooNew)
	s.claim(s.key(4, modelClaim.Ahead), try(1), CodeGranted, ReasonNone)
	s.claim(s.key(5, -modelClaim.Window), try(1), CodeGranted, ReasonNone)

	ran := s.key(6, 0)
	s.claim(ran, try(1), CodeGranted, ReasonNone)
	s.report(ran, try(1), EndRan, "")
	s.pass(time.Hour)
	s.claim(s.key(7, 0), try(1), CodeGranted, ReasonNone)
	s.pass(-time.Hour) // a wrong clock was set right
	s.claim(ran, try(2), CodeUnknown, ReasonTooOld)
}

// Without a lease nothing new is granted, but what is remembered is told.
func TestWithoutLease(t *testing.T) {
	s := newScript(t, modelClaim)
	s.pass(time.Second)
	ran, fresh := s.key(1, 0), s.key(2, 0)
	s.claim(ran, try(1), CodeGranted, ReasonNone)
	s.report(ran, try(1), EndRan, "x")
	s.valid = false
	s.claim(ran, try(2), CodeRan, ReasonNone)
	s.claim(fresh, try(1), CodeNoLease, ReasonUnreachable)
	s.valid = true
	s.o.Retire()
	s.claim(fresh, try(1), CodeNoLease, ReasonUnreachable)
	require.Equal(t, CodeNotOwner, s.o.Claim(s.now, Request{Key: fresh}, Attempt{Holder: "stranger"}, s.now.Wall).Code)
}

// Memory stays bounded: past MaxRecords fresh keys are refused, truthfully as
// not run, and past MaxAnswers the oldest answers go while the fact remains.
func TestBounds(t *testing.T) {
	cfg := modelClaim
	cfg.MaxRecords, cfg.MaxAnswer, cfg.MaxAnswers = 3, 10, 20
	s := newScript(t, cfg)
	s.pass(time.Second)
	for n, body := range []string{"0123456789", "abcdefghij", strings.Repeat("x", 11)} {
		k := s.key(byte(n), 0)
		s.claim(k, try(1), CodeGranted, ReasonNone)
		s.report(k, try(1), EndRan, body)
	}
	require.NotNil(t, s.claim(s.key(0, 0), try(2), CodeRan, ReasonNone).Answer)
	require.Nil(t, s.claim(s.key(2, 0), try(2), CodeRan, ReasonNone).Answer, "too large")
	s.claim(s.key(3, 0), try(1), CodeNotRun, ReasonFull)
	s.report(s.key(4, 0), try(1), EndRan, "an")
	require.Nil(t, s.claim(s.key(0, 0), try(2), CodeRan, ReasonNone).Answer, "oldest")
	require.NotNil(t, s.claim(s.key(1, 0), try(2), CodeRan, ReasonNone).Answer)
	s.pass(cfg.Window + time.Minute)
	s.claim(s.key(5, 0), try(1), CodeGranted, ReasonNone)
	records, running := s.o.Counts()
	require.Equal(t, []int{1, 1}, []int{records, running})
}
