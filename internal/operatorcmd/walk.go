package operatorcmd

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/follower"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// logReadBatch is the largest number of entries that one read of applyLog returns.
const logReadBatch = 1000

// startSnapshot returns the snapshot from which the retained log must be applied,
// or nil if the log is complete. The outcome of an entry depends on all entries
// before it, so that once retention has removed the log's beginning, outcomes are
// known only from the newest snapshot on.
func startSnapshot(ctx context.Context, log platform.Log, o options) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	batch, err := log.Read(ctx, o.stream, 1, 1, 0)
	if err == nil {
		return nil, nil
	}
	if !errors.Is(err, platform.ErrTrimmed) {
		return nil, exitErrorf(ExitUnreachable, "cannot read the log: %v", errors.Cause(err))
	}
	snapshot, err := follower.NewestSnapshot(ctx, log, o.snapshotStream)
	if err != nil {
		return nil, exitErrorf(ExitUnreachable, "cannot read the snapshots: %v", errors.Cause(err))
	}
	if snapshot == nil {
		return nil, exitErrorf(ExitRejected, "the log is retained from offset %d on and there is no snapshot", batch.First)
	}
	return snapshot, nil
}

// applyLog applies the retained log, up to its present end, to a new state and
// calls visit for each entry whose outcome can be known. It returns the offset
// before the first of these entries, which is 0 if the log is complete.
func (s *session) applyLog(ctx context.Context, visit func(appliedEntry)) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	snapshot, err := startSnapshot(ctx, s.client, s.options)
	if err != nil {
		return 0, err
	}
	state := ledger.New()
	if snapshot != nil {
		if state, err = ledger.DecodeSnapshot(snapshot); err != nil {
			return 0, exitErrorf(ExitRejected, "%v", err)
		}
	}
	from := state.Offset
	for {
		batch, err := s.client.Read(ctx, s.stream, platform.Offset(state.Offset+1), logReadBatch, 0)
		if err != nil {
			return from, exitErrorf(ExitUnreachable, "cannot read the log: %v", errors.Cause(err))
		}
		for _, e := range batch.Entries {
			visit(applyEntry(state, e))
		}
		if platform.Offset(state.Offset)+1 >= batch.Next || len(batch.Entries) == 0 {
			return from, nil
		}
	}
}

func applyEntry(state *ledger.State, e platform.Entry) appliedEntry {
	rec, err := record.Decode(e.Data)
	if err != nil {
		return appliedEntry{Entry: e, Outcome: state.ApplyData(uint64(e.Offset), e.Data)}
	}
	return appliedEntry{Entry: e, Record: rec, Outcome: state.Apply(uint64(e.Offset), rec)}
}
