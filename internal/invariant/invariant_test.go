package invariant_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/invariant"
)

func TestCheckPanicsOnlyWhenConditionIsFalse(t *testing.T) {
	assert.NotPanics(t, func() { invariant.Check(true, "unused") })
	assert.PanicsWithError(t, "broken invariant: offset 3 below 5", func() {
		invariant.Check(false, "offset %d below %d", 3, 5)
	})
}
