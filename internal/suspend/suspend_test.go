package suspend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against the time that a suspended machine sleeps being lost: the clock since boot
// has gone on, the steady one has not.
func TestTotalIsBootTimeMinusMonotonicTime(t *testing.T) {
	m, err := NewMeter()
	require.NoError(t, err)
	m.startedAtBootTime -= 5 * time.Second
	total, err := m.Total()
	require.NoError(t, err)
	assert.GreaterOrEqual(t, total, 5*time.Second-time.Millisecond)
}
