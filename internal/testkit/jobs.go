package testkit

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/workload"
	"github.com/yuccadrift/yuccadrift/platform"
	"github.com/yuccadrift/yuccadrift/platform/standin"
)

// callerTimeout is the timeout that test callers send with their calls.
const callerTimeout = 3 * time.Second

const binNode = "yuccadrift-node"

// settingsFlag is a node's flag for its settings file.
const settingsFlag = "--config"

// JobCluster is a stand-in of the users' platform, inside the test's process, with nodes that are
// processes of their own.
type JobCluster struct {
	Platform *standin.Platform
	Nodes    []*JobNode
	// Key is the workspace's key of all calls, "" for none.
	Key string

	t      testing.TB
	client *http.Client
	nextID int
}

// JobNode is a node of a JobCluster.
type JobNode struct {
	*Process
	callerURL, readyURL string
	// Callers, Readiness and Peers are the addresses that serve callers, readiness probes and other nodes.
	Callers, Readiness, Peers string
	// Metrics is the address that serves the node's metrics and profiles.
	Metrics string
	// Store and VMService are the node's links to the platform, nil in a cluster without links.
	Store, VMService *Link
}

// StartJobs starts a stand-in and the given number of nodes, and waits until the nodes are ready.
func StartJobs(t testing.TB, o standin.Options, nodes int) *JobCluster {
	t.Helper()
	return startJobs(t, o, nodes, false)
}

// StartLinkedJobs is like StartJobs, but each node reaches the platform through links of its own.
func StartLinkedJobs(t testing.TB, o standin.Options, nodes int) *JobCluster {
	t.Helper()
	return startJobs(t, o, nodes, true)
}

func startJobs(t testing.TB, o standin.Options, nodes int, linked bool) *JobCluster {
	t.Helper()
	p, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Stop)
	c := &JobCluster{Platform: p, t: t, client: &http.Client{Timeout: 4 * time.Second}}
	ip, dir := uniqueLoopbackIP(), t.TempDir()
	for i := range nodes {
		c.Nodes = append(c.Nodes, &JobNode{})
		if linked {
			c.addLinks(c.Nodes[i], ip, i)
		}
	}
	for i, first := range reserveNodePorts(t, ip, nodes) {
		c.configure(c.Nodes[i], dir, ip, i, first)
	}
	for _, n := range c.Nodes {
		n.Start()
	}
	c.AwaitReady()
	return c
}

// portsPerNode is the number of consecutive ports of a node.
const portsPerNode = 4

func nodeName(i int) string { return "node-" + strconv.Itoa(i) }

func (c *JobCluster) addLinks(n *JobNode, ip string, i int) {
	n.Store = newLink(c.t, nodeName(i)+"-store", ip, c.Platform.StoreAddress())
	n.VMService = newLink(c.t, nodeName(i)+"-vms", ip, c.Platform.VMsAddress())
}

// configure assigns ports to a node, writes its settings file and creates its process.
func (c *JobCluster) configure(n *JobNode, dir, ip string, i, firstPort int) {
	settings := standin.NodeSettings{
		StatesStoreLimits: true,

		Name: nodeName(i), Zone: "zone-" + strconv.Itoa(i%2), IP: ip,
		Caller: firstPort, Ready: firstPort + 1, FirstPeer: firstPort + 2, LastPeer: firstPort + 3,
	}
	if n.Store != nil {
		settings.Store, settings.VMs = n.Store.Address(), n.VMService.Address()
	}
	file := filepath.Join(dir, settings.Name+".toml")
	if err := os.WriteFile(file, []byte(c.Platform.Settings(settings)), 0o600); err != nil {
		c.t.Fatal(err)
	}
	n.Callers = net.JoinHostPort(ip, strconv.Itoa(settings.Caller))
	n.Readiness = net.JoinHostPort(ip, strconv.Itoa(settings.Ready))
	n.Metrics = net.JoinHostPort(ip, strconv.Itoa(settings.FirstPeer))
	n.Peers = net.JoinHostPort(ip, strconv.Itoa(settings.LastPeer))
	n.callerURL, n.readyURL = "http://"+n.Callers, "http://"+n.Readiness
	n.Process = newProcess(c.t, dir, settings.Name, binaryPath(c.t, binNode), settingsFlag, file)
}

// reserveNodePorts reserves a range of portsPerNode consecutive ports for each node and returns
// the first port of each range.
func reserveNodePorts(t testing.TB, ip string, nodes int) (firstPorts []int) {
	t.Helper()
	usedByNode := func(port int) bool {
		return slices.ContainsFunc(firstPorts, func(first int) bool { return first <= port && port < first+portsPerNode })
	}
	for range nodes {
		firstPorts = append(firstPorts, reservePortRange(t, ip, portsPerNode, usedByNode))
	}
	return firstPorts
}

// AwaitReady waits until all running nodes are ready.
func (c *JobCluster) AwaitReady() {
	c.t.Helper()
	for _, n := range c.Nodes {
		if n.Running() {
			c.Until(n.Name+" is ready", func() bool { return respondsOK(n.readyURL + platform.ReadyPath) })
		}
	}
}

// Until waits until condition returns true and fails the test after waitTimeout.
func (c *JobCluster) Until(description string, condition func() bool) {
	c.t.Helper()
	until(c.t, description, condition)
}

// NewID returns a new job ID.
func (c *JobCluster) NewID() workload.JobID {
	c.nextID++
	return workload.JobID(fmt.Sprintf("%016x", c.nextID))
}

// Body returns the body with which callers submit a job.
func Body(t testing.TB, spec workload.Spec) string {
	t.Helper()
	data, err := platform.EncodeJob(spec)
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// Chain returns a job whose steps run one after another. Step i has tasksPerStep[i] tasks, and
// each task takes taskDuration.
func Chain(taskDuration time.Duration, tasksPerStep ...int) workload.Spec {
	spec := workload.Spec{Payload: standin.Payload(taskDuration)}
	for i, n := range tasksPerStep {
		s := workload.Step{Count: n, Resources: workload.Resources{CPU: 1000, MemoryMB: 500}, EstimateMS: taskDuration.Milliseconds()}
		if i > 0 {
			s.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, s)
	}
	return spec
}

// Call sends one call to a node and returns the status and the body. Without an answer the status
// is 0 and the body is the error.
func (c *JobCluster) Call(n *JobNode, method, path, body string) (int, string) {
	ctx, cancel := context.WithTimeout(c.t.Context(), 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, n.callerURL+path, bytes.NewBufferString(body))
	if err != nil {
		c.t.Fatal(err)
	}
	req.Host = standin.Host
	platform.SetCallerTimeout(req, callerTimeout)
	if c.Key != "" {
		platform.SetCallerKey(req, c.Key)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(data)
}

// Submit submits a job to one node after another, with the same ID, until a node accepts it.
func (c *JobCluster) Submit(service string, id workload.JobID, spec workload.Spec) {
	c.t.Helper()
	body := Body(c.t, spec)
	attempts := 0
	c.Until("job "+string(id)+" is accepted", func() bool {
		attempts++
		n := c.Nodes[(c.nextID+attempts)%len(c.Nodes)]
		status, _ := c.Call(n, http.MethodPost, standin.QueuePrefix(service)+string(id), body)
		return status == http.StatusOK
	})
}

// State returns a job's state from the first running node that reports it, "" if none does.
func (c *JobCluster) State(service string, id workload.JobID) string {
	for _, n := range c.Nodes {
		if !n.Running() {
			continue
		}
		if status, body := c.Call(n, http.MethodGet, standin.QueuePrefix(service)+string(id), ""); status == http.StatusOK {
			return body
		}
	}
	return ""
}

// AwaitState waits until a job is reported in a state.
func (c *JobCluster) AwaitState(service string, id workload.JobID, state workload.JobState) {
	c.t.Helper()
	want := `{"state":"` + string(state) + `"}`
	c.Until(fmt.Sprintf("job %s is %s", id, state), func() bool { return c.State(service, id) == want })
}
