package entrypeer

import (
	"context"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
)

// server implements the EntryPeer service for a Node.
type server struct {
	pb.UnimplementedEntryPeerServer
	node *Node
}

// Register adds the EntryPeer service to the process's gRPC server.
func (n *Node) Register(to grpc.ServiceRegistrar) {
	pb.RegisterEntryPeerServer(to, &server{node: n})
}

var errUnknownMember = status.Error(codes.FailedPrecondition, "no such member here")

func badRequest(err error) error { return status.Error(codes.InvalidArgument, err.Error()) }

// member returns the membership of this process with the given name. A message
// for another member, for example from before a restart at the same address,
// must be refused, because it refers to records that are lost.
func (s *server) member(name string) (*Member, error) {
	if m := s.node.member(name); m != nil {
		return m, nil
	}
	return nil, errUnknownMember
}

// Claim implements the gRPC service.
func (s *server) Claim(_ context.Context, in *pb.ClaimRequest) (*pb.ClaimReply, error) {
	m, err := s.member(in.GetOwner())
	if err != nil {
		return nil, err
	}
	key, attempt, err := keyAndAttempt(in.GetKey(), in.GetAttempt())
	if err != nil {
		return nil, badRequest(err)
	}
	req := claim.Request{Key: key, Fingerprint: in.GetFingerprint()}
	r := m.claim(req, attempt, in.GetUntil().AsTime())
	return &pb.ClaimReply{
		Code:   uint32(r.Code),
		Reason: string(r.Reason),
		Answer: answerProto(r.Answer),
		Offset: r.Offset,
	}, nil
}

// Await implements the gRPC service.
func (s *server) Await(ctx context.Context, in *pb.AwaitRequest) (*pb.AwaitReply, error) {
	m, err := s.member(in.GetOwner())
	if err != nil {
		return nil, err
	}
	key, attempt, err := keyAndAttempt(in.GetKey(), in.GetAttempt())
	if err != nil {
		return nil, badRequest(err)
	}
	return &pb.AwaitReply{Full: !m.await(ctx, key, attempt)}, nil
}

// Report implements the gRPC service.
func (s *server) Report(_ context.Context, in *pb.ReportRequest) (*pb.ReportReply, error) {
	m, err := s.member(in.GetOwner())
	if err != nil {
		return nil, err
	}
	key, attempt, err := keyAndAttempt(in.GetKey(), in.GetAttempt())
	if err != nil {
		return nil, badRequest(err)
	}
	taken := m.report(claim.Result{
		Key:     key,
		Attempt: attempt,
		End:     claim.End(in.GetEnd()),
		Answer:  answerOf(in.GetAnswer()),
	})
	return &pb.ReportReply{Taken: taken}, nil
}

// Lease implements the gRPC service.
func (s *server) Lease(_ context.Context, in *pb.LeaseRequest) (*pb.LeaseReply, error) {
	out := &pb.LeaseReply{}
	if m := s.node.current(); m != nil {
		out.Member = m.Name()
		out.Acked = m.handleLeaseRequest(in.GetMember(), in.GetClock().AsTime())
	}
	out.Clock = timeProto(Now().Wall)
	return out, nil
}

// pullBatch is the maximum number of records per message. With MaxAnswer it
// limits the size of a message.
const pullBatch = 32

// Pull implements the gRPC service.
func (s *server) Pull(in *pb.PullRequest, stream grpc.ServerStreamingServer[pb.PullReply]) error {
	m, err := s.member(in.GetSource())
	if err != nil {
		return err
	}
	h, code := m.handlePull(claim.PullRequest{
		Source:          in.GetSource(),
		Puller:          in.GetPuller(),
		Offset:          in.GetOffset(),
		Owner:           in.GetOwner(),
		Members:         in.GetMembers(),
		RequireComplete: in.GetWhole(),
	})
	for len(h.Records) > 0 {
		n := min(pullBatch, len(h.Records))
		part := &pb.PullReply{Status: uint32(claim.PullLater)}
		for _, r := range h.Records[:n] {
			part.Records = append(part.Records, recordProto(r))
		}
		if err := stream.Send(part); err != nil {
			return err
		}
		h.Records = h.Records[n:]
	}
	last := &pb.PullReply{Status: uint32(code), Dropped: timeProto(h.DroppedUntil)}
	for _, f := range h.Floors {
		last.Floors = append(last.Floors, floorProto(f))
	}
	if err := stream.Send(last); err != nil {
		return err
	}
	if code == claim.PullDone {
		m.recordHandover(in.GetOffset(), in.GetPuller())
	}
	return nil
}

// InFlight implements the gRPC service.
func (s *server) InFlight(context.Context, *pb.InFlightRequest) (*pb.InFlightReply, error) {
	if s.node.cfg.InFlight == nil {
		return nil, status.Error(codes.Unimplemented, "this process serves no callers")
	}
	offset, vms := s.node.cfg.InFlight()
	out := &pb.InFlightReply{Offset: offset, Vms: map[string]int64{}}
	for vm, n := range vms {
		out.Vms[vm] = int64(n)
	}
	return out, nil
}
