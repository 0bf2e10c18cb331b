package operator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/operator/operatorpb"
)

// Limits of a waiting Status call.
const (
	// offsetPollInterval is how often a waiting call checks the offset. It is also
	// the resolution of the time to in force that the command line measures.
	offsetPollInterval = 5 * time.Millisecond
	// maxWait bounds one call, so that a call whose client is gone ends soon.
	maxWait = 30 * time.Second
)

// State provides the state that the process has read from the log. It is
// implemented by follower.Follower.
type State interface {
	View(func(*ledger.State))
	Fresh() time.Time
}

// ServerConfig describes a daemon to the Operator service.
type ServerConfig struct {
	Node  string
	Role  Role
	Zone  string
	State State
	// ActingOffset returns the offset up to which the process acts on its state. If
	// nil, the process acts on every offset that State has applied.
	ActingOffset func() uint64
	// Unready returns the reasons why the process is not ready, none if it is. If
	// nil, the process is always ready.
	Unready func() []string
}

type server struct {
	operatorpb.UnimplementedOperatorServer
	cfg    ServerConfig
	digest digestCache
}

// digestCache holds the latest digest. Computing a digest encodes the whole
// state; without the cache, each of many concurrent calls would hold the state's
// lock for milliseconds.
type digestCache struct {
	mu     sync.Mutex
	offset uint64
	value  uint64
}

func (d *digestCache) get(state *ledger.State) (uint64, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.offset == state.Offset {
		return d.value, nil
	}
	value, err := state.Digest()
	if err != nil {
		return 0, err
	}
	d.offset, d.value = state.Offset, value
	return value, nil
}

// Register adds the Operator service to a daemon's gRPC server.
func Register(to grpc.ServiceRegistrar, cfg ServerConfig) {
	operatorpb.RegisterOperatorServer(to, &server{cfg: cfg})
}

// Status implements the gRPC service.
func (s *server) Status(ctx context.Context, req *operatorpb.StatusRequest) (*operatorpb.StatusReply, error) {
	wait := min(req.GetMaxWait().AsDuration(), maxWait)
	s.await(ctx, req.GetAfterOffset(), wait)
	out, err := s.status()
	if err != nil {
		return nil, status.Error(codes.Internal, err.Error())
	}
	return out.toProto(), nil
}

// await returns once the process acts on offset, wait is over or ctx is done.
func (s *server) await(ctx context.Context, offset uint64, wait time.Duration) {
	if s.actingOffset() >= offset || wait <= 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	tick := time.NewTicker(offsetPollInterval)
	defer tick.Stop()
	for s.actingOffset() < offset {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

func (s *server) actingOffset() uint64 {
	if s.cfg.ActingOffset != nil {
		return s.cfg.ActingOffset()
	}
	var offset uint64
	s.cfg.State.View(func(state *ledger.State) { offset = state.Offset })
	return offset
}

func (s *server) status() (Status, error) {
	out := Status{
		Node:         s.cfg.Node,
		Role:         s.cfg.Role,
		Zone:         s.cfg.Zone,
		ActingOffset: s.actingOffset(),
		Fresh:        s.cfg.State.Fresh(),
		Now:          time.Now(),
	}
	if s.cfg.Unready != nil {
		out.Unready = s.cfg.Unready()
	}
	var err error
	s.cfg.State.View(func(state *ledger.State) {
		fillFromState(&out, state)
		out.Digest, err = s.digest.get(state)
	})
	return out, err
}

func fillFromState(out *Status, state *ledger.State) {
	out.Offset = state.Offset
	out.Members = state.MemberNames()
	for _, name := range slices.Sorted(maps.Keys(state.Services)) {
		out.Documents = append(out.Documents, Document{Service: name, Revision: state.Services[name].Revision})
	}
}
