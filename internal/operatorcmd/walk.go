package operatorcmd

import (
	"context"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// walkMax is how many entries one read of a walk asks for.
const walkMax = 1000

// walk folds the retained log anew, up to its end at the time of the call, and
// calls visit for each entry.
func (s *session) walk(ctx context.Context, visit func(step)) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	state := ledger.New()
	for {
		batch, err := s.client.Read(ctx, s.stream, platform.Offset(state.Offset+1), walkMax, 0)
		if errors.Is(err, platform.ErrTrimmed) {
			return failf(ExitRejected, "the log retains offsets from %d on only", batch.First)
		}
		if err != nil {
			return failf(ExitUnreachable, "cannot read the log: %v", err)
		}
		for _, e := range batch.Entries {
			visit(fold(state, e))
		}
		if platform.Offset(state.Offset)+1 >= batch.Next || len(batch.Entries) == 0 {
			return nil
		}
	}
}

func fold(state *ledger.State, e platform.Entry) step {
	rec, err := record.Decode(e.Data)
	if err != nil {
		return step{Entry: e, Outcome: state.ApplyData(uint64(e.Offset), e.Data)}
	}
	return step{Entry: e, Record: rec, Outcome: state.Apply(uint64(e.Offset), rec)}
}
