package entrypeer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
)

const (
	// maxReports is the maximum number of reports that wait for delivery. Further
	// reports are dropped, and retries of their keys get "unknown" after the
	// deadline of the attempt.
	maxReports = 4096
	// maxDeliveries is the maximum number of concurrent deliveries.
	maxDeliveries = 256
	// reportTimeout is how long the delivery of one report is retried.
	reportTimeout = 15 * time.Second
	// flushInterval is how often Flush checks for undelivered reports.
	flushInterval = 5 * time.Millisecond
)

// report is a result that was not delivered to the key's owner yet.
type report struct {
	result claim.Result
	until  time.Time
}

// Report implements Claimer.
func (n *Node) Report(res claim.Result) {
	m := n.current()
	if m != nil && m.report(res) {
		return
	}
	n.undelivered.Add(1)
	select {
	case n.reports <- report{result: res, until: time.Now().Add(reportTimeout)}:
	default:
		n.undelivered.Add(-1)
		n.dropped.Add(1)
	}
}

// DroppedReports returns the number of reports that could not be delivered.
func (n *Node) DroppedReports() int64 { return n.dropped.Load() }

// Serve delivers reports until ctx ends.
func (n *Node) Serve(ctx context.Context) error {
	var deliveries errgroup.Group
	deliveries.SetLimit(maxDeliveries)
	defer func() { _ = deliveries.Wait() }() // deliveries return no error
	for {
		select {
		case r := <-n.reports:
			deliveries.Go(func() error {
				n.deliver(ctx, r)
				return nil
			})
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Flush waits until all reports were delivered or dropped, or until ctx ends.
func (n *Node) Flush(ctx context.Context) {
	for n.undelivered.Load() > 0 && ctx.Err() == nil {
		sleep(ctx, flushInterval)
	}
}

// deliver retries until the current owner of the key has accepted the report.
func (n *Node) deliver(ctx context.Context, r report) {
	defer n.undelivered.Add(-1)
	pause := retryMin
	for ctx.Err() == nil && time.Now().Before(r.until) {
		if n.deliverOnce(ctx, r.result) {
			return
		}
		sleep(ctx, pause)
		pause = min(2*pause, retryMax)
	}
	n.dropped.Add(1)
}

func (n *Node) deliverOnce(ctx context.Context, res claim.Result) bool {
	m := n.current()
	if m == nil {
		return false
	}
	owner, address := m.route(res.Key)
	if owner == m.Name() {
		return m.report(res)
	}
	c, err := n.conns.client(address)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, n.cfg.CallTimeout)
	defer cancel()
	r, err := c.Report(ctx, &pb.ReportRequest{
		Owner:   owner,
		Key:     keyProto(res.Key),
		Attempt: attemptProto(res.Attempt),
		End:     uint32(res.End),
		Answer:  answerProto(res.Answer),
	})
	return err == nil && r.GetTaken()
}
