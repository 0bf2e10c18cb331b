package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
)

// memberClient queries the other members of the membership group.
type memberClient struct{ clients *nodepeer.Clients }

// JoinStatus asks the node at an address for its last join that the store answered.
func (m memberClient) JoinStatus(ctx context.Context, address string) (ownership.JoinStatus, error) {
	response, err := m.clients.Call(ctx, address, nodepeer.MethodMembership, nodepeer.Request{})
	if err != nil {
		return ownership.JoinStatus{}, err
	}
	if response.LastJoin == nil {
		return ownership.JoinStatus{}, errors.Errorf("response of node %s has no last join", address)
	}
	return ownership.JoinStatus{Never: response.LastJoin.Never, Age: time.Duration(response.LastJoin.AgeMS) * time.Millisecond, Owned: response.LastJoin.Owned, IsSlowed: response.LastJoin.Slowed}, nil
}

// ServeMembership serves MethodMembership: it returns this node's last join.
func (o *ownerDirectory) ServeMembership(context.Context, nodepeer.Request) (nodepeer.Response, error) {
	last := o.manager.JoinStatus()
	return nodepeer.Response{LastJoin: &nodepeer.LastJoin{Never: last.Never, AgeMS: last.Age.Milliseconds(), Owned: last.Owned, Slowed: last.IsSlowed}}, nil
}

// suspendedFor returns how long the machine was suspended since the process started, 0 if
// that can't be read.
func (n *Node) suspendedFor() time.Duration {
	total, err := n.suspendMeter.Total()
	if err != nil {
		n.logger.Error("suspended time can't be read", "error", err)
	}
	return total
}
