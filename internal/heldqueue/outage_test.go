package heldqueue_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/heldqueue"
	"github.com/yuccadrift/yuccadrift/internal/returntime"
)

// Figures of the simulated nodes and callers.
const (
	tick        = 5 * time.Millisecond
	storeTime   = 2 * tick               // of a record
	noticeTime  = 100 * time.Millisecond // until a node notices that the store is back
	maxAttempts = 5
	callTimeout = 3 * time.Second // of one attempt
)

// policy is a way to treat requests that can't be stored.
type policy struct {
	hold  func(timeout time.Duration) time.Duration
	after func(age time.Duration, spread float64) time.Duration
}

func hold250ms(timeout time.Duration) time.Duration {
	return max(0, min(250*time.Millisecond, timeout-100*time.Millisecond)) // a response takes some of the time
}

func fixed(d time.Duration) func(time.Duration, float64) time.Duration {
	return func(time.Duration, float64) time.Duration { return d }
}

var (
	standing = policy{hold: hold250ms, after: fixed(time.Second)}
	built    = policy{hold: heldqueue.MaxHold, after: func(age time.Duration, spread float64) time.Duration {
		return returntime.After(returntime.Refusal{Cause: returntime.StoreUnavailable, Age: age, Spread: spread})
	}}
)

// caller sends one job until it is stored, its attempts are used up or its time is over.
type caller struct {
	firstAt, nextAt, heldUntil, storedAt time.Duration
	attempts, node, stored               int
	isHeld, isRefused                    bool // isRefused: told that the job is not stored, with no attempt left
}

// world is nodes, a store and callers in virtual time.
type world struct {
	t             *testing.T
	rand          *rand.Rand
	policy        policy
	outage        [2]time.Duration
	cutNodes      int           // only these nodes lose the store, all if 0
	totalTime     time.Duration // that a caller has for all attempts, 0 for no bound
	returnsAtOnce bool          // callers are told nothing certain and come back at once
	nodes         []*heldqueue.Queue
	callers       []*caller
	now           time.Duration
	mostAtOnce    int
	mostHeld      int
	inFlight      map[heldqueue.ID]time.Duration // stored at
	inFlightNodes []int
}

func newWorld(t *testing.T, nodes int, p policy, outage time.Duration) *world {
	w := &world{t: t, rand: rand.New(rand.NewPCG(7, 7)), policy: p, outage: [2]time.Duration{time.Second, time.Second + outage}, inFlight: map[heldqueue.ID]time.Duration{}, inFlightNodes: make([]int, nodes)}
	for range nodes {
		w.nodes = append(w.nodes, heldqueue.New(heldqueue.Limits{Requests: 256, Bytes: 1 << 20}))
	}
	return w
}

// addCallers adds callers that come evenly in a span of time.
func (w *world) addCallers(n int, from, to time.Duration) {
	for i := range n {
		at := from + time.Duration(i)*(to-from)/time.Duration(n)
		w.callers = append(w.callers, &caller{firstAt: at, nextAt: at})
	}
}

func (w *world) at(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (w *world) isAway(node int, at time.Duration) bool {
	return at >= w.outage[0] && at < w.outage[1] && (w.cutNodes == 0 || node < w.cutNodes)
}

// timeLeft returns what a caller's timeout states.
func (w *world) timeLeft(c *caller) time.Duration {
	if w.totalTime > 0 {
		return min(callTimeout, c.firstAt+w.totalTime-w.now)
	}
	return callTimeout
}

func (w *world) run(until time.Duration) {
	for ; w.now < until; w.now += tick {
		if w.now == w.outage[1]+noticeTime {
			for _, q := range w.nodes {
				q.StoreAnswers(w.at(w.now))
			}
		}
		for i, c := range w.callers {
			w.step(heldqueue.ID(i), c)
		}
		for i, q := range w.nodes {
			tries, _ := q.Next(w.at(w.now))
			for _, id := range tries {
				w.try(id, i)
			}
			w.mostAtOnce, w.mostHeld = max(w.mostAtOnce, w.inFlightNodes[i]), max(w.mostHeld, q.Len())
		}
	}
}

// step lets a caller send, and ends its attempt when its time is over.
func (w *world) step(id heldqueue.ID, c *caller) {
	if at, ok := w.inFlight[id]; ok && w.now >= at {
		delete(w.inFlight, id)
		w.inFlightNodes[c.node]--
		w.nodes[c.node].Stored(id)
		c.stored, c.storedAt, c.isHeld = c.stored+1, w.now, false
		return
	}
	_, isUnderWay := w.inFlight[id]
	switch {
	case c.stored > 0 || c.isRefused || isUnderWay:
	case c.isHeld && w.now >= c.heldUntil:
		w.nodes[c.node].Remove(id)
		w.refuse(c)
	case !c.isHeld && w.now >= c.nextAt:
		c.attempts++
		c.node = w.rand.IntN(len(w.nodes))
		c.heldUntil = w.now + w.policy.hold(w.timeLeft(c))
		if !w.isAway(c.node, w.now) {
			w.inFlight[id] = w.now + storeTime
			w.inFlightNodes[c.node]++
			return
		}
		c.isHeld = true
		for _, away := range w.nodes[c.node].Add(heldqueue.Request{ID: id, Bytes: 500, FirstAttemptAt: w.at(c.firstAt)}, w.at(w.now)) {
			w.refuse(w.callers[away])
		}
	}
}

// try is a try of a held request.
func (w *world) try(id heldqueue.ID, node int) {
	if w.isAway(node, w.now) {
		w.nodes[node].Failed(id, w.at(w.now))
		return
	}
	w.inFlight[id] = w.now + storeTime
	w.inFlightNodes[node]++
}

// shareOfTimeLeft is for how much of its time left a caller waits at most after each of its attempts.
var shareOfTimeLeft = []float64{0.36, 0.43, 0.65, 0.65, 0.65}

// minAttemptTime is the time left with which a caller makes no further attempt.
const minAttemptTime = 100 * time.Millisecond

// refuse tells a caller when to return. A caller with a bound on its time comes back earlier if it must.
func (w *world) refuse(c *caller) {
	c.isHeld = false
	wait := w.policy.after(w.now-w.outage[0], w.rand.Float64())
	if w.totalTime > 0 {
		wait = min(wait, time.Duration((0.8+0.4*w.rand.Float64())*shareOfTimeLeft[c.attempts-1]*float64(w.timeLeft(c))))
	}
	if w.returnsAtOnce {
		wait = 2 * tick
	}
	c.nextAt = w.now + wait
	c.isRefused = c.attempts == maxAttempts || w.totalTime > 0 && c.firstAt+w.totalTime-c.nextAt < minAttemptTime
}

// outcome of the callers that first came while the store was away.
type outcome struct {
	served   float64       // share
	meanWait time.Duration // after the store's return
}

// outcome also checks that no job is stored twice, or stored after its caller was told that it is not.
func (w *world) outcome(from, to time.Duration) (o outcome) {
	n, served := 0, 0
	for i, c := range w.callers {
		assert.LessOrEqual(w.t, c.stored, 1, "job %d was stored twice", i)
		assert.False(w.t, c.isRefused && c.stored > 0, "job %d was stored after a refusal", i)
		if c.firstAt < from || c.firstAt >= to {
			continue
		}
		n++
		if c.stored > 0 {
			served++
			o.meanWait += max(0, c.storedAt-max(c.firstAt, w.outage[1]))
		}
	}
	o.served = float64(served) / float64(n)
	o.meanWait /= time.Duration(max(1, served))
	return o
}

// Guards against callers that use up their attempts in an outage of the store, and against callers of a short
// outage that are told to stay away for long.
func TestStoreAwayFor2To6SecondsWithCallersOfFiveAttempts(t *testing.T) {
	play := func(p policy, length time.Duration) outcome {
		w := newWorld(t, 12, p, length)
		w.addCallers(600, 0, 10*time.Second)
		w.run(30 * time.Second)
		return w.outcome(w.outage[0], w.outage[1])
	}
	for _, length := range []time.Duration{2 * time.Second, 4 * time.Second, 6 * time.Second} {
		before, fixed3s, after := play(standing, length), play(policy{hold: hold250ms, after: fixed(3 * time.Second)}, length), play(built, length)
		t.Logf("away for %s: served %.3f, %.0f ms after the return; 3 s: %.3f, %.0f ms; built: %.3f, %.0f ms", length,
			before.served, before.meanWait.Seconds()*1000, fixed3s.served, fixed3s.meanWait.Seconds()*1000, after.served, after.meanWait.Seconds()*1000)
		assert.Equal(t, 1.0, after.served)
		assert.Less(t, after.meanWait, time.Second)
		assert.Less(t, after.meanWait, fixed3s.meanWait)
	}
}

// Guards against callers with a time in total that come shortly before the store's return and are not served.
func TestStoreAwayWithCallersOfThreeSecondsInTotal(t *testing.T) {
	play := func(p policy) outcome {
		w := newWorld(t, 12, p, 4*time.Second)
		w.totalTime = 3 * time.Second
		w.addCallers(6000, 0, 10*time.Second)
		w.run(20 * time.Second)
		return w.outcome(w.outage[1]-w.totalTime, w.outage[1])
	}
	evenly := policy{hold: func(timeout time.Duration) time.Duration { return timeout * 3 / 10 }, after: built.after}
	before, sameShare, after := play(standing), play(evenly), play(built)
	t.Logf("served %.3f, %.0f ms after the return; always held for 0.3: %.3f, %.0f ms; built: %.3f, %.0f ms", before.served, before.meanWait.Seconds()*1000,
		sameShare.served, sameShare.meanWait.Seconds()*1000, after.served, after.meanWait.Seconds()*1000)
	assert.GreaterOrEqual(t, after.served, before.served-0.005)
	assert.Greater(t, after.served, sameShare.served)
	assert.Less(t, after.meanWait, before.meanWait)
}

// Guards against callers that are told nothing certain, come back at once and have no attempt left when the store
// returns.
func TestStoreAwayWithCallersThatReturnAtOnce(t *testing.T) {
	w := newWorld(t, 12, built, 4*time.Second)
	w.totalTime, w.returnsAtOnce = 3*time.Second, true
	w.addCallers(6000, 0, 10*time.Second)
	w.run(20 * time.Second)
	o := w.outcome(w.outage[1]-w.totalTime, w.outage[1])
	t.Logf("served %.3f, %.0f ms after the return", o.served, o.meanWait.Seconds()*1000)
	assert.GreaterOrEqual(t, o.served, 0.9)
}

// Guards against an outage's callers that come back as one wave, exhaust a node's memory or hold up those that
// come later.
func TestReturnOf5000Callers(t *testing.T) {
	w := newWorld(t, 14, built, 4*time.Second)
	w.addCallers(5000, 3*time.Second, 5*time.Second)
	w.addCallers(1000, 5*time.Second, 15*time.Second)
	w.run(20 * time.Second)
	assert.LessOrEqual(t, w.mostHeld, 256)
	assert.Equal(t, 1.0, w.outcome(0, 5*time.Second).served)
	later := w.outcome(5*time.Second, 15*time.Second)
	assert.Equal(t, 1.0, later.served)
	assert.LessOrEqual(t, later.meanWait, storeTime+tick)
}

// Guards against callers of nodes without the store that wait although the other nodes have it.
func TestStoreAwayForAThirdOfTheNodes(t *testing.T) {
	w := newWorld(t, 12, built, 9*time.Second)
	w.cutNodes, w.totalTime = 4, 3*time.Second
	w.addCallers(600, 0, 10*time.Second)
	w.run(20 * time.Second)
	o := w.outcome(w.outage[0], w.outage[1])
	assert.GreaterOrEqual(t, o.served, 0.98) // a caller may meet cut nodes with each of its attempts
}
