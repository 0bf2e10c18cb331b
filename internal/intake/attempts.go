package intake

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

const (
	// openReportInterval is the pause before open attempts are reported again.
	openReportInterval = 100 * time.Millisecond
	// openReportTimeout bounds one report. An owner's node answers within milliseconds.
	openReportTimeout = 300 * time.Millisecond
	// maxUnreported bounds the open attempts that no owner's node has been told of: those of 20 s at
	// 100 a second.
	maxUnreported = 2048
)

// attemptLog remembers the attempts of this node to store records, and reports those with an unknown
// outcome to the nodes of their partitions' owners. It is safe for concurrent use.
type attemptLog struct {
	peers  Peers
	logger hclog.Logger

	mu         sync.Mutex
	memory     *acceptance.Memory
	unreported map[acceptance.Request]time.Time // by open attempt: when it is no use to report it any more
	reporting  map[int]bool                     // by partition: whether runReports runs
}

func newAttemptLog(peers Peers, logger hclog.Logger) *attemptLog {
	return &attemptLog{peers: peers, logger: logger, memory: acceptance.NewMemory(time.Now()), unreported: map[acceptance.Request]time.Time{}, reporting: map[int]bool{}}
}

// requestOf returns the request that a record stands for, and who has sent it.
func requestOf(partition int, r workload.Record) (acceptance.Request, workload.Requester) {
	request := acceptance.Request{Partition: partition, Job: r.Job, Cancels: r.Cancel}
	switch {
	case r.Submission != nil:
		return request, workload.Requester{Workspace: r.Submission.Workspace, Queue: r.Submission.Queue}
	case r.CancelledBy != nil:
		return request, *r.CancelledBy
	default:
		return request, workload.Requester{}
	}
}

// begin records that an attempt is in flight. isStored is set if none is needed: this node has stored
// or relayed the requester's record already. Otherwise end must follow.
func (l *attemptLog) begin(partition int, r workload.Record) (isStored bool) {
	request, by := requestOf(partition, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if l.memory.IsStored(request, by, now) {
		return true
	}
	l.memory.Begin(request, now)
	return false
}

// end records the outcome of an attempt.
func (l *attemptLog) end(partition int, r workload.Record, status platform.StoreStatus) {
	request, by := requestOf(partition, r)
	o := acceptance.Refused
	switch status {
	case platform.StoreOK:
		o = acceptance.Stored
	case platform.StoreUnknown:
		o = acceptance.Unknown
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memory.End(request, o, by, time.Now())
}

// addOpen records open attempts of other nodes.
func (l *attemptLog) addOpen(requests []acceptance.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range requests {
		l.memory.AddOpen(request, time.Now())
	}
}

// reportOpen reports that the outcome of an attempt is unknown, in the background.
func (l *attemptLog) reportOpen(partition int, r workload.Record) {
	request, _ := requestOf(partition, r)
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.unreported) >= maxUnreported {
		l.logger.Warn("open attempt is not reported, too many are", "job", r.Job, "partition", partition)
		return
	}
	l.unreported[request] = time.Now().Add(acceptance.AttemptMemory)
	if !l.reporting[partition] {
		l.reporting[partition] = true
		go l.runReports(partition)
	}
}

// reportInFlight reports an attempt that doesn't pass through the owner's node, which would remember it:
// the caller may leave while it is in flight, and have its next attempt refused at another node.
func (r *Router) reportInFlight(partition int, record workload.Record) {
	if r.peers.Owner(partition) != "" {
		r.attempts.reportOpen(partition, record)
	}
}

// runReports reports open attempts in a partition until none is left.
func (l *attemptLog) runReports(partition int) {
	for {
		requests := l.takeUnreported(partition)
		if len(requests) == 0 {
			return
		}
		if err := l.report(partition, requests); err != nil {
			l.logger.Debug("open attempts can't be reported yet", "partition", partition, "attempts", len(requests), "error", err)
		} else {
			l.removeReported(requests)
		}
		wait.Pause(context.Background(), openReportInterval)
	}
}

func (l *attemptLog) report(partition int, requests []acceptance.Request) error {
	ctx, cancel := context.WithTimeout(context.Background(), openReportTimeout)
	defer cancel()
	return l.peers.ReportOpen(ctx, partition, requests)
}

// takeUnreported returns the attempts in a partition to report. If there are none, the partition's
// goroutine of reports ends.
func (l *attemptLog) takeUnreported(partition int) []acceptance.Request {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	var requests []acceptance.Request
	for request, until := range l.unreported {
		switch {
		case request.Partition != partition:
		case now.Before(until):
			requests = append(requests, request)
		default:
			delete(l.unreported, request)
		}
	}
	if len(requests) == 0 {
		delete(l.reporting, partition)
	}
	return requests
}

func (l *attemptLog) removeReported(requests []acceptance.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, request := range requests {
		delete(l.unreported, request)
	}
}

// HasOpenAttempt reports whether an attempt is in flight or has an unknown outcome, at this node or at
// one that has reported so.
func (r *Router) HasOpenAttempt(request acceptance.Request) bool {
	r.attempts.mu.Lock()
	defer r.attempts.mu.Unlock()
	return r.attempts.memory.IsOpen(request, time.Now())
}

// HasStored reports whether this node has stored or relayed the requester's record lately.
func (r *Router) HasStored(request acceptance.Request, by workload.Requester) bool {
	r.attempts.mu.Lock()
	defer r.attempts.mu.Unlock()
	return r.attempts.memory.IsStored(request, by, time.Now())
}

// AttemptsCompleteFor returns for how long this node has remembered all attempts of which it heard.
func (r *Router) AttemptsCompleteFor() time.Duration {
	r.attempts.mu.Lock()
	defer r.attempts.mu.Unlock()
	return r.attempts.memory.CompleteFor(time.Now())
}

// ServeOpen records open attempts that another node has reported.
func (r *Router) ServeOpen(requests []acceptance.Request) { r.attempts.addOpen(requests) }
