package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/yuccadrift/yuccadrift/internal/document"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newSeededRand() Rand { return rand.New(rand.NewPCG(1, 2)) }

func newTestService(n int, zones ...string) *Service {
	svc := &Service{Limits: document.Limits{Slots: 8, Connections: 64}}
	for i := range n {
		svc.Backends = append(svc.Backends, Backend{VM: fmt.Sprintf("vm-%d", i), Zone: zones[i%len(zones)]})
	}
	return svc
}

func newTestPool(n, members int, zones ...string) *Pool {
	p := NewPool("a", SharingAny)
	p.Update(newTestService(n, zones...), members)
	return p
}

func pick(t *testing.T, p *Pool, now time.Time, r Rand, q Query) Lease {
	l, no := p.Pick(now, r, q)
	require.Equal(t, Admitted, no)
	return l
}

func inFlight(p *Pool) map[string]int {
	vms := map[string]int{}
	p.AddInFlight(vms)
	return vms
}

func TestRouteMatchesLongestPrefixOfWholeElements(t *testing.T) {
	svc := &Service{Routes: sortRoutes([]document.Route{{Prefix: "/book"}, {Prefix: "/"}, {Prefix: "/book/export"}})}
	for path, want := range map[string]string{
		"/": "/", "/x": "/", "/book": "/book", "/book/7": "/book", "/booking": "/", "/book/export": "/book/export",
		"/book/exported": "/book",
	} {
		r, ok := svc.Route(path)
		assert.True(t, ok)
		assert.Equal(t, want, r.Prefix, path)
	}
	_, ok := (&Service{Routes: []document.Route{{Prefix: "/book"}}}).Route("/")
	assert.False(t, ok)
}

// Latency rises if requests leave their availability zone unnecessarily; requests
// are refused if the local zone is full and others are not used.
func TestLocalZoneIsPreferred(t *testing.T) {
	p := newTestPool(6, 1, "a", "b")
	r := newSeededRand()
	seen := map[string]int{}
	for range 3 * 8 * 2 {
		seen[pick(t, p, start, r, Query{}).Zone]++
	}
	assert.Equal(t, map[string]int{"a": 24, "b": 24}, seen)
	_, no := p.Pick(start, r, Query{})
	assert.Equal(t, Busy, no)
	p = newTestPool(6, 1, "a", "b")
	for range 10 {
		assert.Equal(t, "a", pick(t, p, start, r, Query{}).Zone)
	}
}

// A backend that fails immediately has no requests in flight. By load alone it would
// get most requests, and most requests to a pool of ten would fail.
func TestFastFailingBackendDoesNotAttractRequests(t *testing.T) {
	p := newTestPool(10, 1, "a")
	r := newSeededRand()
	bad := 0
	var busy []Lease
	for i := range 400 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		l := pick(t, p, now, r, Query{})
		if l.VM == "vm-0" {
			bad++
			p.Done(now, l, EvidenceBad)
			continue
		}
		if busy = append(busy, l); len(busy) > 20 { // requests to other backends take a while
			p.Done(now, busy[0], EvidenceGood)
			busy = busy[1:]
		}
	}
	assert.LessOrEqual(t, bad, 8)
	later := start.Add(time.Minute)
	for range 80 - len(busy) { // the error rate has decayed, so vm-0 is used again
		pick(t, p, later, r, Query{})
	}
	assert.Equal(t, 8, inFlight(p)["vm-0"])
}

// A bad release fails on every backend. If all were ejected, callers would be
// refused although some requests would succeed.
func TestPoolWideFailureDoesNotEjectAllBackends(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "backends")
		p := NewPool("a", SharingAny)
		p.Update(newTestService(n, "a", "b"), 1)
		r := newSeededRand()
		for i := range 200 {
			now := start.Add(time.Duration(i) * 10 * time.Millisecond)
			l, no := p.Pick(now, r, Query{})
			if no != Admitted {
				t.Fatalf("refused %s with %d of %d ejected", no, p.Status().Ejected, n)
			}
			ev := EvidenceBad
			if rapid.IntRange(0, 9).Draw(t, "luck") == 0 {
				ev = EvidenceGood
			}
			p.Done(now, l, ev)
			if p.Status().Ejected > (n+ejectDivisor-1)/ejectDivisor || p.Status().Ejected >= n {
				t.Fatalf("%d of %d ejected", p.Status().Ejected, n)
			}
		}
	})
}

func TestEjectedBackendIsProbedByOneRequestAtATime(t *testing.T) {
	p := newTestPool(3, 1, "a")
	only := Query{Tried: []string{"vm-1", "vm-2"}}
	for range 5 {
		p.Done(start, pick(t, p, start, newSeededRand(), only), EvidenceBad)
	}
	_, no := p.Pick(start.Add(ejectBaseDuration-1), newSeededRand(), only)
	require.Equal(t, Busy, no)
	probe := pick(t, p, start.Add(ejectBaseDuration), newSeededRand(), only)
	_, no = p.Pick(start.Add(ejectBaseDuration), newSeededRand(), only)
	assert.Equal(t, Busy, no, "expected one probe at a time")
	p.Done(start.Add(ejectBaseDuration), probe, EvidenceGood)
	pick(t, p, start.Add(ejectBaseDuration), newSeededRand(), only)
}

// Long requests use slots for seconds. If they could use all slots, quick requests
// would be refused until the first long one ends.
func TestLongRequestsLeaveSlotsForQuickOnes(t *testing.T) {
	p := newTestPool(4, 1, "a")
	r := newSeededRand()
	long := Query{Class: document.ClassLong}
	for range 12 { // earlier demand of quick requests
		p.Done(start, pick(t, p, start, r, Query{Class: document.ClassQuick}), EvidenceGood)
	}
	n := 0
	for {
		if _, no := p.Pick(start, r, long); no != Admitted {
			assert.Equal(t, LongShed, no)
			break
		}
		n++
	}
	assert.Equal(t, 28, n, "expected an eighth of 32 slots to stay free")
	for range 4 {
		pick(t, p, start, r, Query{Class: document.ClassQuick})
	}
}

// A refusal shows that other entry VMs use the slots. The backend counts as full for
// a while, so that attempts go to backends that may have free slots.
func TestRefusalMarksBackendFullTemporarily(t *testing.T) {
	p := newTestPool(2, 1, "a")
	r := newSeededRand()
	p.Done(start, pick(t, p, start, r, Query{Tried: []string{"vm-1"}}), EvidenceFull)
	for range 6 {
		assert.Equal(t, "vm-1", pick(t, p, start, r, Query{}).VM)
	}
	later := start.Add(10 * othersHalfLife)
	assert.Equal(t, "vm-0", pick(t, p, later, r, Query{}).VM)
}

func TestUnhealthyBackendsAreLastResort(t *testing.T) {
	svc := newTestService(2, "a")
	svc.Backends[0].Unhealthy = true
	p := NewPool("a", SharingAny)
	p.Update(svc, 1)
	r := newSeededRand()
	for range 8 {
		assert.Equal(t, "vm-1", pick(t, p, start, r, Query{}).VM)
	}
	assert.Equal(t, "vm-0", pick(t, p, start, r, Query{}).VM)

	p = newTestPool(2, 1, "a")
	p.SetHealthy("vm-1", false)
	for range 8 {
		assert.Equal(t, "vm-0", pick(t, p, start, r, Query{}).VM)
	}
	p.SetHealthy("vm-1", true)
	assert.Equal(t, "vm-1", pick(t, p, start, r, Query{}).VM)
}

// A backend that left the table gets no further requests, but those in flight must
// be counted until they end: the steward must not reboot the VM before.
func TestRemovedBackendGetsNoRequestsAndStaysCounted(t *testing.T) {
	p := newTestPool(2, 1, "a")
	r := newSeededRand()
	l := pick(t, p, start, r, Query{Tried: []string{"vm-1"}})
	rest := newTestService(2, "a")
	rest.Backends = rest.Backends[1:]
	p.Update(rest, 1)
	for range 8 {
		assert.Equal(t, "vm-1", pick(t, p, start, r, Query{}).VM)
	}
	assert.Equal(t, 1, inFlight(p)["vm-0"])
	p.Done(start, l, EvidenceGood)
	assert.Zero(t, inFlight(p)["vm-0"])
}

// Without a budget, a pool that fails every request would get each request several
// times.
func TestRetryBudgetBoundsRetries(t *testing.T) {
	b := NewBudget()
	spent := 0
	for range 1000 {
		b.Earn(0.1)
		if b.Spend() {
			spent++
		}
	}
	assert.InDelta(t, 100+budgetBurst, spent, 1)
}

// A process paused during a drain resumes with an old table. The first request after
// the resume must be held until the log was read after the resume, whichever
// goroutine runs first. If the log can't be read, it is held for maxPauseHold.
func TestPauseHoldsNewAttemptsUntilLogIsRead(t *testing.T) {
	resumed := start.Add(10 * time.Second)
	t.Run("request runs first", func(t *testing.T) {
		p := NewPause(start)
		assert.True(t, p.Held(resumed, start))
		assert.True(t, p.Held(resumed.Add(time.Millisecond), start), "expected a read from before the pause to be ignored")
		assert.False(t, p.Held(resumed.Add(time.Second), resumed.Add(time.Millisecond)))
	})
	t.Run("beat runs first", func(t *testing.T) {
		p := NewPause(start)
		p.Beat(resumed)
		assert.True(t, p.Held(resumed, start))
	})
	t.Run("log is out", func(t *testing.T) {
		p := NewPause(start)
		assert.True(t, p.Held(resumed, start))
		p.Beat(resumed.Add(maxPauseHold / 2))
		assert.True(t, p.Held(resumed.Add(maxPauseHold/2), start))
		assert.False(t, p.Held(resumed.Add(maxPauseHold+1), start))
	})
	t.Run("never paused", func(t *testing.T) {
		p := NewPause(start)
		for i := range 100 {
			now := start.Add(time.Duration(i) * PauseBeat)
			p.Beat(now)
			assert.False(t, p.Held(now, start))
		}
	})
}
