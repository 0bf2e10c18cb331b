package rackhealth_test

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/rackhealth"
)

var start = time.UnixMilli(1_700_000_000_000)

// site is three racks of workers that are all asked every 20 ms.
type site struct {
	tracker *rackhealth.Tracker
	now     time.Time
	// silentSince is since when the workers of a rack with a lower index than silent[rack] don't answer.
	silent      map[string]int
	silentSince map[string]time.Time
	size        int
	answerDelay time.Duration
	// If onlyAnsweredAsk is set, all answers are to what was sent then.
	onlyAnsweredAsk time.Time
	changes         []rackhealth.Change
}

func newSite(size int) *site {
	return &site{tracker: rackhealth.New(), now: start, silent: map[string]int{}, silentSince: map[string]time.Time{}, size: size}
}

// lose silences the first n workers of a rack; 0 makes all of them answer again.
func (s *site) lose(rack string, n int) {
	s.silent[rack], s.silentSince[rack] = n, s.now
}

func (s *site) run(d time.Duration) {
	for until := s.now.Add(d); s.now.Before(until); {
		s.now = s.now.Add(20 * time.Millisecond)
		racks := rackhealth.Racks{}
		for _, rack := range []string{"a", "b", "c"} {
			for i := range s.size {
				m := rackhealth.Member{ID: rack + strconv.Itoa(i), LastHeardAt: s.now, AnsweredAsk: s.now.Add(-s.answerDelay)}
				if !s.onlyAnsweredAsk.IsZero() {
					m.AnsweredAsk = s.onlyAnsweredAsk
				}
				if i < s.silent[rack] {
					m.LastHeardAt, m.OverdueSince = s.silentSince[rack], s.silentSince[rack].Add(time.Millisecond)
					m.AnsweredAsk = m.LastHeardAt
				}
				racks[rack] = append(racks[rack], m)
			}
		}
		s.changes = append(s.changes, s.tracker.Observe(racks, s.answerDelay, s.now)...)
	}
}

// The load of a peak: all workers of a rack are asked when it goes dark. Starts must go elsewhere within
// a fifth of a second, and each worker must prove itself before it gets work again.
func TestDarkRackIsSuspectUntilItsWorkersAnswer(t *testing.T) {
	s := newSite(20)
	s.run(time.Second)
	s.lose("a", 20)
	s.run(200 * time.Millisecond)
	assert.Equal(t, rackhealth.Suspect, s.tracker.State("a"))
	assert.False(t, s.tracker.Admits("a", "a3", s.now))
	assert.False(t, s.tracker.Answers("a", "a3"))
	assert.True(t, s.tracker.Admits("b", "b3", s.now))
	s.run(5 * time.Second)
	assert.Len(t, s.changes, 1)
	s.lose("a", 0)
	s.run(100 * time.Millisecond)
	assert.True(t, s.tracker.Answers("a", "a3"))
	assert.False(t, s.tracker.Admits("a", "a3", s.now), "an answer is no proof yet")
	s.run(400 * time.Millisecond)
	assert.Equal(t, rackhealth.Trusted, s.tracker.State("a"))
	assert.Len(t, s.changes, 2)
}

// A few silent workers of a rack have crashed on their own.
func TestFewSilentWorkersDoNotMakeARackSuspect(t *testing.T) {
	s := newSite(20)
	s.run(time.Second)
	s.lose("a", 5)
	s.run(3 * time.Second)
	assert.Empty(t, s.changes)
}

// An observer that is slow or cut off hears nobody. Its racks are not to blame.
func TestSilenceOnAllRacksMakesNoneSuspect(t *testing.T) {
	s := newSite(20)
	s.run(time.Second)
	for _, rack := range []string{"a", "b", "c"} {
		s.lose(rack, 20)
	}
	s.run(3 * time.Second)
	assert.Empty(t, s.changes)
}

// On an observer that is late by 50 ms, answers of 200 ms are no silence, and a dark rack is found later.
func TestSilenceIsJudgedByTheUsualDelayOfAnswers(t *testing.T) {
	s := newSite(20)
	s.answerDelay = 50 * time.Millisecond
	s.run(time.Second)
	s.lose("a", 20)
	s.run(200 * time.Millisecond)
	assert.Equal(t, rackhealth.Trusted, s.tracker.State("a"))
	s.run(200 * time.Millisecond)
	assert.Equal(t, rackhealth.Suspect, s.tracker.State("a"))
}

// A rack that comes and goes needs a longer proof after each return.
func TestFlappingRackNeedsLongerProofs(t *testing.T) {
	s := newSite(11)
	var proofs []time.Duration
	for range 4 {
		s.lose("a", 11)
		s.run(500 * time.Millisecond)
		s.lose("a", 0)
		back := s.now
		for !s.tracker.Admits("a", "a1", s.now) {
			s.run(20 * time.Millisecond)
		}
		proofs = append(proofs, s.now.Sub(back).Round(250*time.Millisecond))
		s.run(time.Second)
	}
	assert.Equal(t, []time.Duration{250 * time.Millisecond, 500 * time.Millisecond, time.Second, time.Second}, proofs)
}

// Half of a suspect rack answers again, or had never been silent. Its work continues.
func TestAnsweringWorkersOfASuspectRackAreAdmitted(t *testing.T) {
	s := newSite(20)
	s.run(time.Second)
	s.lose("a", 14)
	s.run(time.Second)
	assert.Equal(t, rackhealth.Suspect, s.tracker.State("a"))
	assert.True(t, s.tracker.Admits("a", "a19", s.now))
	assert.False(t, s.tracker.Admits("a", "a3", s.now))
}

// A rack of less than four workers shows no common cause, and one that shrinks is forgotten.
func TestSmallRackIsNotTracked(t *testing.T) {
	s := newSite(3)
	s.lose("a", 3)
	s.run(time.Second)
	assert.Empty(t, s.changes)
	s = newSite(8)
	s.run(time.Second)
	s.lose("a", 8)
	s.run(time.Second)
	s.size = 3
	s.run(time.Second)
	assert.Equal(t, rackhealth.Trusted, s.tracker.State("a"))
	assert.Len(t, s.changes, 2)
}

// Two racks go dark one after the other. The silence of the first must not hide that of the second.
func TestSecondDarkRackIsSuspectedToo(t *testing.T) {
	s := newSite(20)
	s.run(time.Second)
	s.lose("a", 20)
	s.run(time.Second)
	s.lose("b", 20)
	s.run(200 * time.Millisecond)
	assert.Equal(t, rackhealth.Suspect, s.tracker.State("a"))
	assert.Equal(t, rackhealth.Suspect, s.tracker.State("b"))
}

// An observer is cut off and hears of the racks one after the other when it is back. The last of them must not
// become suspect for its silence from before.
func TestRackThatIsHeardLastAfterAPartitionIsNotSuspected(t *testing.T) {
	s := newSite(20)
	s.run(time.Second)
	for _, rack := range []string{"a", "b", "c"} {
		s.lose(rack, 20)
	}
	s.run(2 * time.Second)
	for _, rack := range []string{"a", "b", "c"} {
		s.lose(rack, 0)
		s.run(300 * time.Millisecond)
	}
	assert.Empty(t, s.changes)
}

// An observer becomes late while only one rack is asked. Answers from elsewhere to earlier orders are no reason to
// suspect that rack.
func TestSilenceWithoutNewAnswersElsewhereMakesNoRackSuspect(t *testing.T) {
	s := newSite(20)
	s.run(time.Second)
	s.onlyAnsweredAsk = s.now
	s.lose("a", 20)
	s.run(time.Second)
	assert.Empty(t, s.changes)
	s.onlyAnsweredAsk = time.Time{}
	s.run(100 * time.Millisecond)
	assert.Equal(t, rackhealth.Suspect, s.tracker.State("a"))
}
