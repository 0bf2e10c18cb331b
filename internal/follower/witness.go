package follower

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// witnessInterval is the interval between checks of the ledger's time, and the
// timeout of writing a witness.
const witnessInterval = 5 * time.Second

// serveWitness writes this node's time to the log while the ledger's time is
// ahead of it. Some node's clock may be far ahead, and only records of other
// nodes can revert that; see ledger.Clock.
func (f *Follower) serveWitness(ctx context.Context) error {
	witnessed := uint64(0)
	for ctx.Err() == nil {
		wait.Sleep(ctx, witnessInterval)
		if jump := f.clockJump(time.Now()); jump > witnessed && f.writeWitness(ctx) {
			witnessed = jump
		}
	}
	return ctx.Err()
}

// clockJump returns the offset of the record that put the ledger's time or the
// members' end ahead of now, 0 if none did.
func (f *Follower) clockJump(now time.Time) uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if f.condition != Following {
		return 0
	}
	return f.state.ClockAhead(now)
}

func (f *Follower) writeWitness(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, witnessInterval)
	defer cancel()
	rec := record.Record{
		ID:      ulid.Make().String(),
		Subject: record.Subject{Kind: record.SubjectClock, Name: f.cfg.Node},
		Author:  f.cfg.Node,
		Time:    time.Now().UTC(),
		Body:    record.ClockWitness{},
	}
	f.View(func(s *ledger.State) { rec.Seen = s.Offset })
	_, err := f.Propose(ctx, rec)
	f.cfg.Logger.Warn("the ledger's time is ahead of this node's clock", "told", err == nil)
	return err == nil
}
