package returntime_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/returntime"
)

// Guards against callers of a long outage that use up their attempts, and against callers of a short one that
// stay away for longer than it lasts.
func TestTimeToReturnGrowsWithTheOutage(t *testing.T) {
	mean := func(age time.Duration) (sum time.Duration) {
		for i := range 100 {
			delay := returntime.After(returntime.Refusal{Cause: returntime.StoreUnavailable, Age: age, Spread: float64(i) / 100})
			assert.Zero(t, delay%time.Second, "the unit of the header is a second")
			sum += delay / 100
		}
		return sum
	}
	assert.Equal(t, time.Second, mean(0))
	assert.Equal(t, time.Second, mean(4*time.Second))
	assert.Equal(t, 1500*time.Millisecond, mean(5*time.Second), "half of the callers return a second later than the others")
	assert.Equal(t, 4*time.Second, mean(time.Hour))
	for age := time.Duration(0); age < 20*time.Second; age += 100 * time.Millisecond {
		assert.LessOrEqual(t, mean(age), mean(age+100*time.Millisecond))
	}
}

func TestTimeToReturnByCause(t *testing.T) {
	for _, cause := range []returntime.Cause{returntime.NoConfiguration, returntime.OwnerUnavailable, returntime.NoCapacity} {
		assert.Equal(t, time.Second, returntime.After(returntime.Refusal{Cause: cause, Spread: 0.99}), cause.String())
	}
	assert.Equal(t, 2*time.Second, returntime.After(returntime.Refusal{Cause: returntime.NoConfiguration, Age: 3 * time.Second}))
}

// Guards against a flash crowd that is sent away and returns as one wave.
func TestCallersThatLackCapacityReturnSpreadOverTime(t *testing.T) {
	for i := range 10 {
		spread := float64(i) / 10
		after := returntime.After(returntime.Refusal{Cause: returntime.NoCapacity, Delay: 5 * time.Second, Spread: spread})
		assert.InDelta(t, 5*(1+spread), after.Seconds(), 0.001)
	}
}
