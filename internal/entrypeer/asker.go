package entrypeer

import (
	"context"

	"github.com/pkg/errors"

	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
)

// InFlightClient queries entry processes from a process that is not one.
type InFlightClient struct{ conns *connPool }

// NewInFlightClient returns an InFlightClient. Close closes its connections.
func NewInFlightClient() *InFlightClient { return &InFlightClient{conns: newConnPool(nil)} }

// Close closes the connections.
func (a *InFlightClient) Close() { a.conns.close() }

// InFlight returns the requests in flight by backend VM of the entry process at
// the peer address (IP:port), and the log offset up to which it had applied the
// log when it counted them.
func (a *InFlightClient) InFlight(ctx context.Context, address string) (offset uint64, vms map[string]int, err error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultCallTimeout)
	defer cancel()
	c, err := a.conns.client(address)
	if err != nil {
		return 0, nil, err
	}
	r, err := c.InFlight(ctx, &pb.InFlightRequest{})
	if err != nil {
		return 0, nil, errors.Wrapf(err, "read requests in flight from %s", address)
	}
	vms = map[string]int{}
	for vm, n := range r.GetVms() {
		vms[vm] = int(n)
	}
	return r.GetOffset(), vms, nil
}
