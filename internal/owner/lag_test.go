package owner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// An on-call engineer looks for why jobs wait beside workers with room. The owner's own
// events wait little, as its calls are what has no processor time: it shows in plans that
// end before all that has room is started.
func TestOwnerIsBehind(t *testing.T) {
	for name, c := range map[string]struct {
		lag    lag
		behind bool
	}{
		"keeps up":             {lag{delay: 20 * time.Millisecond, plans: 200, cutShort: 10}, false},
		"bears a burst":        {lag{delay: 60 * time.Millisecond, plans: 200, cutShort: 90}, false},
		"events wait":          {lag{delay: 300 * time.Millisecond, plans: 3}, true},
		"starts wait":          {lag{delay: 20 * time.Millisecond, plans: 90, cutShort: 80}, true},
		"has nothing to start": {lag{}, false},
	} {
		assert.Equal(t, c.behind, c.lag.behind(), name)
	}
	late := lag{plans: 10, cutShort: 9}
	next := late.next(time.UnixMilli(1))
	assert.True(t, next.wasLate)
	assert.False(t, next.behind())
}
