package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
)

// memberClient asks the other members of the group.
type memberClient struct{ clients *nodepeer.Clients }

// LastJoin asks the node at an address when the store last answered one of its joins.
func (m memberClient) LastJoin(ctx context.Context, address string) (ownership.LastJoin, error) {
	answer, err := m.clients.Call(ctx, address, nodepeer.MethodMembership, nodepeer.Request{})
	if err != nil {
		return ownership.LastJoin{}, err
	}
	if answer.LastJoin == nil {
		return ownership.LastJoin{}, errors.Errorf("node %s does not know of its joins", address)
	}
	return ownership.LastJoin{Never: answer.LastJoin.Never, Age: time.Duration(answer.LastJoin.AgeMS) * time.Millisecond, Owned: answer.LastJoin.Owned}, nil
}

// Membership answers another node.
func (o *ownerDirectory) Membership(context.Context, nodepeer.Request) (nodepeer.Response, error) {
	last := o.manager.LastJoin()
	return nodepeer.Response{LastJoin: &nodepeer.LastJoin{Never: last.Never, AgeMS: last.Age.Milliseconds(), Owned: last.Owned}}, nil
}

// suspendedFor is for how long the machine was suspended. Where that can't be read, nothing is
// known of any suspension.
func (n *Node) suspendedFor() time.Duration {
	total, err := n.suspendMeter.Total()
	if err != nil {
		n.logger.Error("time of suspension can't be read", "error", err)
	}
	return total
}
