package node

import (
	"context"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/joblog"
	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/owner"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// reportKept is how long a report is kept for a successor, which asks as it begins. The store
// may be away for some time before.
const reportKept = 30 * time.Second

// keep keeps what an owner here could not store, for its successor.
func (o *owners) keep(partition int, r owner.Report) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports[partition] = r
	time.AfterFunc(reportKept, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.reports[partition].Epoch == r.Epoch {
			delete(o.reports, partition)
		}
	})
}

// report is what the last owner of a partition here has left, if its epoch is lower than one.
func (o *owners) report(partition int, below int64) (owner.Report, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.reports[partition]
	return r, ok && r.Epoch < below
}

// Release answers the next owner of a partition: the one here is stopped.
func (o *owners) Release(ctx context.Context, a nodepeer.Ask) (nodepeer.Answer, error) {
	o.manager.StopOwnerBelow(ctx, platform.Partition{Topic: joblog.Topic, Part: a.Partition}, a.Epoch)
	report, ok := o.report(a.Partition, a.Epoch)
	if !ok {
		return nodepeer.Answer{}, nil
	}
	var answer nodepeer.Answer
	for _, r := range report.Records {
		key, value, err := r.Encode()
		if err != nil {
			return nodepeer.Answer{}, err
		}
		answer.Report = append(answer.Report, nodepeer.StoredRecord{Key: key, Value: value})
	}
	return answer, nil
}

// releaseBy asks the node of an earlier owner to stop it, and returns what it has left: nil if
// nothing is known there.
func (o *owners) releaseBy(ctx context.Context, address string, partition int, epoch int64) ([]workload.Record, error) {
	ask := nodepeer.Ask{Partition: partition, Epoch: epoch}
	var answer nodepeer.Answer
	var err error
	if address == o.self {
		answer, err = o.Release(ctx, ask)
	} else {
		answer, err = o.clients.Ask(ctx, address, nodepeer.Release, ask)
	}
	if err != nil {
		return nil, err
	}
	var records []workload.Record
	for _, stored := range answer.Report {
		r, ok, err := workload.DecodeRecord(stored.Key, stored.Value)
		if err != nil {
			return nil, err
		}
		if ok {
			records = append(records, r)
		}
	}
	return records, nil
}
