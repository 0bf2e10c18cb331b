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

// Bounds of passing on a state.
const (
	// statePartSize is the size of one message, in bytes.
	statePartSize = 256 << 10
	// stateFirstPartTimeout bounds the wait for the peers' offsets, stateTimeout the whole.
	stateFirstPartTimeout = 2 * time.Second
	stateTimeout          = 10 * time.Second
)

// StateSource is the folded state of a process and the entries of the log that it
// folded last. It is implemented by follower.Follower.
type StateSource interface {
	Snapshot() ([]byte, error)
	Tail(after, hash uint64) (entries []platform.Entry, gap bool, err error)
}

// stateServer offers the State and Tail calls alone.
type stateServer struct {
	pb.UnimplementedEntryPeerServer
	source StateSource
}

// RegisterState offers the folded state to peers from a daemon that is no entry
// process.
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

// States asks peers for their folded state. It implements follower.Peers.
type States struct {
	conns     *connPool
	addresses []string
}

// NewStates returns a States that asks the peers at the addresses (IP:port).
// Close ends its connections.
func NewStates(addresses []string) *States {
	return &States{conns: newConnPool(nil), addresses: addresses}
}

// Close ends the connections.
func (s *States) Close() { s.conns.close() }

// peerSnapshot is a peer's state of which the first part has come.
type peerSnapshot struct {
	offset    uint64
	firstPart []byte
	rest      grpc.ServerStreamingClient[pb.StateReply]
}

var errNoSnapshot = errors.New("no peer has a state to pass on")

// NewestState returns the snapshot with the highest offset among the peers that
// answer. The error is that of one of them when none does.
func (s *States) NewestState(ctx context.Context) ([]byte, error) {
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

// firstParts asks all peers at once and waits until each has answered, or for
// stateFirst.
func (s *States) firstParts(ctx context.Context) ([]peerSnapshot, error) {
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

func (s *States) ask(ctx context.Context, address string) (peerSnapshot, error) {
	c, err := s.conns.client(address)
	if err != nil {
		return peerSnapshot{}, err
	}
	stream, err := c.State(ctx, &pb.StateRequest{})
	if err != nil {
		return peerSnapshot{}, errors.Wrapf(err, "state of %s", address)
	}
	first, err := stream.Recv()
	if err != nil {
		return peerSnapshot{}, errors.Wrapf(err, "state of %s", address)
	}
	return peerSnapshot{offset: first.GetOffset(), firstPart: first.GetPart(), rest: stream}, nil
}

// receiveRest receives the rest of the state.
func (o peerSnapshot) receiveRest() ([]byte, error) {
	snapshot := o.firstPart
	for {
		part, err := o.rest.Recv()
		if errors.Is(err, io.EOF) {
			return snapshot, nil
		}
		if err != nil {
			return nil, errors.Wrap(err, "state of a peer")
		}
		snapshot = append(snapshot, part.GetPart()...)
	}
}
