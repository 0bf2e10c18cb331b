package suspend

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Guards against a suspension that is not counted: it advances the boot clock but not the
// monotonic clock. The test moves the meter's start 5 s back on the boot clock only.
func TestTotalIsBootTimeMinusMonotonicTime(t *testing.T) {
	m, err := NewMeter()
	require.NoError(t, err)
	m.startedAtBootTime -= 5 * time.Second
	total, err := m.Total()
	require.NoError(t, err)
	assert.GreaterOrEqual(t, total, 5*time.Second-time.Millisecond)
}
