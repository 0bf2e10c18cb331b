package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An on-call engineer looks for why jobs wait beside workers with room. The owner's own
// events wait little, as its calls are what has no processor time: it shows in plans that
// end before all that has room is started.
func TestOverloadIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		load       loadStats
		overloaded bool
	}{
		"keeps up":             {loadStats{maxEventDelay: 20 * time.Millisecond, plans: 200, truncatedPlans: 10}, false},
		"bears a burst":        {loadStats{maxEventDelay: 60 * time.Millisecond, plans: 200, truncatedPlans: 90}, false},
		"events wait":          {loadStats{maxEventDelay: 300 * time.Millisecond, plans: 3}, true},
		"starts wait":          {loadStats{maxEventDelay: 20 * time.Millisecond, plans: 90, truncatedPlans: 80}, true},
		"has nothing to start": {loadStats{}, false},
	} {
		assert.Equal(t, c.overloaded, c.load.isOverloaded(), name)
	}
	overloaded := loadStats{plans: 10, truncatedPlans: 9}
	next := overloaded.nextInterval(time.UnixMilli(1))
	assert.True(t, next.wasOverloaded)
	assert.False(t, next.isOverloaded())
}
