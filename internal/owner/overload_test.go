package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Jobs wait although workers have free capacity. If the owner's calls lack processor time,
// event delays stay short and the overload shows only in the share of truncated plans.
func TestOverloadIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		load       loadStats
		overloaded bool
	}{
		"normal load":       {loadStats{maxEventDelay: 20 * time.Millisecond, plans: 200, truncatedPlans: 10}, false},
		"burst of events":   {loadStats{maxEventDelay: 60 * time.Millisecond, plans: 200, truncatedPlans: 90}, false},
		"late events":       {loadStats{maxEventDelay: 300 * time.Millisecond, plans: 3}, true},
		"unanswered starts": {loadStats{maxEventDelay: 20 * time.Millisecond, plans: 90, truncatedPlans: 80}, true},
		"nothing to start":  {loadStats{}, false},
	} {
		assert.Equal(t, c.overloaded, c.load.isOverloaded(), name)
	}
	overloaded := loadStats{plans: 10, truncatedPlans: 9}
	next := overloaded.nextInterval(time.UnixMilli(1))
	assert.True(t, next.wasOverloaded)
	assert.False(t, next.isOverloaded())
}
