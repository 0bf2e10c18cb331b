package proof

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/testkit"
)

// startPool starts a cluster with the service "booking" and waits until its vms VMs are serving and
// the entries are ready.
func startPool(t *testing.T, vms int, opts testkit.Options) *testkit.Cluster {
	t.Helper()
	opts.Fleet = []testkit.Group{{Prefix: "vm", Count: vms, Zones: []string{"a", "b"}, BootSeconds: 0.3}}
	c := testkit.Start(t, opts)
	c.Publish(testDocument("booking", vms, 1))
	awaitServing(c, "booking", vms)
	c.AwaitReady()
	return c
}

// sendConcurrently sends count requests to n at once and returns a channel of their answers.
func sendConcurrently(n *testkit.Node, count int, r func() testkit.Request) <-chan testkit.Answer {
	answers := make(chan testkit.Answer, count)
	for range count {
		go func() { answers <- n.Send(context.Background(), r()) }()
	}
	return answers
}

// An entry process is paused while a backend server is drained and callers' requests queue at the
// paused process. When it resumes, its routing table is stale: it must read the log before it
// forwards any request, so that the drained backend server gets none and every caller still gets an
// answer.
func TestEntryStoppedAcrossDrainSendsNothingToTheDrainedBackend(t *testing.T) {
	const vms, callers = 4, 24
	c := startPool(t, vms, testkit.Options{Nodes: []string{"a", "b"}})
	paused := c.Nodes[1]
	lookup := func() testkit.Request { return testkit.Request{Path: "/booking/lookup", Work: 20 * time.Millisecond} }
	drained := ""
	for answers := sendConcurrently(paused, callers, lookup); drained == ""; { // a VM that the process forwards to
		a := <-answers
		require.True(t, a.OK(), "%+v", a)
		drained = a.VM
	}
	c.Until("all slots are free", func() bool {
		n := 0
		for _, vm := range c.Standin.Counters().Backends.VMs {
			n += vm.Runs
		}
		return n == callers
	})

	paused.Entry.Pause()
	const minPause = 1500 * time.Millisecond // longer than a stall of the machine
	resume := time.After(minPause)
	c.MustCommand("drain", drained)
	c.Until("the drain is effective", func() bool { return c.Standin.State().VMs[drained].Phase == record.PhaseDraining })
	before := c.Standin.Counters().Backends.VMs[drained].Seen
	answers := sendConcurrently(paused, callers, lookup)
	<-resume
	paused.Entry.Resume()
	for range callers {
		a := <-answers
		assert.True(t, a.OK(), "%+v", a)
	}
	assert.Equal(t, before, c.Standin.Counters().Backends.VMs[drained].Seen)
}

// An entry process gets SIGTERM while long requests are in flight. Each must get its complete
// answer, and the process must exit without an error.
func TestEntryToldToStopFinishesLongRequests(t *testing.T) {
	const long = 6
	c := startPool(t, 2, testkit.Options{Nodes: []string{"a"}})
	answers := sendConcurrently(c.Nodes[0], long, func() testkit.Request {
		return testkit.Request{Path: "/booking/lookup", Work: 2 * time.Second, ReplyBytes: 200_000}
	})
	c.Until("the long requests run", func() bool { return c.Standin.Counters().Backends.Runs == long })
	c.Nodes[0].Entry.Terminate()
	for range long {
		a := <-answers
		assert.True(t, a.OK(), "%+v", a)
		assert.Empty(t, a.Problem())
	}
	assert.NoError(t, c.Nodes[0].Entry.Wait())
}

// The network between the entry VMs and the backend servers fails while a booking is sent. The
// caller retries at the other entry VM, during the fault and after it. The booking must run at most
// once, and the outcome may be "not-run" only if no backend server received the request.
func TestBookingOverBrokenNetworkRunsAtMostOnce(t *testing.T) {
	faults := map[string]func(*testkit.Link){
		"refused":                   (*testkit.Link).Cut,
		"answer cut in the header":  func(l *testkit.Link) { l.CutAfter(20) },
		"answer cut in the body":    func(l *testkit.Link) { l.CutAfter(1000) },
		"no byte passes":            (*testkit.Link).Blackhole,
		"requests pass, no answers": (*testkit.Link).BlackholeReplies,
	}
	c := startPool(t, 2, testkit.Options{Nodes: []string{"a", "b"}, BackendLinks: true})
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			key := testkit.Key()
			send := func(node, attempt int) testkit.Answer {
				return c.Nodes[node].Send(t.Context(), testkit.Request{
					Path: "/booking/book", Key: key, Attempt: attempt, ReplyBytes: 5000,
					Deadline: 700 * time.Millisecond, Body: []byte("chair 7"),
				})
			}
			check := func(a testkit.Answer) {
				require.NoError(t, a.Err)
				if k := c.Standin.KeyCounters(key); a.Outcome == outcome.NotRun {
					assert.Zero(t, k.Seen, "outcome not-run with reason %s", a.Reason)
				}
				assert.LessOrEqual(t, c.Standin.KeyCounters(key).Runs, 1)
			}
			for _, l := range c.Backends {
				fault(l)
			}
			check(send(0, 1))
			check(send(1, 2))
			for _, l := range c.Backends {
				l.Heal()
			}
			last := send(1, 3)
			check(last)
			assert.LessOrEqual(t, c.Standin.KeyCounters(key).Seen, 1)
			if name == "refused" {
				assert.True(t, last.OK(), "no byte was sent before, so the retry must run: %+v", last)
			}
		})
	}
}

// Callers load both entry VMs while a backend server is drained. From 3 s after the drain is
// effective it must get no request from either. Requests in flight, a long one among them, must get
// their complete answers before the VM leaves the draining phase.
func TestDrainedBackendGetsNoNewWorkFromAnyEntry(t *testing.T) {
	const vms = 3
	const bound = 3 * time.Second
	c := startPool(t, vms, testkit.Options{Nodes: []string{"a", "b"}})
	held := sendConcurrently(c.Nodes[0], 1, func() testkit.Request {
		return testkit.Request{Path: "/booking/lookup", Work: 2 * time.Second, ReplyBytes: 100_000}
	})
	drained := ""
	c.Until("the long request runs", func() bool {
		for vm, n := range c.Standin.Counters().Backends.VMs {
			if n.Runs > 0 {
				drained = vm
			}
		}
		return drained != ""
	})
	stop := startStream(c, 8, func(int, int) testkit.Request {
		return testkit.Request{Path: "/booking/lookup", Work: 10 * time.Millisecond, ReplyBytes: 1000}
	})
	c.Until("other requests run", func() bool { return c.Standin.Counters().Backends.Runs > 100 })

	c.MustCommand("drain", drained) // returns once the drain is effective
	effective := time.Now()
	c.Until("the requests at the drained VM have ended", func() bool {
		return c.Standin.State().VMs[drained].Phase != record.PhaseDraining
	})
	last := c.Standin.Counters().Backends.VMs[drained].LastSeen
	for _, a := range append(stop(), <-held) {
		assert.True(t, a.OK(), "%+v", a)
		assert.Empty(t, a.Problem())
	}
	assert.Less(t, last.Sub(effective), bound)
	t.Logf("last request %s after the drain", last.Sub(effective))
}
