package entrypeer

import (
	"cmp"
	"context"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// Limits of a state transfer.
const (
	// statePartSize is the size of one message in bytes.
	statePartSize = 256 << 10
	// stateFirstPartTimeout limits the wait for the first parts of the peers'
	// states, stateTimeout the whole transfer.
	stateFirstPartTimeout = 2 * time.Second
	stateTimeout          = 10 * time.Second
)

// StateSource provides the folded state of a process and the log entries that
// it applied last. follower.Follower implements it.
type StateSource interface {
	Snapshot() ([]byte, error)
	Tail(after, hash uint64) (entries []platform.Entry, gap bool, err error)
}

// stateServer implements only the State and Tail calls.
type stateServer struct {
	pb.UnimplementedEntryPeerServer
	source StateSource
}

// RegisterState adds the State and Tail calls to the gRPC server of a process
// that is not an entry process.
func RegisterState(to grpc.ServiceRegistrar, source StateSource) {
	pb.RegisterEntryPeerServer(to, &stateServer{source: source})
}

// State implements the gRPC service.
func (s *stateServer) State(in *pb.StateRequest, out grpc.ServerStreamingServer[pb.StateReply]) error {
	return sendState(s.source, in.GetAbove(), out)
}

// State implements the gRPC service.
func (s *server) State(in *pb.StateRequest, out grpc.ServerStreamingServer[pb.StateReply]) error {
	return sendState(s.node.cfg.State, in.GetAbove(), out)
}

func sendState(source StateSource, above uint64, out grpc.ServerStreamingServer[pb.StateReply]) error {
	if source == nil {
		return status.Error(codes.Unimplemented, "this process passes on no state")
	}
	snapshot, err := source.Snapshot()
	if err != nil {
		return status.Error(codes.Unavailable, err.Error())
	}
	offset, err := ledger.SnapshotOffset(snapshot)
	if err != nil {
		return status.Error(codes.Internal, err.Error())
	}
	if offset <= above {
		return nil
	}
	for part := range slices.Chunk(snapshot, statePartSize) {
		if err := out.Send(&pb.StateReply{Offset: offset, Part: part}); err != nil {
			return err
		}
	}
	return nil
}

// StateClient reads the folded state and log entries of peers. It implements
// follower.Peers.
type StateClient struct {
	conns     *connPool
	addresses []string
}

// NewStateClient returns a StateClient for the peers at the addresses (IP:port).
// Close closes its connections.
func NewStateClient(addresses []string) *StateClient {
	return &StateClient{conns: newConnPool(nil), addresses: addresses}
}

// Close closes the connections.
func (s *StateClient) Close() { s.conns.close() }

// peerSnapshot is a peer's state of which the first part was received.
type peerSnapshot struct {
	offset    uint64
	firstPart []byte
	rest      grpc.ServerStreamingClient[pb.StateReply]
}

var errNoSnapshot = errors.New("no peer sent a state")

// NewestState returns the snapshot with the highest offset among the peers that
// answer. If no peer sends one, it returns the error of one of them.
func (s *StateClient) NewestState(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	offers, err := s.firstParts(ctx)
	slices.SortFunc(offers, func(a, b peerSnapshot) int { return cmp.Compare(b.offset, a.offset) })
	for _, o := range offers {
		var snapshot []byte
		if snapshot, err = o.receiveRest(); err == nil {
			return snapshot, nil
		}
	}
	if err == nil {
		err = errNoSnapshot
	}
	return nil, err
}

// firstParts requests the state of all peers concurrently. It returns when each
// has answered, and after stateFirstPartTimeout at the latest.
func (s *StateClient) firstParts(ctx context.Context) ([]peerSnapshot, error) {
	type answer struct {
		offer peerSnapshot
		err   error
	}
	answers := make(chan answer, len(s.addresses))
	for _, address := range s.addresses {
		go func() {
			o, err := s.ask(ctx, address)
			answers <- answer{o, err}
		}()
	}
	timeout := time.NewTimer(stateFirstPartTimeout)
	defer timeout.Stop()
	var offers []peerSnapshot
	var lastErr error
	for range s.addresses {
		select {
		case a := <-answers:
			if a.err != nil {
				lastErr = a.err
				continue
			}
			offers = append(offers, a.offer)
		case <-timeout.C:
			return offers, errors.New("peers did not answer in time")
		}
	}
	return offers, lastErr
}

func (s *StateClient) ask(ctx context.Context, address string) (peerSnapshot, error) {
	c, err := s.conns.client(address)
	if err != nil {
		return peerSnapshot{}, err
	}
	stream, err := c.State(ctx, &pb.StateRequest{})
	if err != nil {
		return peerSnapshot{}, errors.Wrapf(err, "read state from %s", address)
	}
	first, err := stream.Recv()
	if err != nil {
		return peerSnapshot{}, errors.Wrapf(err, "read state from %s", address)
	}
	return peerSnapshot{offset: first.GetOffset(), firstPart: first.GetPart(), rest: stream}, nil
}

// receiveRest returns the complete snapshot.
func (o peerSnapshot) receiveRest() ([]byte, error) {
	snapshot := o.firstPart
	for {
		part, err := o.rest.Recv()
		if errors.Is(err, io.EOF) {
			return snapshot, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "read state from a peer")
		}
		snapshot = append(snapshot, part.GetPart()...)
	}
}
