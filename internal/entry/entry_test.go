package entry_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/yuccadrift/yuccadrift/internal/entry"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// The thin path: a caller's lookup goes to a backend server chosen from the
// published document and the VMs that joined its pool, and the whole answer
// comes back with its outcome.
func TestLookupReachesBackendOfPool(t *testing.T) {
	r := newRig(t, entry.NoClaims{})
	got := r.send(http.MethodGet, "/booking/lookup/7?x=1", http.Header{standin.HeaderEcho: {"tok"}}, nil)
	assert.NoError(t, got.err)
	assert.Equal(t, http.StatusOK, got.status, got.body)
	assert.Equal(t, string(outcome.Ran), got.header.Get(outcome.HeaderOutcome))
	assert.Contains(t, got.body, `"path":"/lookup/7"`)
	assert.Equal(t, "tok", got.header.Get(standin.HeaderEcho))
}
