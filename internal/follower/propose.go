package follower

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Timeouts of Propose.
const (
	// appendTimeout is the timeout of one append. Without it an append whose
	// reply never arrives would block Propose until its context ends, although
	// the record was folded long before.
	appendTimeout = time.Second
	// unknownOutcomeTimeout is how long Propose waits for a record whose append
	// had an unknown outcome before it appends a second copy.
	unknownOutcomeTimeout = time.Second
	// foldTimeout is how long Propose waits for a record that was appended. It
	// expires only while the log cannot be read, or if this process loaded a
	// state beyond the record.
	foldTimeout = 5 * time.Second
)

// Propose appends a record and waits until it is folded. The outcome says
// whether it took effect. After a lost reply the same record is appended again;
// the second copy is void. The status Duplicate means that the record was
// folded in a part of the log that this process did not fold itself; the state
// then shows whether it took effect.
//
// The error is ctx's if the outcome is still unknown when ctx ends, and the
// record may still take effect. It is platform.ErrRejected if the record was
// rejected and never takes effect. An ID must not be proposed twice at the same
// time.
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

// waitAfterAppend returns how long to wait for the record after an append that
// returned err. retryDelay applies to appends that certainly failed.
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
