package membudget_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/membudget"
)

// Guards against items that are admitted at once, before any of them is measured.
func TestItemsCountBeforeTheyAreMeasured(t *testing.T) {
	s, now := membudget.NewState(100), time.Unix(1000, 0)
	assert.True(t, s.Admit(40, 10, now))
	assert.True(t, s.Admit(37, 10, now))
	assert.False(t, s.Admit(40, 10, now))
	now = now.Add(2 * time.Second)
	assert.False(t, s.Admit(40, 90, now), "they are measured now")
	assert.True(t, s.Admit(40, 40, now), "one has ended")
}

// Guards against large items that leave no room for ordinary ones.
func TestLargeItemsLeaveRoomForSmallOnes(t *testing.T) {
	s, now := membudget.NewState(6400), time.Unix(1000, 0)
	assert.False(t, s.Admit(101, 5500, now))
	assert.True(t, s.Admit(101, 5499, now))
	assert.True(t, s.Admit(100, 6199, now))
	assert.False(t, s.Admit(1, 6200, now))
}
