// Package nodepeer is the talk between nodes: questions about jobs to the node
// that owns their service, over gRPC.
package nodepeer

import (
	"context"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/peer"

	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Times of connections between nodes.
const (
	// keepaliveInterval and pingTimeout find a connection that went silent.
	keepaliveInterval = 10 * time.Second // the shortest that grpc allows
	keepaliveTimeout  = time.Second
	idleTimeout       = 30 * time.Second
	minConnectTimeout = 500 * time.Millisecond
	// closeDelay is how long a connection that may have gone silent stays open for
	// the other questions on it: the longest wait 1.1 s, for a record while the store
	// is slow.
	closeDelay = 1500 * time.Millisecond
)

// reconnectBackoff is the pause before a new try at a node that can't be reached: a
// restarted node is back within a second.
var reconnectBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond}

// Request is a question to the owner of a partition.
type Request struct {
	Partition int            `json:"p"`
	Job       workload.JobID `json:"j,omitempty"`
	Queue     string         `json:"q,omitempty"`
	Worker    string         `json:"w,omitempty"`
	// Service is whose Leaving workers are named: their VMs are due for maintenance.
	Service           string   `json:"sv,omitempty"`
	DueForMaintenance []string `json:"lv,omitempty"`
	// Record is one to be stored, by its key and value.
	RecordKey      string `json:"rk,omitempty"`
	RecordValue    []byte `json:"rv,omitempty"`
	PendingAfterMS int64  `json:"rw,omitempty"` // after which the outcome is told as open
	Epoch          int64  `json:"ep,omitempty"` // of the owner that asks
}

// Response is what the owner says.
type Response struct {
	IsOwner bool              `json:"o"` // the node owns the partition and has read it
	Known   bool              `json:"k,omitempty"`
	State   workload.JobState `json:"s,omitempty"`
	Waiting int               `json:"w,omitempty"`
	// Drained tells that a worker runs nothing, and Seen that its process has just answered,
	// which nodes of earlier versions leave out.
	Drained        bool                   `json:"e,omitempty"`
	DrainConfirmed bool                   `json:"es,omitempty"`
	Loads          []workload.ServiceLoad `json:"l,omitempty"`
	StoreResult    *StoreResult           `json:"st,omitempty"`
	// LastJoin is of the node's process, whatever it owns.
	LastJoin *LastJoin `json:"lj,omitempty"`
	// HandoverRecords is what an earlier owner of the partition has left, nil if nothing is known.
	HandoverRecords []StoredRecord `json:"rp,omitempty"`
}

// StoredRecord is a record by its key and value.
type StoredRecord struct {
	Key   string `json:"k"`
	Value []byte `json:"v"`
}

// LastJoin is when the store last answered a join of a node's process.
type LastJoin struct {
	Never bool  `json:"n,omitempty"`
	AgeMS int64 `json:"a"` // since the answer
	// Owned are the partitions that the group has given to the process.
	Owned []platform.Partition `json:"h,omitempty"`
}

// StoreResult is what became of a record that was to be stored.
type StoreResult struct {
	Status      platform.StoreStatus `json:"s"`
	Pending     bool                 `json:"p,omitempty"`
	Unavailable bool                 `json:"a,omitempty"` // the node has no way to the store
	Reason      string               `json:"r,omitempty"`
}

// Handler answers what other nodes ask.
type Handler interface {
	JobState(ctx context.Context, req Request) (Response, error)
	Waiting(ctx context.Context, req Request) (Response, error)
	Drain(ctx context.Context, req Request) (Response, error)
	Loads(ctx context.Context, req Request) (Response, error)
	Store(ctx context.Context, req Request) (Response, error)
	Membership(ctx context.Context, req Request) (Response, error)
	Release(ctx context.Context, req Request) (Response, error)
}

// Method is one of the questions.
type Method string

// The methods.
const (
	MethodJobState Method = "JobState"
	MethodWaiting  Method = "Waiting"
	MethodDrain    Method = "Evacuate"
	MethodLoads    Method = "Loads"
	MethodStore    Method = "Store"
	// MethodMembership asks for the node's last join.
	MethodMembership Method = "Membership"
	// MethodRelease has an earlier owner stop and report what it leaves.
	MethodRelease Method = "Release"
)

const serviceName = "yuccadrift.Node"

// jsonCodec puts messages on the wire as JSON: they are small and few, and no
// generated code is needed for them.
type jsonCodec struct{}

func (jsonCodec) Marshal(v any) ([]byte, error)      { return json.Marshal(v) }
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
func (jsonCodec) Name() string                       { return "json" }

func init() { encoding.RegisterCodec(jsonCodec{}) }

// methodDesc makes the gRPC method of a handler's one.
func methodDesc(m Method, invoke func(Handler, context.Context, Request) (Response, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: string(m),
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			var req Request
			if err := decode(&req); err != nil {
				return nil, err
			}
			answer, err := invoke(srv.(Handler), ctx, req)
			return &answer, err
		},
	}
}

// Serve answers other nodes on a listener until ctx ends.
func Serve(ctx context.Context, listener net.Listener, h Handler) error {
	server := grpc.NewServer(grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}))
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods: []grpc.MethodDesc{
			methodDesc(MethodJobState, Handler.JobState),
			methodDesc(MethodWaiting, Handler.Waiting),
			methodDesc(MethodDrain, Handler.Drain),
			methodDesc(MethodLoads, Handler.Loads),
			methodDesc(MethodStore, Handler.Store),
			methodDesc(MethodMembership, Handler.Membership),
			methodDesc(MethodRelease, Handler.Release),
		},
	}, h)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(listener) }()
	select {
	case err := <-ended:
		return errors.Wrap(err, "serve other nodes")
	case <-ctx.Done():
		server.Stop()
		<-ended
		return ctx.Err()
	}
}

// Clients keeps one connection to each node. It is safe for concurrent use.
type Clients struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClients returns no connections yet.
func NewClients() *Clients { return &Clients{conns: map[string]*grpc.ClientConn{}} }

// ErrNotSent marks a question that never left this node.
var ErrNotSent = errors.New("not sent")

// Call puts a question to the node at an address.
func (c *Clients) Call(ctx context.Context, address string, m Method, req Request) (Response, error) {
	conn, err := c.conn(address)
	if err != nil {
		return Response{}, err
	}
	var answer Response
	var sentTo peer.Peer // stays empty where no connection took the question
	err = conn.Invoke(ctx, "/"+serviceName+"/"+string(m), &req, &answer, grpc.CallContentSubtype("json"), grpc.Peer(&sentTo))
	if err != nil && ctx.Err() != nil {
		// It may have gone silent; the next call gets a new connection.
		c.discard(address, conn)
	}
	if err != nil && sentTo.Addr == nil {
		return answer, errors.Wrapf(ErrNotSent, "ask %s: %v", address, err)
	}
	return answer, errors.Wrapf(err, "ask %s", address)
}

func (c *Clients) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: minConnectTimeout, Backoff: reconnectBackoff}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveInterval, Timeout: keepaliveTimeout}),
	)
	if err != nil {
		return nil, errors.Wrap(err, "connection to a node")
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Clients) discard(address string, conn *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[address] == conn {
		delete(c.conns, address)
		time.AfterFunc(closeDelay, func() { conn.Close() })
	}
}
