package entrypeer

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
	"github.com/yuccadrift/yuccadrift/internal/platform"
)

// Limits of reading log entries from peers.
const (
	// tailPeers is how many randomly chosen peers are asked at once. The next call
	// asks others, so that unreachable peers cause no long delay.
	tailPeers   = 3
	tailTimeout = 400 * time.Millisecond
)

// Tail implements the gRPC service.
func (s *stateServer) Tail(_ context.Context, in *pb.TailRequest) (*pb.TailReply, error) {
	return tailReply(s.source, in)
}

// Tail implements the gRPC service.
func (s *server) Tail(_ context.Context, in *pb.TailRequest) (*pb.TailReply, error) {
	return tailReply(s.node.cfg.State, in)
}

func tailReply(source StateSource, in *pb.TailRequest) (*pb.TailReply, error) {
	if source == nil {
		return nil, status.Error(codes.Unimplemented, "this process passes on no entries")
	}
	entries, gap, err := source.Tail(in.GetAfter(), in.GetHash())
	if err != nil {
		return nil, status.Error(codes.FailedPrecondition, err.Error())
	}
	reply := &pb.TailReply{Gap: gap}
	for _, e := range entries {
		reply.Entries = append(reply.Entries, &pb.LogEntry{Offset: uint64(e.Offset), Data: e.Data})
	}
	return reply, nil
}

// Tail asks some peers for the log entries after an offset and returns the
// longest list. gap reports that no peer returned entries and at least one no
// longer holds the entries after the offset. If no peer answers, Tail returns
// the error of one of them.
func (s *StateClient) Tail(ctx context.Context, after, hash uint64) (entries []platform.Entry, gap bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, tailTimeout)
	defer cancel()
	type answer struct {
		reply *pb.TailReply
		err   error
	}
	asked := min(tailPeers, len(s.addresses))
	answers := make(chan answer, asked)
	for _, i := range rand.Perm(len(s.addresses))[:asked] {
		go func() {
			reply, err := s.askTail(ctx, s.addresses[i], &pb.TailRequest{After: after, Hash: hash})
			answers <- answer{reply, err}
		}()
	}
	answered := false
	for range asked {
		a := <-answers
		if a.err != nil {
			err = a.err
			continue
		}
		answered = true
		gap = gap || a.reply.GetGap()
		if got := a.reply.GetEntries(); len(got) > len(entries) {
			entries = entriesOf(got)
		}
	}
	if answered {
		return entries, gap && len(entries) == 0, nil
	}
	return nil, false, err
}

func (s *StateClient) askTail(ctx context.Context, address string, in *pb.TailRequest) (*pb.TailReply, error) {
	c, err := s.conns.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := c.Tail(ctx, in)
	return reply, errors.Wrapf(err, "read log entries from %s", address)
}

func entriesOf(list []*pb.LogEntry) []platform.Entry {
	entries := make([]platform.Entry, 0, len(list))
	for _, e := range list {
		entries = append(entries, platform.Entry{Offset: platform.Offset(e.GetOffset()), Data: e.GetData()})
	}
	return entries
}
