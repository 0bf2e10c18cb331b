package wait_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/wait"
)

func TestSleepEndsAtTimerSignalOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		early := make(chan struct{})
		assert.NoError(t, wait.Sleep(ctx, time.Second))
		assert.Equal(t, time.Second, time.Since(start))
		time.AfterFunc(time.Second, func() { close(early) })
		assert.NoError(t, wait.SleepUntil(ctx, time.Hour, early))
		assert.Equal(t, 2*time.Second, time.Since(start))
		assert.ErrorIs(t, wait.Sleep(ctx, time.Hour), context.DeadlineExceeded)
		assert.Equal(t, 3*time.Second, time.Since(start))
		assert.Error(t, wait.Sleep(ctx, 0))
	})
}
