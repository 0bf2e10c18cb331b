package nodepeer

import (
	"context"
	"net"

	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"

	"github.com/yuccadrift/yuccadrift/internal/listen"
	"github.com/yuccadrift/yuccadrift/internal/membudget"
)

// Limits of what a node receives from others.
const (
	// maxMessageBytes is several times the largest message, which carries a record of the store.
	maxMessageBytes = 2 << 20
	// maxCalls bounds the calls in progress of one connection: all relays of a node and its queries.
	maxCalls = 1024
)

// claimCredentials are credentials without encryption that hand the claims of connections to the calls on them.
type claimCredentials struct {
	credentials.TransportCredentials
}

func newClaimCredentials() credentials.TransportCredentials {
	return claimCredentials{insecure.NewCredentials()}
}

type claimInfo struct {
	credentials.AuthInfo
	claim *membudget.Conn
}

// ServerHandshake implements credentials.TransportCredentials.
func (c claimCredentials) ServerHandshake(conn net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := c.TransportCredentials.ServerHandshake(conn)
	return conn, claimInfo{info, listen.ClaimOf(conn)}, err
}

// Clone implements credentials.TransportCredentials.
func (c claimCredentials) Clone() credentials.TransportCredentials {
	return claimCredentials{c.TransportCredentials.Clone()}
}

// claimOf returns the claim of a call's connection, nil if there is none.
func claimOf(ctx context.Context) *membudget.Conn {
	p, ok := peer.FromContext(ctx)
	if !ok {
		return nil
	}
	info, _ := p.AuthInfo.(claimInfo)
	return info.claim
}
