package entrypeer

import (
	"fmt"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// stateFunc is a StateSource without log entries.
type stateFunc func() ([]byte, error)

// Snapshot implements StateSource.
func (f stateFunc) Snapshot() ([]byte, error) { return f() }

// Tail implements StateSource.
func (stateFunc) Tail(uint64, uint64) ([]platform.Entry, bool, error) { return nil, true, nil }

// serve serves the state of source on a loopback address.
func serve(t *testing.T, source func() ([]byte, error)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := grpc.NewServer()
	RegisterState(s, stateFunc(source))
	go func() { _ = s.Serve(l) }()
	t.Cleanup(s.Stop)
	return l.Addr().String()
}

// stateAt returns the source of a snapshot at the offset.
func stateAt(t *testing.T, offset uint64) func() ([]byte, error) {
	s := ledger.New()
	for o := range offset {
		id := fmt.Sprintf("vm-%d-%d", offset, o)
		s.Apply(o+1, record.Record{ID: id, Subject: record.Subject{Kind: record.SubjectVM, Name: id}, Seen: o,
			Body: record.VMRegister{Zone: "z", Rack: "r", Address: "a", Cores: 1, MemoryMB: 1}})
	}
	data, err := ledger.EncodeSnapshot(s)
	require.NoError(t, err)
	return func() ([]byte, error) { return data, nil }
}

// A node that starts during an outage of the log reads the state of its peers,
// of which one is down, one has no state, and one is behind. It must get the
// state with the highest offset.
func TestNewestStateOfPeers(t *testing.T) {
	down, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, down.Close())
	empty := serve(t, func() ([]byte, error) { return nil, errNoSnapshot })
	behind := serve(t, stateAt(t, 10))
	furthest := stateAt(t, 20_000)
	want, _ := furthest()
	require.Greater(t, len(want), statePartSize)

	states := NewStateClient([]string{down.Addr().String(), behind, empty, serve(t, furthest)})
	defer states.Close()
	got, err := states.NewestState(t.Context())
	require.NoError(t, err)
	require.Equal(t, want, got)

	noState := NewStateClient([]string{down.Addr().String(), empty})
	defer noState.Close()
	_, err = noState.NewestState(t.Context())
	require.Error(t, err)
}
