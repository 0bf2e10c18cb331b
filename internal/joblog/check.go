package joblog

import (
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// check returns an error if a record that was read is not one that an owner can use. Nodes store no such record, but
// another writer may: a step that depends on one that doesn't exist would end each process that takes the partition over.
func check(key string, r workload.Record) error {
	if r.Submission != nil || r.Progress != nil || r.Cancel {
		// A worker's list of runs with a name that can't be parsed is refused as a whole.
		if _, err := workload.ParseJobID(string(r.Job)); err != nil {
			return err
		}
	}
	switch {
	case r.Submission != nil:
		return errors.Wrap(r.Submission.Spec.Validate(), key)
	case r.Loans != nil:
		return errors.Wrap(checkLoans(key, r.Loans), key)
	case r.LongLeases != nil && r.LongLeases.ExpiresAtMS[""] != 0:
		return errors.Errorf("%s: a worker without an ID", key)
	case r.Handover != nil:
		return errors.Wrap(checkEpoch(r.Handover.Epoch), key)
	case r.Takeover != nil:
		return errors.Wrap(checkEpoch(r.Takeover.Epoch), key)
	case r.Fence != nil:
		return errors.Wrap(checkEpoch(r.Fence.Epoch), key)
	}
	return nil
}

// maxEpoch bounds epochs, which rise by one with each change of the group. Without a bound, one record would hold off
// all owners of its partition: each takes itself for an earlier one.
const maxEpoch = 1 << 40

func checkEpoch(epoch int64) error {
	if epoch < 0 || epoch > maxEpoch {
		return errors.Errorf("epoch %d is not between 0 and %d", epoch, int64(maxEpoch))
	}
	return nil
}

func checkLoans(key string, l *workload.Loans) error {
	expected, _, err := workload.Record{Loans: l}.Encode()
	if err != nil {
		return err
	}
	if key != expected || l.Workspace == "" {
		return errors.Errorf("loans of workspace %q", l.Workspace)
	}
	for partition, lent := range l.Lent {
		if lent != lent.AtLeastZero() {
			return errors.Errorf("partition %d was lent %s", partition, lent)
		}
	}
	return nil
}
