package entrypeer

import (
	"context"

	"github.com/pkg/errors"

	pb "github.com/yuccadrift/yuccadrift/internal/entrypeer/entrypeerpb"
)

// Asker asks entry processes from a process that is none.
type Asker struct{ conns *connPool }

// NewAsker returns an Asker; Close ends its connections.
func NewAsker() *Asker { return &Asker{conns: newConnPool(nil)} }

// Close ends the connections.
func (a *Asker) Close() { a.conns.close() }

// InFlight asks the entry process at the peer address (IP:port) for its
// requests in flight by backend VM, and for the offset of the log that it acted
// on when it counted.
func (a *Asker) InFlight(ctx context.Context, address string) (offset uint64, vms map[string]int, err error) {
	ctx, cancel := context.WithTimeout(ctx, DefaultCallTimeout)
	defer cancel()
	c, err := a.conns.client(address)
	if err != nil {
		return 0, nil, err
	}
	r, err := c.InFlight(ctx, &pb.InFlightRequest{})
	if err != nil {
		return 0, nil, errors.Wrapf(err, "requests in flight at %s", address)
	}
	vms = map[string]int{}
	for vm, n := range r.GetVms() {
		vms[vm] = int(n)
	}
	return r.GetOffset(), vms, nil
}
