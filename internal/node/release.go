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

// reportRetention is how long a report is kept for a successor. The successor asks for it
// when it takes over, which the store may delay by an outage.
const reportRetention = 30 * time.Second

// keepReport keeps the report of a local owner for its successor.
func (o *ownerDirectory) keepReport(partition int, r owner.HandoverReport) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.reports[partition] = r
	time.AfterFunc(reportRetention, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.reports[partition].Epoch == r.Epoch {
			delete(o.reports, partition)
		}
	})
}

// reportBelow returns the report of the last local owner of a partition if its epoch is lower
// than epoch.
func (o *ownerDirectory) reportBelow(partition int, epoch int64) (owner.HandoverReport, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.reports[partition]
	return r, ok && r.Epoch < epoch
}

// Release serves MethodRelease: it stops the local owner of a partition and returns that
// owner's report to the next owner.
func (o *ownerDirectory) Release(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	o.manager.StopRunnerBeforeEpoch(ctx, platform.Partition{Topic: joblog.JobsTopic, Part: req.Partition}, req.Epoch)
	report, ok := o.reportBelow(req.Partition, req.Epoch)
	if !ok {
		return nodepeer.Response{}, nil
	}
	var answer nodepeer.Response
	for _, r := range report.Records {
		key, value, err := r.Encode()
		if err != nil {
			return nodepeer.Response{}, err
		}
		answer.HandoverRecords = append(answer.HandoverRecords, nodepeer.StoredRecord{Key: key, Value: value})
	}
	return answer, nil
}

// releasePredecessor asks the node at an address to stop an earlier owner of a partition. It
// returns the records that this owner could not store, nil if the node knows no such owner.
func (o *ownerDirectory) releasePredecessor(ctx context.Context, address string, partition int, epoch int64) ([]workload.Record, error) {
	req := nodepeer.Request{Partition: partition, Epoch: epoch}
	var answer nodepeer.Response
	var err error
	if address == o.selfAddress {
		answer, err = o.Release(ctx, req)
	} else {
		answer, err = o.clients.Call(ctx, address, nodepeer.MethodRelease, req)
	}
	if err != nil {
		return nil, err
	}
	var records []workload.Record
	for _, stored := range answer.HandoverRecords {
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
