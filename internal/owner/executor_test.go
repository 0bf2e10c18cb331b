package owner

import (
	"context"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against calls that wait for each other: a delayed order would reach its worker after
// its lease has expired. Idle goroutines must be bounded, reused and end with the owner.
func TestCallsRunConcurrentlyAndIdleGoroutinesEndWithOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		e := newExecutor()
		var all sync.WaitGroup
		var ran atomic.Int32
		began := time.Now()
		for range 2 {
			for range 300 {
				all.Add(1)
				e.run(ctx, func() {
					defer all.Done()
					time.Sleep(time.Second)
					ran.Add(1)
				})
			}
			all.Wait()
			synctest.Wait()
			assert.Len(t, e.idleSlots, maxIdleGoroutines)
		}
		assert.Equal(t, int32(600), ran.Load())
		assert.Equal(t, 2*time.Second, time.Since(began))
		cancel() // synctest fails if a goroutine is left
	})
}
