package peerserver_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/peerserver"
)

type emptyState struct{}

func (emptyState) View(f func(*ledger.State)) { f(ledger.New()) }
func (emptyState) Fresh() time.Time           { return time.Time{} }

// A command-line client waits for an offset that is never reached while the daemon
// stops. The daemon must stop within the time for calls in progress, and the client
// must get ErrUnreachable.
func TestStopCancelsWaitingCalls(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := peerserver.New(listener)
	operator.Register(server.Registrar(), operator.ServerConfig{Node: "n1", Role: operator.RoleSteward, State: emptyState{}})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- server.Serve(ctx) }()

	client, err := operator.NewClient(listener.Addr().String())
	require.NoError(t, err)
	defer client.Close()
	status, err := client.Status(t.Context())
	require.NoError(t, err)
	require.Equal(t, "n1", status.Node)
	_, known := status.Lag()
	require.False(t, known)

	waited := make(chan error, 1)
	go func() {
		_, err := client.StatusAfter(t.Context(), 1, time.Minute)
		waited <- err
	}()
	cancel()
	require.ErrorIs(t, <-stopped, context.Canceled)
	require.ErrorIs(t, <-waited, operator.ErrUnreachable)
}
