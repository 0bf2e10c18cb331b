package dispatch

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/url"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/backend"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// fakeBackends answers each try with answer, which gets the try's number from 1.
type fakeBackends struct {
	mu     sync.Mutex
	tried  []string
	answer func(try int, req *backend.Request) backend.Answer
}

func (f *fakeBackends) Update(map[string]int) {}

func (f *fakeBackends) Do(_ context.Context, req *backend.Request) backend.Answer {
	f.mu.Lock()
	f.tried = append(f.tried, req.Address)
	try := len(f.tried)
	f.mu.Unlock()
	return f.answer(try, req)
}

func (f *fakeBackends) triedAddresses() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.tried...)
}

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu sync.Mutex
	r  *rand.Rand
}

func (s *lockedRand) IntN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.r.IntN(n)
}

type noObserver struct{}

func (noObserver) Retried(string, backend.Failure)              {}
func (noObserver) Shed(string, document.Class, routing.Refusal) {}

// grantingClaims grants every claim and records the reported outcomes.
type grantingClaims struct{ ends []outcome.Outcome }

func (c *grantingClaims) Begin(context.Context, *Call) (Permit, Denial) { return c, Denial{} }
func (c *grantingClaims) End(o outcome.Outcome, _ *backend.Answer)      { c.ends = append(c.ends, o) }

func table(offset uint64, vms ...string) *routing.Table {
	svc := &routing.Service{Name: "s", Limits: document.Limits{Slots: 8, Connections: 64, RetryShare: 0.1}}
	for _, vm := range vms {
		svc.Backends = append(svc.Backends, routing.Backend{VM: vm, Address: vm})
	}
	return &routing.Table{Offset: offset, Members: 1, Services: map[string]*routing.Service{"s": svc}}
}

func newDispatcher(f *fakeBackends, c Claims) *Dispatcher {
	return New(Config{Zone: "a", MaxConnections: 64, Backends: f, Claims: c, Observer: noObserver{}, Rand: &lockedRand{r: rand.New(rand.NewPCG(1, 2))}})
}

func newCall(repeatable bool) *Call {
	return &Call{
		Service: "s", Limits: document.Limits{RetryShare: 0.1}, Route: document.Route{Repeatable: repeatable, Deadline: 10 * time.Second},
		Deadline: time.Now().Add(10 * time.Second), Method: http.MethodGet, URL: &url.URL{Path: "/"}, Header: backend.Header{},
	}
}

func answerRan(int, *backend.Request) backend.Answer {
	return backend.Answer{Outcome: outcome.Ran, Status: http.StatusOK}
}

// The entry VM is paused while "old" is drained. After the resume a request runs
// before anything else. It must wait for a table from a log read that was sent
// after the resume, and then go to "new".
func TestRequestAfterPauseWaitsForCurrentTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackends{answer: answerRan}
		d := newDispatcher(f, &grantingClaims{})
		d.Update(table(1, "old"), time.Now())
		time.Sleep(5 * time.Second) // no beat: the process is paused
		results := make(chan Result, 1)
		go func() { results <- d.Do(t.Context(), newCall(true)) }()
		time.Sleep(50 * time.Millisecond)
		d.Update(table(1, "old"), time.Now().Add(-time.Second)) // read sent before the resume
		time.Sleep(50 * time.Millisecond)
		assert.Empty(t, f.triedAddresses())
		d.Update(table(2, "new"), time.Now())
		assert.Equal(t, outcome.Ran, (<-results).Outcome)
		assert.Equal(t, []string{"new"}, f.triedAddresses())
	})
}

// The process is paused between the pick of a backend server and the write. The
// write must be refused, and another backend server picked after the resume.
func TestPauseBetweenPickAndWritePicksAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fakeBackends{}
		d := newDispatcher(f, &grantingClaims{})
		f.answer = func(try int, req *backend.Request) backend.Answer {
			if try > 1 {
				return answerRan(try, req)
			}
			time.Sleep(3 * time.Second)
			if req.BeforeWrite() == nil {
				t.Error("expected no write with a table that may be stale")
			}
			go d.Update(table(2, "new"), time.Now().Add(time.Millisecond))
			return backend.Answer{Outcome: outcome.NotRun, Failure: backend.FailureUnsent}
		}
		d.Update(table(1, "old"), time.Now())
		res := d.Do(t.Context(), newCall(false))
		assert.Equal(t, outcome.Ran, res.Outcome)
		assert.Equal(t, []string{"old", "new"}, f.triedAddresses())
	})
}

// The caller gets one outcome for all tries. Once a try may have run, the outcome
// must not be "not-run", and a not-repeatable call must not be tried again.
func TestOutcomeOfSeveralTries(t *testing.T) {
	unknown := backend.Answer{Outcome: outcome.Unknown, Failure: backend.FailureBroken}
	unsent := backend.Answer{Outcome: outcome.NotRun, Failure: backend.FailureDial}
	full := backend.Answer{Outcome: outcome.NotRun, Failure: backend.FailureRefused, Status: http.StatusServiceUnavailable}
	failed := backend.Answer{Outcome: outcome.Ran, Status: http.StatusInternalServerError}
	good := backend.Answer{Outcome: outcome.Ran, Status: http.StatusOK}
	cases := []struct {
		name       string
		repeatable bool
		answers    []backend.Answer
		want       outcome.Outcome
		status     int
		tries      int
	}{
		{"unknown, then unsent", true, []backend.Answer{unknown, unsent, unsent}, outcome.Unknown, 0, 3},
		{"unknown, then refused", true, []backend.Answer{unknown, full, full}, outcome.Unknown, 0, 3},
		{"unknown, then ran", true, []backend.Answer{unknown, good}, outcome.Ran, 200, 2},
		{"failed, then unsent", true, []backend.Answer{failed, unsent, unsent}, outcome.Ran, 500, 3},
		{"unsent, then ran", false, []backend.Answer{unsent, good}, outcome.Ran, 200, 2},
		{"refused everywhere", false, []backend.Answer{full, full, full}, outcome.NotRun, 0, 3},
		{"not repeatable, unknown", false, []backend.Answer{unknown}, outcome.Unknown, 0, 1},
		{"not repeatable, failed", false, []backend.Answer{failed}, outcome.Ran, 500, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := &fakeBackends{answer: func(try int, _ *backend.Request) backend.Answer { return c.answers[try-1] }}
			claims := &grantingClaims{}
			d := newDispatcher(f, claims)
			d.Update(table(1, "x", "y", "z"), time.Now())
			res := d.Do(t.Context(), newCall(c.repeatable))
			res.Close(true)
			assert.Equal(t, c.want, res.Outcome)
			assert.Equal(t, c.status, res.Answer.Status)
			assert.Len(t, f.triedAddresses(), c.tries)
			if !c.repeatable {
				assert.Equal(t, []outcome.Outcome{c.want}, claims.ends)
			}
			_, inFlight := d.InFlights()
			assert.Empty(t, inFlight)
		})
	}
}
