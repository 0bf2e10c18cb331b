package operatorcmd

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// statusResult is the JSON output of status.
type statusResult struct {
	Offset   uint64          `json:"offset"` // last offset applied by this command
	Nodes    []nodeStatus    `json:"nodes"`
	Services []serviceStatus `json:"services"`
	Members  []memberStatus  `json:"members"`
	Fleet    fleetStatus     `json:"fleet"`
}

// fleetStatus counts the VMs on the log.
type fleetStatus struct {
	VMs   int `json:"vms"`
	Free  int `json:"free"`  // in no pool
	Down  int `json:"down"`  // found unhealthy
	Drain int `json:"drain"` // draining
}

// serviceStatus is one service in the output of status.
type serviceStatus struct {
	Service     string          `json:"service"`
	Revision    record.Revision `json:"revision"`
	Author      string          `json:"author"`
	PublishedAt time.Time       `json:"published_at"`
	// Behind lists the nodes with another revision in force, as NODE/ROLE.
	Behind  []string `json:"behind"`
	Size    int      `json:"size"`
	Serving int      `json:"serving"`
	// Spent and Allowed are in VM-seconds within the budget's window.
	Spent   float64 `json:"spent_vm_seconds"`
	Allowed float64 `json:"allowed_vm_seconds"`
}

// memberStatus is one entry member in the output of status.
type memberStatus struct {
	Name    string    `json:"name"`
	Node    string    `json:"node"`
	Zone    string    `json:"zone"`
	Address string    `json:"address"`
	Joined  time.Time `json:"joined"`
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show every node: offset, lag, digest, documents in force, members, budgets",
		Description: `Nodes at the same offset must show the same digest. Examples:
   yuccadrift status
   yuccadrift --nodes 10.0.0.1:7400,10.0.0.1:7500 status --output json`,
		Action: func(ctx context.Context, cmd *cli.Command) error {
			o, err := loadOptions(cmd)
			if err != nil {
				return err
			}
			return showStatus(ctx, cmd, o)
		},
	}
}

// showStatus prints as much of the status as it can read: if the platform is
// unreachable, it still queries the configured nodes. The error reports what
// could not be read.
func showStatus(ctx context.Context, cmd *cli.Command, o options) error {
	s, err := openSessionWith(ctx, o)
	if err != nil && (exitCode(err) != ExitUnreachable || len(o.nodes) == 0) {
		return err
	}
	var result statusResult
	addrs := o.nodes
	if s != nil {
		defer s.Close()
		addrs = s.nodeAddresses()
		s.follower.View(func(state *ledger.State) { result = newStatusResult(state, time.Now()) })
	}
	result.Nodes = queryNodes(ctx, addrs, o.timeout)
	result.setBehind()
	tables := []*table{result.nodeTable(), result.serviceTable(), result.memberTable(), result.fleetTable()}
	if showErr := printResult(cmd.Root().Writer, o.format, result, tables...); showErr != nil {
		return showErr
	}
	return worseError(err, unreachableError(result.Nodes))
}

func unreachableError(nodes []nodeStatus) error {
	var unanswered []string
	for _, n := range nodes {
		if n.Status == nil {
			unanswered = append(unanswered, n.Address)
		}
	}
	if len(unanswered) == 0 {
		return nil
	}
	return exitErrorf(ExitUnreachable, "no answer from %s", strings.Join(unanswered, ", "))
}

func newStatusResult(state *ledger.State, now time.Time) statusResult {
	r := statusResult{Offset: state.Offset}
	for _, name := range slices.Sorted(maps.Keys(state.Services)) {
		svc := state.Services[name]
		u := state.Unavailability(name)
		r.Services = append(r.Services, serviceStatus{
			Service:     name,
			Revision:    svc.Revision,
			Author:      svc.Author,
			PublishedAt: svc.PublishedAt,
			Size:        u.Size,
			Serving:     u.Serving,
			Spent:       svc.Account.Spent(now.Add(-svc.Doc.Budget.Window), now),
			Allowed:     svc.Doc.AllowedSeconds(),
		})
	}
	for _, name := range state.MemberNames() {
		m := state.Members[name]
		r.Members = append(r.Members, memberStatus{Name: name, Node: m.Node, Zone: m.Zone, Address: m.Address, Joined: m.Joined})
	}
	for _, vm := range state.VMs {
		r.Fleet.count(vm)
	}
	return r
}

func (f *fleetStatus) count(vm *ledger.VM) {
	f.VMs++
	if vm.Pool == "" {
		f.Free++
	}
	if vm.Down {
		f.Down++
	}
	if vm.Drain != nil {
		f.Drain++
	}
}

// setBehind sets the Behind field of each service.
func (r *statusResult) setBehind() {
	for i := range r.Services {
		svc := &r.Services[i]
		for _, n := range r.Nodes {
			if n.Status != nil && n.Status.Revision(svc.Service) != svc.Revision {
				svc.Behind = append(svc.Behind, n.Status.Node+"/"+string(n.Status.Role))
			}
		}
	}
}

func (r statusResult) nodeTable() *table {
	t := &table{title: "nodes", header: []string{"NODE", "ROLE", "ZONE", "ADDRESS", "OFFSET", "ACTING", "LAG", "DIGEST", "READY"}}
	for _, n := range r.Nodes {
		if n.Status == nil {
			t.add(dash, dash, dash, n.Address, dash, dash, dash, dash, n.Problem)
			continue
		}
		st := n.Status
		lag := "never read the log"
		if d, known := st.Lag(); known {
			lag = formatDuration(d)
		}
		ready := "yes"
		if len(st.Unready) > 0 {
			ready = "no: " + strings.Join(st.Unready, "; ")
		}
		t.add(st.Node, string(st.Role), st.Zone, n.Address, fmt.Sprint(st.Offset), fmt.Sprint(st.ActingOffset),
			lag, fmt.Sprintf("%016x", st.Digest), ready)
	}
	return t
}

func (r statusResult) serviceTable() *table {
	t := &table{title: "services", header: []string{"SERVICE", "REVISION", "AUTHOR", "SERVING", "BUDGET SPENT", "NODES ELSEWHERE"}}
	for _, svc := range r.Services {
		budget := fmt.Sprintf("%.0f of %.0f VM-s", svc.Spent, svc.Allowed)
		t.add(svc.Service, fmt.Sprint(svc.Revision), svc.Author, fmt.Sprintf("%d of %d", svc.Serving, svc.Size),
			budget, orDash(strings.Join(svc.Behind, ", ")))
	}
	return t
}

func (r statusResult) memberTable() *table {
	t := &table{title: "entry members", header: []string{"MEMBER", "NODE", "ZONE", "ADDRESS", "JOINED"}}
	for _, m := range r.Members {
		t.add(m.Name, m.Node, m.Zone, m.Address, formatTime(m.Joined))
	}
	return t
}

func (r statusResult) fleetTable() *table {
	t := &table{title: "fleet", header: []string{"VMS", "FREE", "DOWN", "DRAINING"}}
	if r.Fleet.VMs > 0 {
		t.add(fmt.Sprint(r.Fleet.VMs), fmt.Sprint(r.Fleet.Free), fmt.Sprint(r.Fleet.Down), fmt.Sprint(r.Fleet.Drain))
	}
	return t
}
