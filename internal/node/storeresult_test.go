package node

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Guards against a process that ends because another node, of a later version, answers with a status that this one
// doesn't know. The record may have been stored.
func TestUnknownStatusOfAnotherNodeIsAnUnknownOutcome(t *testing.T) {
	for _, status := range []platform.StoreStatus{-1, platform.StoreInvalid + 1, 1 << 62} {
		response := storeResponseOf(nodepeer.StoreResult{Status: status})
		assert.Equal(t, platform.StoreUnknown, response.Status)
		assert.NotPanics(t, func() { _ = status.String() })
	}
	assert.Equal(t, platform.StoreInvalid, storeResponseOf(nodepeer.StoreResult{Status: platform.StoreInvalid}).Status)
}
