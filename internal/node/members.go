package node

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/nodepeer"
	"github.com/yuccadrift/yuccadrift/internal/ownership"
)

// members asks the other members of the group.
type members struct{ clients *nodepeer.Clients }

// LastJoin asks the node at an address when the store last answered one of its joins.
func (m members) LastJoin(ctx context.Context, address string) (ownership.LastJoin, error) {
	answer, err := m.clients.Ask(ctx, address, nodepeer.Membership, nodepeer.Ask{})
	if err != nil {
		return ownership.LastJoin{}, err
	}
	if answer.LastJoin == nil {
		return ownership.LastJoin{}, errors.Errorf("node %s does not know of its joins", address)
	}
	return ownership.LastJoin{Never: answer.LastJoin.Never, Age: time.Duration(answer.LastJoin.AgeMS) * time.Millisecond, Owned: answer.LastJoin.Held}, nil
}

// Membership answers another node.
func (o *owners) Membership(context.Context, nodepeer.Ask) (nodepeer.Answer, error) {
	last := o.manager.LastJoin()
	return nodepeer.Answer{LastJoin: &nodepeer.LastJoin{Never: last.Never, AgeMS: last.Age.Milliseconds(), Held: last.Owned}}, nil
}

// suspended is for how long the machine was suspended. Where that can't be read, nothing is
// known of any suspension.
func (n *Node) suspended() time.Duration {
	total, err := n.sleep.Total()
	if err != nil {
		n.logger.Error("time of suspension can't be read", "error", err)
	}
	return total
}
