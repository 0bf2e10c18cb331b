package operator

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/yuccadrift/yuccadrift/internal/operator/operatorpb"
)

// ErrUnreachable is returned if no process answers at a node's address.
var ErrUnreachable = errors.New("node unreachable")

// Client reads the status of one process.
type Client struct {
	addr string
	conn *grpc.ClientConn
	rpc  operatorpb.OperatorClient
}

// NewClient returns a client for the process with the peer address addr
// (IP:port). The client connects on the first call.
func NewClient(addr string) (*Client, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, errors.Wrapf(err, "node %s", addr)
	}
	return &Client{addr: addr, conn: conn, rpc: operatorpb.NewOperatorClient(conn)}, nil
}

// Close closes the connection.
func (c *Client) Close() error { return c.conn.Close() }

// Status returns the present status of the process. The error wraps
// ErrUnreachable if no process answers before ctx's deadline.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return c.call(ctx, &operatorpb.StatusRequest{})
}

// StatusAfter returns the status once the process acts on offset, or after wait
// if that is earlier.
func (c *Client) StatusAfter(ctx context.Context, offset uint64, wait time.Duration) (Status, error) {
	return c.call(ctx, &operatorpb.StatusRequest{AfterOffset: offset, MaxWait: durationpb.New(wait)})
}

func (c *Client) call(ctx context.Context, req *operatorpb.StatusRequest) (Status, error) {
	reply, err := c.rpc.Status(ctx, req)
	switch status.Code(err) {
	case codes.OK:
		return statusFromProto(reply), nil
	case codes.Unavailable, codes.DeadlineExceeded:
		return Status{}, errors.Wrapf(ErrUnreachable, "%s: %s", c.addr, status.Convert(err).Message())
	}
	return Status{}, errors.Wrapf(err, "node %s", c.addr)
}
