// Package entrypeer connects entry VMs with each other. Over gRPC they exchange
// claims on requests that must not be repeated, lease requests, and the folded
// state and log entries for nodes that cannot read the log.
package entrypeer

import (
	"context"

	"github.com/yuccadrift/yuccadrift/internal/claim"
)

// Claimer grants the right to run requests that must not be repeated.
type Claimer interface {
	// Claim asks for the right to run the request. While another attempt under the
	// key is running, Claim waits for its end, up to ctx's deadline. The request
	// may be run only with the verdict Granted, and then exactly one Report must
	// follow in any case.
	Claim(ctx context.Context, req claim.Request) claim.Decision
	// Report reports to the owner how a granted attempt ended. It delivers in the
	// background and does not block.
	Report(res claim.Result)
}
