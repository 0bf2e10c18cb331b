package front

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/yuccadrift/yuccadrift/internal/heldqueue"
	"github.com/yuccadrift/yuccadrift/internal/returntime"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

const (
	// maxHoldWhileStopping bounds the time for which requests are held while the node stops: other nodes
	// serve on.
	maxHoldWhileStopping = 250 * time.Millisecond
	// maxHeldRequests and maxHeldBytes bound the memory of held requests: a connection takes some 30 kB, so
	// the requests take up to 12 MB.
	maxHeldRequests = 256
	maxHeldBytes    = 4 << 20
)

// newHeldRequest returns a request that can be held for a part of its caller's timeout, and for less
// while the node stops.
func (h *Handler) newHeldRequest(req *request, id workload.JobID) *heldRequest {
	limit := heldqueue.MaxHold(req.timeout)
	if h.IsStopping() {
		limit = min(limit, maxHoldWhileStopping)
	}
	bytes := int(req.http.ContentLength)
	if bytes < 0 {
		bytes = defaultMaxBodyBytes
	}
	return &heldRequest{
		holder:  h.Holder,
		request: heldqueue.Request{Workspace: req.workspace, Bytes: bytes, FirstAttemptAt: h.Holder.firstAttempts.FirstAttemptAt(id, req.startedAt)},
		until:   req.startedAt.Add(limit),
		turns:   make(chan bool, 1),
		result:  holdTimedOut,
	}
}

// returnTime returns when the caller of a refused request should send it again. usefulAfter is when that may be of
// use, 0 if it is unknown.
func (h *Handler) returnTime(cause returntime.Cause, usefulAfter time.Duration) time.Duration {
	r := returntime.Refusal{Cause: cause, Delay: usefulAfter, Spread: h.Random()}
	switch cause {
	case returntime.NoConfiguration:
		r.Age = time.Since(h.StartedAt)
	case returntime.StoreUnavailable:
		r.Age = h.StoreSilence()
	}
	delay := returntime.After(r)
	h.Metrics.observeReturn(cause, delay)
	return delay
}

// holdResult is why a request is no longer held.
type holdResult string

// The results of holding a request.
const (
	holdStored   holdResult = "stored"
	holdTimedOut holdResult = "timed_out" // whatever was known of its job then
	holdSentAway holdResult = "sent_away" // others needed the memory
	holdUnknown  holdResult = "unknown"   // its last try has no known outcome
)

// FirstAttempts knows when jobs that could not be stored were first handed in.
type FirstAttempts interface {
	// FirstAttemptAt returns the time of the job's first attempt, or at if no earlier one is known.
	FirstAttemptAt(id workload.JobID, at time.Time) time.Time
}

// Holder holds requests that can't be stored at the moment until they are stored, or their time is over.
// It is safe for concurrent use.
type Holder struct {
	firstAttempts FirstAttempts
	logger        hclog.Logger
	metrics       *holdMetrics

	mu      sync.Mutex
	queue   *heldqueue.Queue
	held    map[heldqueue.ID]*heldRequest
	lastID  heldqueue.ID
	timer   *time.Timer // runs wakeNext when the queue has a try to make
	episode holdEpisode
}

// heldRequest is a request that is or may be held.
type heldRequest struct {
	holder *Holder
	// request has the ID 0 until the request is held for the first time.
	request heldqueue.Request
	heldAt  time.Time
	until   time.Time
	// turns receives true when the request is to be tried, false when it is sent away.
	turns  chan bool
	result holdResult
}

// holdEpisode counts what was held in an outage of the store.
type holdEpisode struct {
	beganAt time.Time
	held    int
	results map[holdResult]int
	longest time.Duration
}

// NewHolder returns a holder without requests.
func NewHolder(firstAttempts FirstAttempts, r prometheus.Registerer, logger hclog.Logger) *Holder {
	h := &Holder{
		firstAttempts: firstAttempts,
		logger:        logger,
		queue:         heldqueue.New(heldqueue.Limits{Requests: maxHeldRequests, Bytes: maxHeldBytes}),
		held:          map[heldqueue.ID]*heldRequest{},
	}
	h.metrics = newHoldMetrics(r, h)
	h.timer = time.AfterFunc(time.Hour, h.wakeNext)
	h.timer.Stop()
	return h
}

// awaitTurn holds the request after a try without effect. It reports whether the request is to be tried
// again; otherwise its time is over, ctx has ended or others need its memory.
func (r *heldRequest) awaitTurn(ctx context.Context) bool {
	now := time.Now()
	if !now.Before(r.until) {
		return false
	}
	r.holder.wait(r, now)
	deadline := time.NewTimer(r.until.Sub(now))
	defer deadline.Stop()
	select {
	case again := <-r.turns:
		if !again {
			r.result = holdSentAway
		}
		return again
	case <-deadline.C:
	case <-ctx.Done():
	}
	r.holder.withdraw(r)
	return false
}

// stored records that the request is stored.
func (r *heldRequest) stored() { r.result = holdStored }

// unknown records that it is not known whether the request is stored.
func (r *heldRequest) unknown() { r.result = holdUnknown }

// leave ends the holding of the request. It returns for how long it was held, 0 if it was not.
func (r *heldRequest) leave() time.Duration {
	h := r.holder
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if r.heldAt.IsZero() {
		if r.result == holdStored && h.queue.Len() > 0 {
			h.queue.StoreAnswers(now)
			h.wake(now)
		}
		return 0
	}
	took := now.Sub(r.heldAt)
	delete(h.held, r.request.ID)
	if r.result == holdStored {
		h.queue.Stored(r.request.ID)
	} else {
		h.queue.Remove(r.request.ID)
	}
	h.metrics.observe(r.result, took)
	h.recordEnd(r.result, took, now)
	h.wake(now)
	return took
}

// wait adds r to the queue, or records that its last try had no effect if it is held already.
func (h *Holder) wait(r *heldRequest, now time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !r.heldAt.IsZero() {
		h.queue.Failed(r.request.ID, now)
		h.wake(now)
		return
	}
	h.lastID++
	r.request.ID, r.heldAt = h.lastID, now
	h.held[r.request.ID] = r
	if h.episode.held == 0 {
		h.episode = holdEpisode{beganAt: now, results: map[holdResult]int{}}
	}
	h.episode.held++
	for _, id := range h.queue.Add(r.request, now) {
		h.held[id].turns <- false
	}
	h.wake(now)
}

// withdraw removes r from the queue: the tries of others don't wait for it while its response is decided.
func (h *Holder) withdraw(r *heldRequest) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.queue.Remove(r.request.ID)
	h.wake(time.Now())
}

// StoreAnswers tells the holder that the store answers this node again.
func (h *Holder) StoreAnswers() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	if h.queue.Len() > 0 {
		h.queue.StoreAnswers(now)
		h.wake(now)
	}
	if len(h.held) == 0 {
		h.logEpisode(now)
	}
}

func (h *Holder) wakeNext() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.wake(time.Now())
}

// wake lets the requests go on that are to be tried now. h.mu must be held.
func (h *Holder) wake(now time.Time) {
	tries, next := h.queue.Next(now)
	for _, id := range tries {
		h.held[id].turns <- true
	}
	h.timer.Stop()
	if !next.IsZero() {
		h.timer.Reset(next.Sub(now))
	}
}

// recordEnd counts a request that is no longer held, and logs the counts when the last one is stored. h.mu
// must be held.
func (h *Holder) recordEnd(result holdResult, took time.Duration, now time.Time) {
	h.episode.results[result]++
	h.episode.longest = max(h.episode.longest, took)
	if len(h.held) == 0 && result == holdStored {
		h.logEpisode(now)
	}
}

// logEpisode logs what was held since the last such line. h.mu must be held.
func (h *Holder) logEpisode(now time.Time) {
	e := h.episode
	if e.held == 0 {
		return
	}
	h.episode = holdEpisode{}
	h.logger.Info("held requests let in", "held", e.held, "stored", e.results[holdStored], "timed_out", e.results[holdTimedOut],
		"sent_away", e.results[holdSentAway], "unknown", e.results[holdUnknown],
		"longest_ms", e.longest.Milliseconds(), "lasted_ms", now.Sub(e.beganAt).Milliseconds())
}

// count returns the number of requests that are held.
func (h *Holder) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.held)
}
