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

// reportRetention is how long a report is kept for the successor. The successor asks for it
// when it takes over; an outage of the store can delay that.
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

// reportBeforeEpoch returns the report of the last local owner of a partition if that owner's
// epoch is lower than epoch.
func (o *ownerDirectory) reportBeforeEpoch(partition int, epoch int64) (owner.HandoverReport, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r, ok := o.reports[partition]
	return r, ok && r.Epoch < epoch
}

// ServeRelease serves MethodRelease: it stops the local owner of a partition if its epoch is
// lower than the requesting owner's, and returns the report of the last local owner with a
// lower epoch.
func (o *ownerDirectory) ServeRelease(ctx context.Context, req nodepeer.Request) (nodepeer.Response, error) {
	o.manager.StopRunnerBeforeEpoch(ctx, platform.Partition{Topic: joblog.JobsTopic, Part: req.Partition}, req.Epoch)
	report, ok := o.reportBeforeEpoch(req.Partition, req.Epoch)
	if !ok {
		return nodepeer.Response{}, nil
	}
	var response nodepeer.Response
	for _, r := range report.Records {
		key, value, err := r.Encode()
		if err != nil {
			return nodepeer.Response{}, err
		}
		response.HandoverRecords = append(response.HandoverRecords, nodepeer.StoredRecord{Key: key, Value: value})
	}
	return response, nil
}

// releasePredecessor asks the node at address to stop its owner of the partition if that
// owner's epoch is lower than epoch. It returns the records that the stopped owner did not
// store, nil if the node has none.
func (o *ownerDirectory) releasePredecessor(ctx context.Context, address string, partition int, epoch int64) ([]workload.Record, error) {
	req := nodepeer.Request{Partition: partition, Epoch: epoch}
	var response nodepeer.Response
	var err error
	if address == o.selfAddress {
		response, err = o.ServeRelease(ctx, req)
	} else {
		response, err = o.clients.Call(ctx, address, nodepeer.MethodRelease, req)
	}
	if err != nil {
		return nil, err
	}
	var records []workload.Record
	for _, stored := range response.HandoverRecords {
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
