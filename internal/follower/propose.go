package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Pauses of Propose.
const (
	// appendTimeout bounds one append. Without it an append whose reply never
	// comes would hold Propose back until its context ends, though the record
	// was folded long before.
	appendTimeout = time.Second
	// unknownOutcomeTimeout is the wait for a record whose append has an unknown outcome
	// before a second copy is appended.
	unknownOutcomeTimeout = time.Second
	// foldTimeout is the wait for a record that certainly is on the log. It
	// runs out only while the log cannot be read, or when this process took
	// over a state beyond the record.
	foldTimeout = 5 * time.Second
)

// Propose appends a record and waits until it is folded. The outcome says
// whether it took effect. A lost reply is met by appending the same record
// again: its second copy is void. Duplicate means that the record took its turn
// in a part of the log that this process did not fold itself; whether it took
// effect then shows in the state. The error is ctx's when the outcome is still
// unknown at its end, and the record may yet take effect; or
// platform.ErrRejected, and it never will. IDs must not be proposed twice at
// once.
func (f *Follower) Propose(ctx context.Context, rec record.Record) (ledger.Outcome, error) {
	data, err := record.Encode(rec)
	if err != nil {
		return ledger.Outcome{}, err
	}
	wait := f.addWaiter(rec.ID)
	defer f.removeWaiter(rec.ID)
	retry := newBackoff()
	for {
		err := f.append(ctx, data)
		if errors.Is(err, platform.ErrRejected) {
			return ledger.Outcome{}, err
		}
		timer := time.NewTimer(waitAfterAppend(err, retry.NextBackOff()))
		select {
		case out := <-wait:
			timer.Stop()
			return out, nil
		case <-ctx.Done():
			timer.Stop()
			return ledger.Outcome{}, errors.Wrap(ctx.Err(), "outcome of the record is unknown")
		case <-timer.C:
		}
	}
}

// waitAfterAppend returns how long to wait for the record after an append that ended
// with err; growing is the pause for appends that certainly failed.
func waitAfterAppend(err error, retryDelay time.Duration) time.Duration {
	switch {
	case err == nil:
		return foldTimeout
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrThrottled):
		return retryDelay
	}
	return unknownOutcomeTimeout
}

func (f *Follower) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	var err error
	if f.cfg.Appender != nil {
		_, err = f.cfg.Appender.Append(ctx, data)
	} else {
		_, err = f.cfg.Log.Append(ctx, f.cfg.Stream, [][]byte{data})
	}
	f.metrics.countAppend(err)
	return err
}

func (f *Follower) addWaiter(id string) <-chan ledger.Outcome {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := make(waiter, 1)
	f.waiters[id] = w
	return w
}

func (f *Follower) removeWaiter(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.waiters, id)
}
