package hedge_test

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/hedge"
	"github.com/yuccadrift/yuccadrift/platform"
)

// The answer of the first call is lost. The second one has it soon, long before
// the first one's time-out.
func TestLostAnswerIsHedgedAfterMinDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		began := time.Now()
		status, err := hedge.New().Write(t.Context(), func(ctx context.Context) (platform.StoreStatus, error) {
			if calls.Add(1) == 1 {
				<-ctx.Done()
				return platform.StoreUnknown, ctx.Err()
			}
			time.Sleep(6 * time.Millisecond)
			return platform.StoreOK, nil
		})
		assert.NoError(t, err)
		assert.Equal(t, platform.StoreOK, status)
		assert.Equal(t, 96*time.Millisecond, time.Since(began))
		assert.Equal(t, int32(2), calls.Load())
	})
}

// A store that did nothing is a refusal at once, without more calls.
func TestRefusalIsReturnedWithoutHedging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		calls := 0
		status, err := hedge.New().Write(t.Context(), func(context.Context) (platform.StoreStatus, error) {
			calls++
			return platform.StoreRefused, errors.New("busy")
		})
		assert.Error(t, err)
		assert.Equal(t, platform.StoreRefused, status)
		assert.Equal(t, 1, calls)
	})
}

// One call got no answer and later ones were refused. The first may have had its
// effect: that is no refusal.
func TestRefusalAfterUnknownOutcomeIsUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var calls atomic.Int32
		status, err := hedge.New().Write(t.Context(), func(context.Context) (platform.StoreStatus, error) {
			if calls.Add(1) == 1 {
				time.Sleep(time.Second)
				return platform.StoreUnknown, errors.New("no answer")
			}
			return platform.StoreRefused, errors.New("busy")
		})
		assert.Error(t, err)
		assert.Equal(t, platform.StoreUnknown, status)
	})
}

// A fenced writer hears so from whichever call is answered.
func TestFencedAnswerEndsWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		status, err := hedge.New().Write(t.Context(), func(context.Context) (platform.StoreStatus, error) {
			return platform.StoreFenced, errors.New("fenced")
		})
		assert.Error(t, err)
		assert.Equal(t, platform.StoreFenced, status)
	})
}

// The store has become slow. The first slow answer costs some calls more; after
// it, calls are not sent again before they are due by what answers take now, and
// when the store is quick again, hedging is quick again.
func TestHedgeDelayFollowsStoreLatency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := hedge.New()
		calls := 0
		write := func(takes time.Duration) {
			var mu sync.Mutex
			_, err := h.Write(t.Context(), func(ctx context.Context) (platform.StoreStatus, error) {
				mu.Lock()
				calls++
				mu.Unlock()
				select {
				case <-time.After(takes):
					return platform.StoreOK, nil
				case <-ctx.Done():
					return platform.StoreUnknown, ctx.Err()
				}
			})
			assert.NoError(t, err)
			synctest.Wait()
		}
		write(400 * time.Millisecond)
		calls = 0
		for range 10 {
			write(400 * time.Millisecond)
		}
		assert.Equal(t, 10, calls)
		for range 60 {
			write(5 * time.Millisecond)
		}
		calls = 0
		write(200 * time.Millisecond)
		assert.Greater(t, calls, 1)
	})
}

// The store has just become slow: what it was sent lately is answered late together.
// Calls that were sent again would make its queue longer at the worst moment, four
// times as long, so none is before a later call shows that the store answers.
func TestNoHedgeIsSentWhileAllAnswersAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := hedge.New()
		h.RecordAnswer(time.Now(), false)
		calls := 0
		status, err := h.Write(t.Context(), func(context.Context) (platform.StoreStatus, error) {
			calls++
			time.Sleep(600 * time.Millisecond)
			return platform.StoreOK, nil
		})
		assert.NoError(t, err)
		assert.Equal(t, platform.StoreOK, status)
		assert.Equal(t, 1, calls)
	})
}

// The answer is lost while the store answers others: a later call's answer shows it,
// and the write is sent again then.
func TestAnswerToLaterCallTriggersHedge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := hedge.New()
		h.RecordAnswer(time.Now(), false)
		time.AfterFunc(150*time.Millisecond, func() { h.RecordAnswer(time.Now().Add(-5*time.Millisecond), false) })
		var calls atomic.Int32
		began := time.Now()
		status, _ := h.Write(t.Context(), func(ctx context.Context) (platform.StoreStatus, error) {
			if calls.Add(1) == 1 {
				<-ctx.Done()
				return platform.StoreUnknown, ctx.Err()
			}
			return platform.StoreOK, nil
		})
		assert.Equal(t, platform.StoreOK, status)
		assert.LessOrEqual(t, time.Since(began), 180*time.Millisecond)
	})
}
