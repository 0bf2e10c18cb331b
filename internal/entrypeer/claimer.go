// Package entrypeer is the peer package for the other entry VMs: claims on
// not-repeatable requests, leases, and the state that a starting node takes
// from its peers. The protocol is gRPC.
package entrypeer

import (
	"context"

	"github.com/yuccadrift/yuccadrift/internal/claim"
)

// Claimer gives the right to run not-repeatable requests.
type Claimer interface {
	// Claim asks for the right to run the request. While another attempt under
	// the key is running it waits for that one's end, up to ctx's deadline.
	// Only with verdict Granted may the request be run, and then exactly one
	// Report must follow, whatever happens.
	Claim(ctx context.Context, req claim.Request) claim.Decision
	// Report tells the owner how a granted attempt ended. It does not block;
	// delivery goes on behind it.
	Report(res claim.Result)
}
