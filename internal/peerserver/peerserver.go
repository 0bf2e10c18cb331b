// Package peerserver runs the gRPC server on a daemon's peer address. The peer
// packages register their services on it.
package peerserver

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/yuccadrift/yuccadrift/internal/supervise"
)

// Bounds of peer connections.
const (
	// maxStreams is how many calls one peer may have open at once.
	maxStreams = 1024
	// A peer that vanished without closing its connection is noticed after
	// pingAfter and pingTimeout, so that calls to it do not hang.
	keepaliveInterval = 2 * time.Second
	keepaliveTimeout  = 2 * time.Second
	// minPingInterval is the shortest interval at which peers may ping.
	minPingInterval = time.Second
	// flowControlWindow is the flow control window in bytes, of streams and connections.
	// It is fixed: with grpc-go's estimate of a connection's bandwidth each
	// message of a few bytes is answered by a ping and a window update, which
	// doubles the bytes of leases and greetings.
	flowControlWindow = 1 << 20
	// stopTimeout is what calls in progress get when the daemon stops.
	stopTimeout = 2 * time.Second
)

// DialOptions are what clients of a Server add to their options.
func DialOptions() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithStaticStreamWindowSize(flowControlWindow),
		grpc.WithStaticConnWindowSize(flowControlWindow),
	}
}

// Server is the gRPC server of one daemon.
type Server struct {
	listener net.Listener
	grpc     *grpc.Server
}

// New returns a Server on listener, which it owns from then on.
func New(listener net.Listener) *Server {
	return &Server{
		listener: listener,
		grpc: grpc.NewServer(
			grpc.MaxConcurrentStreams(maxStreams),
			grpc.StaticStreamWindowSize(flowControlWindow),
			grpc.StaticConnWindowSize(flowControlWindow),
			grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
			grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
		),
	}
}

// Registrar takes services; it must be used before Serve.
func (s *Server) Registrar() grpc.ServiceRegistrar { return s.grpc }

// Serve answers until ctx ends. It is a duty's Serve function. The listener
// cannot be taken up again after a failure, so errors are fatal.
func (s *Server) Serve(ctx context.Context) error {
	ended := make(chan error, 1)
	go func() { ended <- s.grpc.Serve(s.listener) }()
	select {
	case err := <-ended:
		return supervise.Fatal(errors.Wrap(err, "peer server"))
	case <-ctx.Done():
		s.stop()
		<-ended
		return ctx.Err()
	}
}

// stop lets calls in progress finish and then cuts them.
func (s *Server) stop() {
	cut := time.AfterFunc(stopTimeout, s.grpc.Stop)
	defer cut.Stop()
	s.grpc.GracefulStop()
}
