// Package nodepeer implements the gRPC calls between nodes, mainly queries to the node that
// owns a partition.
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

	"github.com/yuccadrift/yuccadrift/internal/acceptance"
	"github.com/yuccadrift/yuccadrift/internal/partitioning"
	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
)

// Timeouts of connections between nodes.
const (
	// keepaliveInterval and keepaliveTimeout detect a dead connection.
	keepaliveInterval = 10 * time.Second // the shortest that grpc allows
	keepaliveTimeout  = time.Second
	idleTimeout       = 30 * time.Second
	minConnectTimeout = 500 * time.Millisecond
	// closeDelay is how long a connection that may be dead stays open for the other calls
	// on it. The longest of them, storing a record while the store is slow, takes up to 1.1 s.
	closeDelay = 1500 * time.Millisecond
)

// reconnectBackoff is the backoff for connecting to an unreachable node. A restarted node is
// back within a second.
var reconnectBackoff = backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 500 * time.Millisecond}

// Request holds the arguments of all methods.
type Request struct {
	Partition int            `json:"p"`
	Job       workload.JobID `json:"j,omitempty"`
	Cancels   bool           `json:"cx,omitempty"` // asks for the job's cancellation, not its submission
	// Requester asks whether its job was accepted or its cancellation stands.
	Requester *workload.Requester `json:"rq,omitempty"`
	Queue     string              `json:"q,omitempty"`
	Worker    string              `json:"w,omitempty"`
	// MoreWorkers are drained as well as Worker. Nodes of earlier versions drain Worker only.
	MoreWorkers []string `json:"mw,omitempty"`
	// Service is the service of the workers in DueForMaintenance.
	Service           string   `json:"sv,omitempty"`
	DueForMaintenance []string `json:"lv,omitempty"`
	// IncomingMilliCores are those of the VMs that are on their way to Service, nil if the requesting node
	// doesn't tell.
	IncomingMilliCores *int `json:"in,omitempty"`
	// RecordKey and RecordValue are the record to be stored.
	RecordKey      string `json:"rk,omitempty"`
	RecordValue    []byte `json:"rv,omitempty"`
	PendingAfterMS int64  `json:"rw,omitempty"` // after which the node responds that the outcome is pending
	Epoch          int64  `json:"ep,omitempty"` // of the requesting owner
	// From is the requesting node's address for other nodes. Earlier versions don't state it.
	From string `json:"fr,omitempty"`
	// ConfigVersion is the version of the requesting node's configuration, 0 if it has none.
	ConfigVersion int64                 `json:"cv,omitempty"`
	Loan          *workload.LoanRequest `json:"ln,omitempty"`
	Workspace     string                `json:"ws,omitempty"` // of MethodProspect
	// AgeMS is the time since Job was handed in, in milliseconds.
	AgeMS int64 `json:"ag,omitempty"`
	// OpenAttempts are attempts of other nodes to store records, whose outcome is unknown.
	OpenAttempts []acceptance.Request `json:"oa,omitempty"`
	// OwnersVersion and Services are what the requesting node knows, WaitMS is how long to wait for more.
	OwnersVersion uint64 `json:"ov,omitempty"`
	Services      int    `json:"ns,omitempty"`
	WaitMS        int64  `json:"wm,omitempty"`
}

// Response holds the results of all methods.
type Response struct {
	// IsOwner is set if the node owns the partition, has read it and is certain of the results
	// below. ServeStore, ServeMembership and ServeRelease don't set it.
	IsOwner bool              `json:"o"`
	Known   bool              `json:"k,omitempty"` // the job exists
	State   workload.JobState `json:"s,omitempty"`
	// Workspace and JobQueue are those of the job.
	Workspace string `json:"ws,omitempty"`
	JobQueue  string `json:"jq,omitempty"`
	Waiting   int    `json:"w,omitempty"`
	// Drained is set if the worker runs nothing. DrainConfirmed is set if in addition its
	// process has just answered; nodes of earlier versions omit it.
	Drained        bool `json:"e,omitempty"`
	DrainConfirmed bool `json:"es,omitempty"`
	// DrainStates are those of MoreWorkers, in their order.
	DrainStates []workload.DrainState  `json:"ds,omitempty"`
	Loads       []workload.ServiceLoad `json:"l,omitempty"`
	StoreResult *StoreResult           `json:"st,omitempty"`
	// LastJoin is the last join of the node's process, whatever the process owns.
	LastJoin *LastJoin `json:"lj,omitempty"`
	// HandoverRecords are the records that the node's stopped owner of the partition did not
	// store, nil if the node has none.
	HandoverRecords []StoredRecord `json:"rp,omitempty"`
	Config          *ConfigResult  `json:"cf,omitempty"`
	// ConfigVersion is the version of the node's configuration, stated with the state of a job.
	ConfigVersion int64 `json:"cv,omitempty"`
	// Follow is set if the node reads the store itself and in time.
	Follow *FollowResult `json:"fo,omitempty"`
	// Stands is set if the owner knows the requester's job, or its cancellation if that was asked for.
	Stands bool `json:"sd,omitempty"`
	// Acceptance is set if the node runs an owner of the partition.
	Acceptance *acceptance.OwnerReport `json:"ac,omitempty"`
	// Loan is set if IsOwner is and the request was not refused.
	Loan *workload.LoanResponse `json:"ln,omitempty"`
	// Prospect is that of the next job of the same queue and workspace, nil if there is no reason to reject it.
	Prospect *Prospect `json:"pr,omitempty"`
}

// FollowResult is a relay.Answer of a node that reads the store itself.
type FollowResult struct {
	Config        []byte             `json:"c,omitempty"`
	OwnersVersion uint64             `json:"v"`
	Owners        []platform.Owner   `json:"o,omitempty"`
	OwnersAgeMS   int64              `json:"a"` // since the node has read them
	Partitions    partitioning.Table `json:"p,omitempty"`
}

// Prospect is an admission.Prospect in milliseconds and core-seconds.
type Prospect struct {
	WaitMS     int64   `json:"w"`
	ExpectedMS int64   `json:"e"`
	MinWork    float64 `json:"m,omitempty"`
}

// ConfigResult is the configuration of a node and what it knows of other nodes.
type ConfigResult struct {
	// Record is the configuration as published, nil if it is not newer than the requested version.
	Record     []byte   `json:"r,omitempty"`
	ReadsStore bool     `json:"s,omitempty"` // the node's reads of the store are in time
	Nodes      []string `json:"n,omitempty"` // addresses of some other nodes
	// Partitions are the known partitions of services. Nodes of earlier versions don't state them.
	Partitions partitioning.Table `json:"p,omitempty"`
}

// StoredRecord is the key and value of a record.
type StoredRecord struct {
	Key   string `json:"k"`
	Value []byte `json:"v"`
}

// LastJoin describes the last join of a node's process that the store answered.
type LastJoin struct {
	Never bool  `json:"n,omitempty"`
	AgeMS int64 `json:"a"` // time since the answer
	// Owned are the partitions that the membership group has assigned to the process.
	Owned []platform.Partition `json:"h,omitempty"`
	// Slowed is set if the node's VM is slower than usual.
	Slowed bool `json:"sl,omitempty"`
}

// StoreResult is the outcome of storing a record.
type StoreResult struct {
	Status      platform.StoreStatus `json:"s"`
	Pending     bool                 `json:"p,omitempty"`
	Unavailable bool                 `json:"a,omitempty"` // the node does not reach the store
	NoRoom      bool                 `json:"n,omitempty"` // the owner's node has no memory for the job
	Reason      string               `json:"r,omitempty"`
}

// Handler serves the calls of other nodes: ServeJobState serves MethodJobState, and so on.
type Handler interface {
	ServeJobState(ctx context.Context, req Request) (Response, error)
	ServeWaiting(ctx context.Context, req Request) (Response, error)
	ServeDrain(ctx context.Context, req Request) (Response, error)
	ServeLoads(ctx context.Context, req Request) (Response, error)
	ServeStore(ctx context.Context, req Request) (Response, error)
	ServeMembership(ctx context.Context, req Request) (Response, error)
	ServeRelease(ctx context.Context, req Request) (Response, error)
	ServeConfig(ctx context.Context, req Request) (Response, error)
	ServeLoan(ctx context.Context, req Request) (Response, error)
	ServeProspect(ctx context.Context, req Request) (Response, error)
	ServeAttempt(ctx context.Context, req Request) (Response, error)
	ServeAcceptance(ctx context.Context, req Request) (Response, error)
	ServeOpenAttempts(ctx context.Context, req Request) (Response, error)
	ServeFollow(ctx context.Context, req Request) (Response, error)
}

// Method is the name of a gRPC method.
type Method string

// The methods.
const (
	MethodJobState Method = "JobState"
	MethodWaiting  Method = "Waiting"
	MethodDrain    Method = "Evacuate" // the name on the wire, kept for nodes of earlier versions
	MethodLoads    Method = "Loads"
	MethodStore    Method = "Store"
	// MethodMembership returns the last join of the node's process.
	MethodMembership Method = "Membership"
	// MethodRelease stops the node's owner of a partition if its epoch is lower than the
	// requesting owner's, and returns the records that it did not store.
	MethodRelease Method = "Release"
	// MethodConfig returns the node's configuration if it is newer than the requesting node's.
	MethodConfig Method = "Config"
	// MethodLoan asks the owner of a partition for allowances of workspaces.
	MethodLoan Method = "Loan"
	// MethodProspect returns the prospect of the next job of a queue and a workspace.
	MethodProspect Method = "Prospect"
	// MethodAttempt tells a node of a job that was handed in at another one and not stored.
	MethodAttempt Method = "Attempt"
	// MethodAcceptance returns whether the owner of a partition knows a job, and what rules out that
	// an unknown one was accepted.
	MethodAcceptance Method = "Acceptance"
	// MethodOpenAttempts tells the owner's node of open attempts of another node.
	MethodOpenAttempts Method = "OpenAttempts"
	// MethodFollow returns what the node has read from the store and the requesting node doesn't know. It
	// waits for a change.
	MethodFollow Method = "Follow"
)

const serviceName = "yuccadrift.Node"

// jsonCodec encodes messages as JSON: they are small and few, and JSON needs no generated
// code.
type jsonCodec struct{}

func (jsonCodec) Marshal(v any) ([]byte, error)      { return json.Marshal(v) }
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
func (jsonCodec) Name() string                       { return "json" }

func init() { encoding.RegisterCodec(jsonCodec{}) }

// methodDesc returns the gRPC description of a handler's method. onRequest is called with the address
// of each requesting node that states it.
func methodDesc(m Method, onRequest func(from string), invoke func(Handler, context.Context, Request) (Response, error)) grpc.MethodDesc {
	return grpc.MethodDesc{
		MethodName: string(m),
		Handler: func(srv any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
			var req Request
			if err := decode(&req); err != nil {
				return nil, err
			}
			claimOf(ctx).Finish()
			if req.From != "" {
				onRequest(req.From)
			}
			response, err := invoke(srv.(Handler), ctx, req)
			return &response, err
		},
	}
}

// Serve serves other nodes on a listener until ctx ends. onRequest is called with the address of each
// requesting node that states it.
func Serve(ctx context.Context, listener net.Listener, h Handler, onRequest func(from string)) error {
	server := grpc.NewServer(grpc.Creds(newClaimCredentials()), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxConcurrentStreams(maxCalls),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: keepaliveInterval / 2, PermitWithoutStream: true}))
	server.RegisterService(&grpc.ServiceDesc{
		ServiceName: serviceName,
		HandlerType: (*Handler)(nil),
		Methods: []grpc.MethodDesc{
			methodDesc(MethodJobState, onRequest, Handler.ServeJobState),
			methodDesc(MethodWaiting, onRequest, Handler.ServeWaiting),
			methodDesc(MethodDrain, onRequest, Handler.ServeDrain),
			methodDesc(MethodLoads, onRequest, Handler.ServeLoads),
			methodDesc(MethodStore, onRequest, Handler.ServeStore),
			methodDesc(MethodMembership, onRequest, Handler.ServeMembership),
			methodDesc(MethodRelease, onRequest, Handler.ServeRelease),
			methodDesc(MethodConfig, onRequest, Handler.ServeConfig),
			methodDesc(MethodLoan, onRequest, Handler.ServeLoan),
			methodDesc(MethodProspect, onRequest, Handler.ServeProspect),
			methodDesc(MethodAttempt, onRequest, Handler.ServeAttempt),
			methodDesc(MethodAcceptance, onRequest, Handler.ServeAcceptance),
			methodDesc(MethodOpenAttempts, onRequest, Handler.ServeOpenAttempts),
			methodDesc(MethodFollow, onRequest, Handler.ServeFollow),
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

// Clients holds one connection to each node. It is safe for concurrent use.
type Clients struct {
	self string // this node's address for other nodes

	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewClients returns Clients of the node at address self, without connections.
func NewClients(self string) *Clients {
	return &Clients{self: self, conns: map[string]*grpc.ClientConn{}}
}

// ErrNotSent is returned for a request that never left this node.
var ErrNotSent = errors.New("not sent")

// Call calls a method of the node at an address.
func (c *Clients) Call(ctx context.Context, address string, m Method, req Request) (Response, error) {
	conn, err := c.conn(address)
	if err != nil {
		return Response{}, err
	}
	req.From = c.self
	var response Response
	var sentTo peer.Peer // stays empty if the request was not sent
	err = conn.Invoke(ctx, "/"+serviceName+"/"+string(m), &req, &response, grpc.CallContentSubtype("json"), grpc.Peer(&sentTo))
	if err != nil && ctx.Err() != nil {
		// The connection may be dead; the next call gets a new one.
		c.discard(address, conn)
	}
	if err != nil && sentTo.Addr == nil {
		return response, errors.Wrapf(ErrNotSent, "ask %s: %v", address, err)
	}
	return response, errors.Wrapf(err, "ask %s", address)
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
