// Package stewardpeer connects the stewards of different nodes: they find out
// which stewards are alive to share the work, and check backend servers for
// each other.
package stewardpeer

import (
	"context"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "github.com/yuccadrift/yuccadrift/internal/stewardpeer/stewardpeerpb"
)

// Limits of one Check call.
const (
	maxAddresses  = 256
	checkParallel = 32
	checkTimeout  = 2 * time.Second
)

// ServerConfig configures the service that a steward offers its peers.
type ServerConfig struct {
	Node string
	// MayDecide reports whether the steward may decide now.
	MayDecide func() bool
	// Check checks one backend server; a nil error means healthy.
	Check func(ctx context.Context, address string) error
}

type server struct {
	pb.UnimplementedStewardPeerServer
	cfg ServerConfig
}

// Register adds the service to a daemon's gRPC server.
func Register(to grpc.ServiceRegistrar, cfg ServerConfig) {
	pb.RegisterStewardPeerServer(to, &server{cfg: cfg})
}

// Hello implements the gRPC service.
func (s *server) Hello(context.Context, *pb.HelloRequest) (*pb.HelloReply, error) {
	return &pb.HelloReply{Node: s.cfg.Node, Able: s.cfg.MayDecide()}, nil
}

// Check implements the gRPC service.
func (s *server) Check(ctx context.Context, req *pb.CheckRequest) (*pb.CheckReply, error) {
	addresses := req.GetAddresses()
	if len(addresses) > maxAddresses {
		return nil, status.Errorf(codes.InvalidArgument, "%d addresses, at most %d", len(addresses), maxAddresses)
	}
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	healthy := make([]bool, len(addresses))
	slots := make(chan struct{}, checkParallel)
	var wg sync.WaitGroup
	for i, address := range addresses {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			healthy[i] = s.cfg.Check(ctx, address) == nil
		})
	}
	wg.Wait()
	reply := &pb.CheckReply{}
	for i, ok := range healthy {
		if ok {
			reply.Healthy = append(reply.Healthy, addresses[i])
		}
	}
	return reply, nil
}
