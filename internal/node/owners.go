package node

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/intake"
	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/owner"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
	"github.com/yuccadrift/yuccadrift/internal/wait"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Times of questions to owners.
const (
	// askTimeout is for one question; an owner answers within milliseconds, and
	// one that does not is better asked again.
	askTimeout = 400 * time.Millisecond
	// askRetry is the pause before a question is put again, as while a partition
	// is handed over.
	askRetry = 80 * time.Millisecond
)

// owners finds the owner of a service's jobs, here or on another node.
type owners struct {
	partitions int
	self       string // address for other nodes
	clients    *nodepeer.Clients
	manager    *ownership.Manager

	mu      sync.Mutex
	local   map[int]*owner.Owner
	reports map[int]owner.Report // of the last owner here that could not store its own, by partition
}

func (o *owners) get(partition int) *owner.Owner {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.local[partition]
}

func (o *owners) set(partition int, own *owner.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.local[partition] = own
}

func (o *owners) unset(partition int, own *owner.Owner) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.local[partition] == own {
		delete(o.local, partition)
	}
}

// ask puts a question to the owner until it answers or ctx ends.
func (o *owners) ask(ctx context.Context, m nodepeer.Method, a nodepeer.Ask) (nodepeer.Answer, bool) {
	for refresh := false; ctx.Err() == nil; refresh = true {
		answer, ok := o.askOnce(ctx, m, a, refresh)
		if ok && answer.Owner {
			return answer, true
		}
		wait.Pause(ctx, askRetry)
	}
	return nodepeer.Answer{}, false
}

func (o *owners) askOnce(ctx context.Context, m nodepeer.Method, a nodepeer.Ask, refresh bool) (nodepeer.Answer, bool) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	if o.get(a.Partition) != nil {
		answer, err := o.serve(ctx, m, a)
		return answer, err == nil
	}
	address := o.manager.Owner(ctx, platform.Partition{Topic: joblog.Topic, Part: a.Partition}, refresh)
	if address == "" || address == o.self {
		return nodepeer.Answer{}, false
	}
	answer, err := o.clients.Ask(ctx, address, m, a)
	return answer, err == nil
}

// State asks for a job's state.
func (o *owners) State(ctx context.Context, service string, id workload.JobID) (state workload.JobState, known, ok bool) {
	a, ok := o.ask(ctx, nodepeer.JobState, nodepeer.Ask{Partition: o.partitionOf(service), Job: id})
	return a.State, a.Known, ok
}

// Waiting asks how many jobs of a queue wait.
func (o *owners) Waiting(ctx context.Context, service, queue string) (int, bool) {
	a, ok := o.ask(ctx, nodepeer.Waiting, nodepeer.Ask{Partition: o.partitionOf(service), Queue: queue})
	return a.Waiting, ok
}

// RequestDrain asks the owner of a service to empty a worker, once. It tells whether the
// worker is vacant.
func (o *owners) RequestDrain(ctx context.Context, service, worker string) (workload.DrainState, bool) {
	a, ok := o.askOnce(ctx, nodepeer.Evacuate, nodepeer.Ask{Partition: o.partitionOf(service), Worker: worker}, false)
	switch {
	case !ok || !a.Owner:
		return workload.NotDrained, false
	case !a.Vacant:
		return workload.NotDrained, true
	case !a.Seen:
		return workload.DrainedUnconfirmed, true
	}
	return workload.Drained, true
}

// LoadsOf asks the owner of a service, once, what the services of its partition
// carry, and tells it which of the service's workers are about to leave.
func (o *owners) LoadsOf(ctx context.Context, service string, leaving []string) ([]workload.ServiceLoad, bool) {
	a, ok := o.askOnce(ctx, nodepeer.Loads, nodepeer.Ask{Partition: o.partitionOf(service), Service: service, Leaving: leaving}, false)
	return a.Loads, ok && a.Owner
}

func (o *owners) partitionOf(service string) int {
	return joblog.PartitionOf(service, o.partitions)
}

// serve answers a question from what is owned here.
func (o *owners) serve(ctx context.Context, m nodepeer.Method, a nodepeer.Ask) (nodepeer.Answer, error) {
	switch m {
	case nodepeer.JobState:
		return o.JobState(ctx, a)
	case nodepeer.Waiting:
		return o.waiting(ctx, a)
	case nodepeer.Loads:
		return o.Loads(ctx, a)
	default:
		return o.Evacuate(ctx, a)
	}
}

// JobState answers another node.
func (o *owners) JobState(ctx context.Context, a nodepeer.Ask) (nodepeer.Answer, error) {
	own := o.get(a.Partition)
	if own == nil {
		return nodepeer.Answer{}, nil
	}
	s, ok := own.State(ctx, a.Job)
	return nodepeer.Answer{Owner: ok, Known: s.Known, State: s.State}, nil
}

func (o *owners) waiting(ctx context.Context, a nodepeer.Ask) (nodepeer.Answer, error) {
	own := o.get(a.Partition)
	if own == nil {
		return nodepeer.Answer{}, nil
	}
	n, ok := own.Waiting(ctx, a.Queue)
	return nodepeer.Answer{Owner: ok, Waiting: n}, nil
}

// Evacuate answers another node.
func (o *owners) Evacuate(ctx context.Context, a nodepeer.Ask) (nodepeer.Answer, error) {
	own := o.get(a.Partition)
	if own == nil {
		return nodepeer.Answer{}, nil
	}
	v, ok := own.Evacuate(ctx, a.Worker)
	return nodepeer.Answer{Owner: ok, Vacant: v != workload.NotDrained, Seen: v == workload.Drained}, nil
}

// Loads answers another node.
func (o *owners) Loads(ctx context.Context, a nodepeer.Ask) (nodepeer.Answer, error) {
	own := o.get(a.Partition)
	if own == nil {
		return nodepeer.Answer{}, nil
	}
	loads, ok := own.Loads(ctx, a.Service, a.Leaving)
	return nodepeer.Answer{Owner: ok, Loads: loads}, nil
}

// peerHandler is the node as other nodes see it.
type peerHandler struct {
	*owners
	intake *intake.Router
}

// Store answers another node.
func (p peerHandler) Store(ctx context.Context, a nodepeer.Ask) (nodepeer.Answer, error) {
	record, ok, err := workload.DecodeRecord(a.RecordKey, a.RecordValue)
	if err != nil || !ok || record.Submission == nil && !record.Cancel {
		return nodepeer.Answer{Stored: &nodepeer.Stored{Status: platform.StoreInvalid, Reason: "no record of a caller"}}, nil
	}
	reply := p.intake.Serve(ctx, intake.Question{Partition: a.Partition, Record: record, Wait: time.Duration(a.WaitMS) * time.Millisecond})
	return nodepeer.Answer{Stored: &nodepeer.Stored{Status: reply.Status, Pending: reply.Pending, Away: reply.Away, Reason: reply.Reason}}, nil
}

// Waiting answers another node.
func (p peerHandler) Waiting(ctx context.Context, a nodepeer.Ask) (nodepeer.Answer, error) {
	return p.owners.waiting(ctx, a)
}
