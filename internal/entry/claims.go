package entry

import (
	"context"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/dispatch"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
)

// reasonNoClaims is given while nothing guards not-repeatable requests.
const reasonNoClaims outcome.Reason = "claims-not-available"

// NoClaims refuses every not-repeatable request: without claims two entry VMs
// could both run it.
type NoClaims struct{}

// Begin implements dispatch.Claims.
func (NoClaims) Begin(context.Context, *dispatch.Call) (dispatch.Permit, dispatch.Denial) {
	return nil, dispatch.Denial{Outcome: outcome.NotRun, Reason: reasonNoClaims, RetryAfter: time.Second}
}

// CheckKey tells what is wrong with a key.
func CheckKey(_, key string) error {
	_, err := ulid.ParseStrict(key)
	return errors.Wrap(err, "not a ULID")
}
