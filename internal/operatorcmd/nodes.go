package operatorcmd

import (
	"context"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/operator"
)

// nodeRetryInterval is the pause before a node that did not answer is queried
// again.
const nodeRetryInterval = 100 * time.Millisecond

// nodeStatus is one node's status, or the reason why it could not be read.
type nodeStatus struct {
	Address string           `json:"address"`
	Status  *operator.Status `json:"status,omitempty"`
	Problem string           `json:"problem,omitempty"`
}

// nodeAddresses returns the peer addresses of the nodes to query: the configured
// ones or, if there are none, those of the entry members on the log.
func (s *session) nodeAddresses() []string {
	if len(s.nodes) > 0 {
		return s.nodes
	}
	var addrs []string
	s.follower.View(func(state *ledger.State) {
		for _, name := range state.MemberNames() {
			addrs = append(addrs, state.Members[name].Address)
		}
	})
	return addrs
}

// queryNodes reads the status of all nodes concurrently.
func queryNodes(ctx context.Context, addrs []string, timeout time.Duration) []nodeStatus {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	results := make([]nodeStatus, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { results[i] = queryNode(ctx, addr) })
	}
	wg.Wait()
	return results
}

func queryNode(ctx context.Context, addr string) nodeStatus {
	r := nodeStatus{Address: addr}
	client, err := operator.NewClient(addr)
	if err != nil {
		r.Problem = err.Error()
		return r
	}
	defer client.Close()
	st, err := client.Status(ctx)
	if err != nil {
		r.Problem = err.Error()
		return r
	}
	r.Status = &st
	return r
}
