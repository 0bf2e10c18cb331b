package operatorcmd

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/operator"
	"github.com/yuccadrift/yuccadrift/internal/record"
	"github.com/yuccadrift/yuccadrift/internal/wait"
)

// nodeInForce is the time from the append until a node had a document in force,
// or the reason why the node is not known to have it.
type nodeInForce struct {
	Address string        `json:"address"`
	Node    string        `json:"node,omitempty"`
	Role    operator.Role `json:"role,omitempty"`
	After   time.Duration `json:"after_ns"`
	Problem string        `json:"problem,omitempty"`
}

// awaitInForce polls all nodes concurrently until each acts on the revision or
// the session's timeout is over. The error names the nodes that do not.
func (s *session) awaitInForce(ctx context.Context, service string, rev record.Revision, sentAt time.Time) ([]nodeInForce, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	addrs := s.nodeAddresses()
	if len(addrs) == 0 {
		return nil, exitErrorf(ExitUsage, "no nodes to query: --%s is not set and no entry member is on the log", flagNodes)
	}
	results := make([]nodeInForce, len(addrs))
	var wg sync.WaitGroup
	for i, addr := range addrs {
		wg.Go(func() { results[i] = awaitNodeInForce(ctx, addr, service, rev, sentAt) })
	}
	wg.Wait()
	var problems []string
	for _, r := range results {
		if r.Problem != "" {
			problems = append(problems, r.Address+": "+r.Problem)
		}
	}
	if len(problems) > 0 {
		return results, exitErrorf(ExitUnreachable, "not confirmed in force on every node: %s", strings.Join(problems, "; "))
	}
	return results, nil
}

// awaitNodeInForce polls one node until it acts on the revision or ctx ends.
func awaitNodeInForce(ctx context.Context, addr, service string, rev record.Revision, sentAt time.Time) nodeInForce {
	r := nodeInForce{Address: addr}
	client, err := operator.NewClient(addr)
	if err != nil {
		r.Problem = err.Error()
		return r
	}
	defer client.Close()
	for {
		st, err := client.StatusAfter(ctx, uint64(rev), time.Second)
		if err == nil && st.ActingOffset >= uint64(rev) && st.Revision(service) >= rev {
			r.Node, r.Role, r.After = st.Node, st.Role, time.Since(sentAt)
			return r
		}
		if ctx.Err() != nil {
			r.Problem = "still behind"
			if err != nil {
				r.Problem = err.Error()
			}
			return r
		}
		if err != nil {
			wait.Sleep(ctx, nodeRetryInterval)
		}
	}
}

func inForceTable(results []publishResult) *table {
	t := &table{title: "in force", header: []string{"SERVICE", "NODE", "ROLE", "ADDRESS", "AFTER"}}
	for _, r := range results {
		for _, n := range r.InForce {
			after := formatDuration(n.After)
			if n.Problem != "" {
				after = n.Problem
			}
			t.add(r.Service, orDash(n.Node), orDash(string(n.Role)), n.Address, after)
		}
	}
	return t
}
