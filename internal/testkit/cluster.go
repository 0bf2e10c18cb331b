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

// Settings are lines of a settings file: dotted key to TOML value, as
// {"claims.lease": `"2s"`}.
type Settings map[string]string

// Group is a set of alike VMs with backend servers; see standin.Group for what
// 0 means.
type Group struct {
	Prefix      string
	Count       int
	Zones       []string
	RackSize    int
	Cores       int
	MemoryMB    int
	BootSeconds float64
	// Linked puts a Link before each backend server. One that is down then
	// breaks connections rather than refusing them.
	Linked bool
}

// Options describe a cluster.
type Options struct {
	// Nodes holds the availability zone of each entry VM.
	Nodes []string
	Fleet []Group
	// Entry, Steward and Standin override settings of the daemons.
	Entry   Settings
	Steward Settings
	Standin Settings
	// BackendLinks has every group Linked.
	BackendLinks bool
	// Before is called once the stand-in answers and before any node starts.
	Before func(*Standin)
	// Direct leaves the links and gates out of all ways, for measurements: they
	// cost more than the daemons, and no fault can be set.
	Direct bool
	// NoStewards leaves the stewards out; Node.Steward can be started later.
	NoStewards bool
}

// Cluster is a stand-in with entry VMs.
type Cluster struct {
	Standin *Standin
	Nodes   []*Node
	// Backends holds the links before backend servers, by VM.
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
	// EntryPlatform and StewardPlatform are the daemons' ways to the platform.
	EntryPlatform   *Link
	StewardPlatform *Link

	c           *Cluster
	entry       addresses
	steward     addresses
	entryGate   *gate
	stewardGate *gate
	callers     string
}

// addresses are what one daemon listens on.
type addresses struct{ peers, admin string }

// clusters counts the clusters of this process.
var clusters atomic.Int32

// loopback returns a loopback IP that no other live cluster has.
func loopback() string {
	pid := os.Getpid()
	const first, span = 64, 128
	return fmt.Sprintf("127.%d.%d.%d", first+int(clusters.Add(1))%span, pid>>8&0xff, pid&0xff)
}

// Start starts the stand-in and the entry VMs and waits until all processes
// answer. Entries are ready only once a document is in force: see AwaitReady.
func Start(t testing.TB, opts Options) *Cluster {
	t.Helper()
	c := &Cluster{t: t, dir: t.TempDir(), ip: loopback(), opts: opts, Backends: map[string]*Link{}}
	c.startStandin()
	if opts.Before != nil {
		opts.Before(c.Standin)
	}
	for i, zone := range opts.Nodes {
		c.Nodes = append(c.Nodes, c.newNode(i, zone))
	}
	for _, n := range c.Nodes {
		n.entryGate.open()
		n.stewardGate.open()
		n.writeSettings()
		n.Entry.Start()
		if !opts.NoStewards {
			n.Steward.Start()
		}
	}
	for _, n := range c.Nodes {
		until(t, n.Name+" answers", func() bool { return n.alive(n.entry) && (opts.NoStewards || n.alive(n.steward)) })
	}
	return c
}

func (c *Cluster) newNode(i int, zone string) *Node {
	n := &Node{Name: fmt.Sprintf("entry-%d", i+1), Zone: zone, c: c}
	n.entry = addresses{peers: reserveAddress(c.t, c.ip), admin: reserveAddress(c.t, c.ip)}
	n.steward = addresses{peers: reserveAddress(c.t, c.ip), admin: reserveAddress(c.t, c.ip)}
	n.callers = reserveAddress(c.t, c.ip)
	n.EntryPlatform = newLink(c.t, n.Name+"-entry-platform", c.ip, c.Standin.address)
	n.StewardPlatform = newLink(c.t, n.Name+"-steward-platform", c.ip, c.Standin.address)
	n.Entry = newProcess(c.t, c.dir, n.Name, binary(c.t, binEntry), "--config", n.file("entry"))
	n.Steward = newProcess(c.t, c.dir, n.Name+"-steward", binary(c.t, binSteward), "--config", n.file("steward"))
	n.entryGate = newGate(c, n.Entry, n.entry.peers)
	n.stewardGate = newGate(c, n.Steward, n.steward.peers)
	return n
}

func (n *Node) file(daemon string) string { return filepath.Join(n.c.dir, n.Name+"-"+daemon+".toml") }

// writeSettings writes both daemons' files.
func (n *Node) writeSettings() {
	entrySeeds, stewardSeeds := n.seeds()
	common := Settings{
		"node.id":   quote(n.Name),
		"node.zone": quote(n.Zone),
		"log.level": quote("debug"),
	}
	entry := Settings{
		"platform.address": quote(n.EntryPlatform.Address()),
		"peers.listen":     quote(n.entry.peers),
		"peers.advertise":  quote(n.entryGate.address()),
		"peers.seeds":      entrySeeds,
		"admin.listen":     quote(n.entry.admin),
		"callers.listen":   quote(n.callers),
		"drain.notice":     quote("300ms"),
	}
	steward := Settings{
		"platform.address":       quote(n.StewardPlatform.Address()),
		"peers.listen":           quote(n.steward.peers),
		"peers.advertise":        quote(n.stewardGate.address()),
		"peers.seeds":            stewardSeeds,
		"admin.listen":           quote(n.steward.admin),
		"planning.interval":      quote("100ms"),
		"planning.list_interval": quote("200ms"),
	}
	if n.c.opts.Direct {
		for _, daemon := range []Settings{entry, steward} {
			daemon["platform.address"] = quote(n.c.Standin.address)
			daemon["peers.advertise"] = daemon["peers.listen"]
		}
	}
	n.c.write(n.file("entry"), common, entry, n.c.opts.Entry)
	n.c.write(n.file("steward"), common, steward, n.c.opts.Steward)
}

// seeds returns the other nodes' peer addresses as TOML arrays.
func (n *Node) seeds() (entries, stewards string) {
	var e, s []string
	for _, other := range n.c.Nodes {
		switch {
		case other == n:
		case n.c.opts.Direct:
			e = append(e, quote(other.entry.peers))
			s = append(s, quote(other.steward.peers))
		default:
			e = append(e, quote(other.entryGate.address()))
			s = append(s, quote(other.stewardGate.address()))
		}
	}
	return "[" + strings.Join(e, ",") + "]", "[" + strings.Join(s, ",") + "]"
}

func quote(text string) string { return fmt.Sprintf("%q", text) }

// write writes a settings file; later settings override earlier ones.
func (c *Cluster) write(file string, layers ...Settings) {
	all := Settings{}
	for _, layer := range layers {
		maps.Copy(all, layer)
	}
	var text strings.Builder
	for _, key := range slices.Sorted(maps.Keys(all)) {
		fmt.Fprintf(&text, "%s = %s\n", key, all[key])
	}
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		c.t.Fatal(err)
	}
}

// Kill ends both daemons at once, as the loss of the VM does.
func (n *Node) Kill() {
	n.Entry.Kill()
	n.Steward.Kill()
}

// Start starts both daemons again.
func (n *Node) Start() {
	n.Entry.Start()
	n.Steward.Start()
}

// Pause stops both daemons without their knowing.
func (n *Node) Pause() {
	n.Entry.Pause()
	n.Steward.Pause()
}

// Resume lets both daemons go on.
func (n *Node) Resume() {
	n.Entry.Resume()
	n.Steward.Resume()
}

// CutPlatform takes the VM's way to the platform, HealPlatform gives it back.
func (n *Node) CutPlatform() {
	n.EntryPlatform.Cut()
	n.StewardPlatform.Cut()
}

// HealPlatform ends the faults on the VM's way to the platform.
func (n *Node) HealPlatform() {
	n.EntryPlatform.Heal()
	n.StewardPlatform.Heal()
}

// EntryPeers returns the entry's peer address, past all links.
func (n *Node) EntryPeers() string { return n.entry.peers }

// StewardPeers returns the steward's peer address, past all links.
func (n *Node) StewardPeers() string { return n.steward.peers }

// Callers returns the address at which the entry takes callers' requests.
func (n *Node) Callers() string { return n.callers }

// AwaitReady waits until the entries take callers' requests.
func (c *Cluster) AwaitReady() {
	c.t.Helper()
	for _, n := range c.Nodes {
		n.AwaitReady()
	}
}

// AwaitReady waits until the entry takes callers' requests.
func (n *Node) AwaitReady() {
	n.c.t.Helper()
	until(n.c.t, n.Name+" is ready", n.Ready)
}

// Ready reports whether the entry says that it takes callers' requests.
func (n *Node) Ready() bool { return answers("http://" + n.entry.admin + "/readyz") }

func (n *Node) alive(a addresses) bool { return answers("http://" + a.admin + "/healthz") }

func answers(url string) bool {
	res, err := http.Get(url)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// Until waits for a condition that the processes bring about.
func (c *Cluster) Until(what string, holds func() bool) {
	c.t.Helper()
	until(c.t, what, holds)
}

// Status returns the entry's word about itself, asked for past all links.
func (n *Node) Status(t testing.TB) operator.Status {
	t.Helper()
	client, err := operator.NewClient(n.entry.peers)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), waitLimit)
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		t.Fatal(err)
	}
	return status
}
