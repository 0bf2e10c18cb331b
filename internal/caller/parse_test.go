package caller

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/dispatch"
	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
)

// FuzzParseHeader checks that a header is either rejected with status 400, a reason
// and a line, or gives a call with a valid key and a deadline within its route's.
func FuzzParseHeader(f *testing.F) {
	f.Add("01JDZDJWG0ABCDEFGHJKMNPQRS", "1", "250", false)
	f.Add("", "", "", true)
	f.Add("no key", "0", "-1", false)
	f.Add("", "1001", "9223372036854775808", true)
	now := time.Date(2026, 12, 2, 8, 0, 0, 0, time.UTC)
	h := &Handler{cfg: HandlerConfig{CheckKey: func(service, key string) error {
		_, err := claim.ParseKey(service, key)
		return err
	}}}
	f.Fuzz(func(t *testing.T, key, attempt, deadline string, repeatable bool) {
		header := http.Header{}
		header.Set(outcome.HeaderKey, key)
		header.Set(outcome.HeaderAttempt, attempt)
		header.Set(outcome.HeaderDeadline, deadline)
		route := document.Route{Prefix: "/x", Deadline: time.Second, Repeatable: repeatable}
		call := &dispatch.Call{Service: "orders", Route: route}
		if p := h.parseHeader(header, call, now); p != nil {
			require.Equal(t, http.StatusBadRequest, p.status)
			require.NotEmpty(t, p.reason)
			require.NotEmpty(t, p.line)
			return
		}
		if call.Key != "" || !repeatable {
			_, err := claim.ParseKey("orders", call.Key)
			require.NoError(t, err)
		}
		require.True(t, call.Deadline.After(now))
		require.False(t, call.Deadline.After(now.Add(route.Deadline)))
		if attempt == "1" {
			require.True(t, call.First)
		}
	})
}
