package scheduler_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	maxAttempts   = 5
	maxLateAppend = 6 * time.Second // how late the store may carry an append out
)

// callers hand jobs in at the nodes of a world, which answer as nodes do: by the outcome of their own
// attempt, or by what the owner rules out if the record was refused.
type callers struct {
	w             *world
	nodes         [4]*acceptance.Memory
	ownerMemories map[*fakeOwner]*acceptance.Memory
	answers       map[int]int // number of answers by status
}

// handedInJob is a job and what its caller was told.
type handedInJob struct {
	*fakeJob
	attempts       int
	wasAccepted    bool
	lastStatus     int
	refusedAttempt int // the last attempt that was answered with a refusal, 0 if none was
}

func newCallers(w *world) *callers {
	c := &callers{w: w, ownerMemories: map[*fakeOwner]*acceptance.Memory{}, answers: map[int]int{}}
	for i := range c.nodes {
		c.nodes[i] = acceptance.NewMemory(w.now)
	}
	return c
}

func (c *callers) isStored(j *handedInJob) bool {
	key, _, err := workload.Record{Job: j.id, Submission: j.submission}.Encode()
	if err != nil {
		panic(err)
	}
	return c.w.store.values[key] != nil
}

// ownerMemory returns what the node of an owner remembers. It has begun with the ownership.
func (c *callers) ownerMemory(o *fakeOwner) *acceptance.Memory {
	if c.ownerMemories[o] == nil {
		c.ownerMemories[o] = acceptance.NewMemory(c.w.now)
	}
	return c.ownerMemories[o]
}

// handIn sends a job to a random node and sends it again as callers do.
func (c *callers) handIn(j *handedInJob) {
	w := c.w
	j.attempts++
	node := w.rng.IntN(len(c.nodes))
	j.lastStatus = c.attempt(j, node)
	c.answers[j.lastStatus]++
	switch {
	case j.lastStatus == http.StatusOK:
		if !j.wasAccepted && w.rng.IntN(2) == 0 {
			w.after(w.durationBetween(500*time.Millisecond, 9*time.Second), func() { c.handIn(j) })
		}
		j.wasAccepted = true
		return
	case j.lastStatus == http.StatusServiceUnavailable && j.wasAccepted:
		w.recordViolation("FALSE REFUSAL", string(j.id)+" was accepted before")
	case j.lastStatus == http.StatusServiceUnavailable && c.isStored(j):
		w.recordViolation("FALSE REFUSAL", string(j.id)+" is stored")
	case j.lastStatus == http.StatusServiceUnavailable:
		j.refusedAttempt = j.attempts
	}
	if j.attempts < maxAttempts {
		w.after(w.durationBetween(200*time.Millisecond, 2*time.Second), func() { c.handIn(j) })
	}
}

// attempt lets a node store a job and returns the status of its answer.
func (c *callers) attempt(j *handedInJob, node int) int {
	w := c.w
	request, by := acceptance.Request{Job: j.id}, workload.Requester{Queue: j.submission.Queue}
	memory := c.nodes[node]
	if memory.IsStored(request, by, w.now) {
		return http.StatusOK
	}
	store := func() { w.appendRecord(workload.Record{Job: j.id, Submission: j.submission}) }
	outcome := acceptance.Refused
	switch draw := w.rng.IntN(10); {
	case draw < 3: // the store rejects the node, or the node the job
	case w.store.unavailable && draw < 8:
	case w.store.unavailable:
		outcome = acceptance.Unknown
	case draw < 7:
		outcome = acceptance.Stored
		store()
	case draw < 8:
		outcome = acceptance.Unknown
		store()
	default:
		outcome = acceptance.Unknown
		attempt := j.attempts
		w.after(w.durationBetween(0, maxLateAppend), func() {
			if j.refusedAttempt > attempt {
				w.recordViolation("FALSE REFUSAL", string(j.id)+" is stored by an attempt before the refusal")
			}
			store()
		})
	}
	memory.Begin(request, w.now)
	memory.End(request, outcome, by, w.now)
	switch outcome {
	case acceptance.Stored:
		return http.StatusOK
	case acceptance.Unknown:
		c.reportOpen(request, w.now.Add(acceptance.AttemptMemory))
		return http.StatusGatewayTimeout
	}
	switch acceptance.Judge(c.evidence(request, node)) {
	case acceptance.Accepted:
		return http.StatusOK
	case acceptance.NeverAccepted:
		return http.StatusServiceUnavailable
	default:
		return http.StatusGatewayTimeout
	}
}

// reportOpen tells the node of the owner of an open attempt, as soon as there is one.
func (c *callers) reportOpen(request acceptance.Request, until time.Time) {
	o := c.w.owner
	switch {
	case o.coreStarted && !o.stopped:
		c.ownerMemory(o).AddOpen(request, c.w.now)
	case c.w.now.Before(until):
		c.w.after(100*time.Millisecond, func() { c.reportOpen(request, until) })
	}
}

// evidence asks an owner, at times one that was replaced.
func (c *callers) evidence(request acceptance.Request, node int) acceptance.Evidence {
	w := c.w
	e := acceptance.Evidence{AttemptRefused: true, HasOpenAttempt: c.nodes[node].IsOpen(request, w.now)}
	o := w.owner
	if w.rng.IntN(4) == 0 {
		o = w.owners[w.rng.IntN(len(w.owners))]
	}
	if !o.coreStarted || o.stopped {
		return e
	}
	if !w.store.unavailable && !o.storeUnreachable {
		e.Owner.ReadSinceAsked = true
		for _, r := range w.store.records() {
			o.applyRecord(r)
		}
	}
	_, e.Known = o.core.JobState(request.Job)
	memory := c.ownerMemory(o)
	e.Owner.IsCurrent = w.owner == o
	e.Owner.WatchedFor = memory.CompleteFor(w.now)
	e.Owner.HasOpenAttempt = memory.IsOpen(request, w.now)
	return e
}

// injectFault replaces the owner, which may run on, or cuts it or all nodes off from the store.
func (c *callers) injectFault() {
	w := c.w
	o := w.owner
	switch w.rng.IntN(5) {
	case 0:
		if !o.stopped {
			w.killOwner(w.durationBetween(100*time.Millisecond, 2*time.Second))
		}
	case 1:
		w.takeOver()
	case 2:
		o.storeUnreachable = true
		w.after(time.Second, w.takeOver)
	case 3:
		o.storeUnreachable = true
		w.after(w.durationBetween(time.Second, 8*time.Second), func() { o.storeUnreachable = false })
	case 4:
		w.store.unavailable = true
		w.after(w.durationBetween(time.Second, 6*time.Second), func() { w.store.unavailable = false })
	}
}

// TestRefusalsInRandomHistories runs random histories whose callers send their jobs up to five times, and at
// times again after they were accepted. Answers of the store are lost, and appends are carried out late.
// No job may be refused after it was accepted, and no attempt before a refusal may be stored after it.
func TestRefusalsInRandomHistories(t *testing.T) {
	answers := map[int]int{}
	for _, seed := range historySeeds(historyCount(t) / 3) {
		w := newWorld(seed, faults{lostWriteAnswer: 0.02})
		for range 6 {
			w.addWorker("worker-"+string(rune('0'+len(w.registry))), workload.Resources{CPU: 32000, MemoryMB: 64000})
		}
		w.takeOver()
		c := newCallers(w)
		var jobs []*handedInJob
		for at := time.Second; at < 60*time.Second; at += w.durationBetween(50*time.Millisecond, 800*time.Millisecond) {
			w.after(at, func() {
				j := &handedInJob{fakeJob: w.newJob(w.randomJobSpec(), "quick")}
				jobs = append(jobs, j)
				c.handIn(j)
			})
		}
		for at := time.Second; at < 60*time.Second; at += w.durationBetween(time.Second, 40*time.Second) {
			w.after(at, c.injectFault)
		}
		w.runUntil(86 * time.Second)
		require.Empty(t, w.violations, "seed %d", seed)
		for _, j := range jobs {
			require.False(t, j.lastStatus == http.StatusServiceUnavailable && c.isStored(j), "seed %d: job %s was refused", seed, j.id)
		}
		for status, n := range c.answers {
			answers[status] += n
		}
	}
	t.Log("answers by status: ", answers)
	assert.NotZero(t, answers[http.StatusServiceUnavailable], "some jobs must be refused")
}
