package testkit

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/yuccadrift/yuccadrift/internal/operator"
)

// Settings maps dotted keys of a settings file to TOML values, for example
// {"claims.lease": `"2s"`}.
type Settings map[string]string

// Group is a set of identical VMs with backend servers. See standin.Group for the defaults.
type Group struct {
	Prefix      string
	Count       int
	Zones       []string
	RackSize    int
	Cores       int
	MemoryMB    int
	BootSeconds float64
	// Linked puts a Link in front of each backend server. Connections to a backend server that is
	// down are then closed instead of refused.
	Linked bool
}

// Options describe a cluster.
type Options struct {
	// Nodes holds the availability zone of each entry VM.
	Nodes []string
	Fleet []Group
	// Entry, Steward and Standin override settings of the processes.
	Entry   Settings
	Steward Settings
	Standin Settings
	// BackendLinks makes every group Linked.
	BackendLinks bool
	// BeforeNodes is called when the stand-in is up, before any node starts.
	BeforeNodes func(*Standin)
	// Direct leaves out all links and peer proxies. It is for measurements, because these use more
	// processor time than the daemons. Faults of links can't be injected then.
	Direct bool
	// NoStewards doesn't start the stewards. Node.Steward can be started later.
	NoStewards bool
}

// Cluster is a stand-in of the platform with entry VMs.
type Cluster struct {
	Standin *Standin
	Nodes   []*Node
	// Backends holds the links in front of backend servers by VM.
	Backends map[string]*Link

	t    testing.TB
	dir  string
	ip   string
	opts Options
}

// Node is one entry VM with its two daemons.
type Node struct {
	Name string
	Zone string
	// Entry and Steward are the VM's daemons.
	Entry   *Process
	Steward *Process
	// EntryPlatform and StewardPlatform are the daemons' links to the platform.
	EntryPlatform   *Link
	StewardPlatform *Link

	cluster          *Cluster
	entryAddresses   addresses
	stewardAddresses addresses
	entryPeerProxy   *peerProxy
	stewardPeerProxy *peerProxy
	callerAddress    string
}

// addresses are the addresses that a daemon listens on.
type addresses struct{ peers, admin string }

// clusterCount counts the clusters of this process.
var clusterCount atomic.Int32

// uniqueLoopbackIP returns a loopback IP from the process ID and clusterCount, so that clusters of
// this and other processes don't share one.
func uniqueLoopbackIP() string {
	pid := os.Getpid()
	const first, span = 64, 128
	return fmt.Sprintf("127.%d.%d.%d", first+int(clusterCount.Add(1))%span, pid>>8&0xff, pid&0xff)
}

// Start starts the stand-in and the entry VMs and waits until all processes are healthy. Entries
// become ready only when a document is in force: see AwaitReady.
func Start(t testing.TB, opts Options) *Cluster {
	t.Helper()
	c := &Cluster{t: t, dir: t.TempDir(), ip: uniqueLoopbackIP(), opts: opts, Backends: map[string]*Link{}}
	c.startStandin()
	if opts.BeforeNodes != nil {
		opts.BeforeNodes(c.Standin)
	}
	for i, zone := range opts.Nodes {
		c.Nodes = append(c.Nodes, c.newNode(i, zone))
	}
	for _, n := range c.Nodes {
		n.entryPeerProxy.serve()
		n.stewardPeerProxy.serve()
		n.writeSettings()
		n.Entry.Start()
		if !opts.NoStewards {
			n.Steward.Start()
		}
	}
	for _, n := range c.Nodes {
		until(t, n.Name+" answers", func() bool {
			return n.isHealthy(n.entryAddresses) && (opts.NoStewards || n.isHealthy(n.stewardAddresses))
		})
	}
	return c
}

func (c *Cluster) newNode(i int, zone string) *Node {
	n := &Node{Name: fmt.Sprintf("entry-%d", i+1), Zone: zone, cluster: c}
	n.entryAddresses = addresses{peers: reserveAddress(c.t, c.ip), admin: reserveAddress(c.t, c.ip)}
	n.stewardAddresses = addresses{peers: reserveAddress(c.t, c.ip), admin: reserveAddress(c.t, c.ip)}
	n.callerAddress = reserveAddress(c.t, c.ip)
	n.EntryPlatform = newLink(c.t, n.Name+"-entry-platform", c.ip, c.Standin.address)
	n.StewardPlatform = newLink(c.t, n.Name+"-steward-platform", c.ip, c.Standin.address)
	n.Entry = newProcess(c.t, c.dir, n.Name, binaryPath(c.t, binEntry), "--config", n.settingsFile("entry"))
	n.Steward = newProcess(c.t, c.dir, n.Name+"-steward", binaryPath(c.t, binSteward), "--config", n.settingsFile("steward"))
	n.entryPeerProxy = newPeerProxy(c, n.Entry, n.entryAddresses.peers)
	n.stewardPeerProxy = newPeerProxy(c, n.Steward, n.stewardAddresses.peers)
	return n
}

func (n *Node) settingsFile(daemon string) string {
	return filepath.Join(n.cluster.dir, n.Name+"-"+daemon+".toml")
}

// writeSettings writes the settings files of both daemons.
func (n *Node) writeSettings() {
	entrySeeds, stewardSeeds := n.peerSeeds()
	common := Settings{
		"node.id":   quote(n.Name),
		"node.zone": quote(n.Zone),
		"log.level": quote("debug"),
	}
	entry := Settings{
		"platform.address": quote(n.EntryPlatform.Address()),
		"peers.listen":     quote(n.entryAddresses.peers),
		"peers.advertise":  quote(n.entryPeerProxy.address()),
		"peers.seeds":      entrySeeds,
		"admin.listen":     quote(n.entryAddresses.admin),
		"callers.listen":   quote(n.callerAddress),
		"drain.notice":     quote("300ms"),
	}
	steward := Settings{
		"platform.address":       quote(n.StewardPlatform.Address()),
		"peers.listen":           quote(n.stewardAddresses.peers),
		"peers.advertise":        quote(n.stewardPeerProxy.address()),
		"peers.seeds":            stewardSeeds,
		"admin.listen":           quote(n.stewardAddresses.admin),
		"planning.interval":      quote("100ms"),
		"planning.list_interval": quote("200ms"),
	}
	if n.cluster.opts.Direct {
		for _, daemon := range []Settings{entry, steward} {
			daemon["platform.address"] = quote(n.cluster.Standin.address)
			daemon["peers.advertise"] = daemon["peers.listen"]
		}
	}
	n.cluster.writeSettings(n.settingsFile("entry"), common, entry, n.cluster.opts.Entry)
	n.cluster.writeSettings(n.settingsFile("steward"), common, steward, n.cluster.opts.Steward)
}

// peerSeeds returns the peer addresses of the other nodes' daemons as TOML arrays.
func (n *Node) peerSeeds() (entries, stewards string) {
	var e, s []string
	for _, other := range n.cluster.Nodes {
		switch {
		case other == n:
		case n.cluster.opts.Direct:
			e = append(e, quote(other.entryAddresses.peers))
			s = append(s, quote(other.stewardAddresses.peers))
		default:
			e = append(e, quote(other.entryPeerProxy.address()))
			s = append(s, quote(other.stewardPeerProxy.address()))
		}
	}
	return "[" + strings.Join(e, ",") + "]", "[" + strings.Join(s, ",") + "]"
}

func quote(text string) string { return fmt.Sprintf("%q", text) }

// writeSettings writes a settings file. Later layers override earlier ones.
func (c *Cluster) writeSettings(file string, layers ...Settings) {
	merged := Settings{}
	for _, layer := range layers {
		maps.Copy(merged, layer)
	}
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(merged)) {
		fmt.Fprintf(&text, "%s = %s\n", key, merged[key])
	}
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// Kill kills both daemons, which stands for the loss of the VM.
func (n *Node) Kill() {
	n.Entry.Kill()
	n.Steward.Kill()
}

// Start starts both daemons again.
func (n *Node) Start() {
	n.Entry.Start()
	n.Steward.Start()
}

// Pause stops both daemons with SIGSTOP.
func (n *Node) Pause() {
	n.Entry.Pause()
	n.Steward.Pause()
}

// Resume continues both daemons after Pause.
func (n *Node) Resume() {
	n.Entry.Resume()
	n.Steward.Resume()
}

// CutPlatform cuts the links of both daemons to the platform.
func (n *Node) CutPlatform() {
	n.EntryPlatform.Cut()
	n.StewardPlatform.Cut()
}

// HealPlatform ends the faults of the links of both daemons to the platform.
func (n *Node) HealPlatform() {
	n.EntryPlatform.Heal()
	n.StewardPlatform.Heal()
}

// EntryPeerAddress returns the entry's own peer address, without a link.
func (n *Node) EntryPeerAddress() string { return n.entryAddresses.peers }

// StewardPeerAddress returns the steward's own peer address, without a link.
func (n *Node) StewardPeerAddress() string { return n.stewardAddresses.peers }

// CallerAddress returns the address at which the entry serves callers.
func (n *Node) CallerAddress() string { return n.callerAddress }

// AwaitReady waits until all entries serve callers.
func (c *Cluster) AwaitReady() {
	c.t.Helper()
	for _, n := range c.Nodes {
		n.AwaitReady()
	}
}

// AwaitReady waits until the entry serves callers.
func (n *Node) AwaitReady() {
	n.cluster.t.Helper()
	until(n.cluster.t, n.Name+" is ready", n.Ready)
}

// Ready reports whether the entry is ready to serve callers, as its /readyz answers.
func (n *Node) Ready() bool { return respondsOK("http://" + n.entryAddresses.admin + "/readyz") }

func (n *Node) isHealthy(a addresses) bool { return respondsOK("http://" + a.admin + "/healthz") }

// respondsOK reports whether a GET of the URL is answered with 200.
func respondsOK(url string) bool {
	res, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Until waits until condition returns true and fails the test after waitTimeout.
func (c *Cluster) Until(description string, condition func() bool) {
	c.t.Helper()
	until(c.t, description, condition)
}

// Status returns the entry's status, which is queried without a link.
func (n *Node) Status(t testing.TB) operator.Status {
	t.Helper()
	client, err := operator.NewClient(n.entryAddresses.peers)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return status
}
