package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Jobs wait although workers have free capacity. Where the owner's calls lack processor time
// its events wait little, so the overload shows only in the share of truncated plans.
func TestOverloadIsDetected(t *testing.T) {
	for name, c := range map[string]struct {
		load       loadStats
		overloaded bool
	}{
		"keeps up":          {loadStats{maxEventDelay: 20 * time.Millisecond, plans: 200, truncatedPlans: 10}, false},
		"keeps up in burst": {loadStats{maxEventDelay: 60 * time.Millisecond, plans: 200, truncatedPlans: 90}, false},
		"events wait":       {loadStats{maxEventDelay: 300 * time.Millisecond, plans: 3}, true},
		"starts wait":       {loadStats{maxEventDelay: 20 * time.Millisecond, plans: 90, truncatedPlans: 80}, true},
		"nothing to start":  {loadStats{}, false},
	} {
		assert.Equal(t, c.overloaded, c.load.isOverloaded(), name)
	}
	overloaded := loadStats{plans: 10, truncatedPlans: 9}
	next := overloaded.nextInterval(time.UnixMilli(1))
	assert.True(t, next.wasOverloaded)
	assert.False(t, next.isOverloaded())
}
