package testkit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/settings"
	"github.com/yuccadrift/yuccadrift/internal/standin"
)

// Standin is the process of the stand-in, which tests reach without a link.
type Standin struct {
	*Process
	// Client calls the platform without a link.
	Client  *platform.Client
	t       testing.TB
	address string
}

func (c *Cluster) startStandin() {
	c.t.Helper()
	address := reserveAddress(c.t, c.ip)
	file := filepath.Join(c.dir, "standin.toml")
	c.writeSettings(file, Settings{"listen": quote(address), "fleet": c.fleet()}, c.opts.Standin)
	process := newProcess(c.t, c.dir, "standin", binaryPath(c.t, binStandin), "--config", file)
	client := platform.NewClient(address, platform.ClientOptions{Timeout: waitTimeout})
	c.t.Cleanup(client.Close)
	c.Standin = &Standin{Process: process, Client: client, t: c.t, address: address}
	process.Start()
	until(c.t, "the stand-in answers", func() bool { return respondsOK("http://" + address + "/control/") })
	c.linkBackends()
}

// fleet returns the groups of VMs as a TOML array.
func (c *Cluster) fleet() string {
	var text bytes.Buffer
	for _, g := range c.opts.Fleet {
		zones, _ := json.Marshal(g.Zones)
		fmt.Fprintf(&text, "{prefix=%q, count=%d, zones=%s, rack_size=%d, cores=%d, memory_mb=%d, boot_seconds=%f},",
			g.Prefix, g.Count, zones, g.RackSize, g.Cores, g.MemoryMB, g.BootSeconds)
	}
	return "[" + text.String() + "]"
}

// linkBackends puts a Link in front of the linked backend servers and makes the platform's list
// advertise the links' addresses.
func (c *Cluster) linkBackends() {
	isLinked := func(vm string) bool {
		return c.opts.BackendLinks || slices.ContainsFunc(c.opts.Fleet, func(g Group) bool {
			return g.Linked && strings.HasPrefix(vm, g.Prefix+"-")
		})
	}
	order := standin.AdvertiseRequest{Addresses: map[string]string{}}
	for _, vm := range c.Standin.List().VMs {
		if !isLinked(vm.ID) {
			continue
		}
		link := newLink(c.t, vm.ID, c.ip, vm.Address)
		c.Backends[vm.ID] = link
		order.Addresses[vm.ID] = link.Address()
	}
	c.Standin.post("advertise", order, nil)
}

// List returns the platform's list of VMs.
func (s *Standin) List() platform.VMList {
	s.t.Helper()
	list, err := s.Client.List(s.t.Context())
	if err != nil {
		s.t.Fatal(err)
	}
	return list
}

// InjectFaults begins faults of the stand-in and returns their IDs.
func (s *Standin) InjectFaults(faults ...standin.Fault) []string {
	s.t.Helper()
	var reply standin.FaultReply
	s.post("faults", standin.FaultRequest{Order: faults}, &reply)
	return reply.IDs
}

// ClearFaults ends the faults with the given IDs, or all faults if no ID is given.
func (s *Standin) ClearFaults(ids ...string) {
	s.t.Helper()
	s.post("faults", standin.FaultRequest{Clear: ids, ClearAll: len(ids) == 0}, nil)
}

// Counters returns all counters, including those of every key.
func (s *Standin) Counters() standin.Counters {
	s.t.Helper()
	return s.counters(url.Values{standin.QueryAllKeys: {"1"}})
}

// KeyCounters returns the counters of one key.
func (s *Standin) KeyCounters(key string) standin.KeyCounters {
	s.t.Helper()
	return s.counters(url.Values{standin.QueryKey: {key}}).Backends.Keys[key]
}

func (s *Standin) counters(query url.Values) standin.Counters {
	s.t.Helper()
	var c standin.Counters
	s.call(http.MethodGet, "counters?"+query.Encode(), nil, &c)
	return c
}

func (s *Standin) post(path string, in, out any) {
	s.t.Helper()
	body, err := json.Marshal(in)
	if err != nil {
		s.t.Fatal(err)
	}
	s.call(http.MethodPost, path, bytes.NewReader(body), out)
}

func (s *Standin) call(method, path string, body io.Reader, out any) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+s.address+"/control/"+path, body)
	if err != nil {
		s.t.Fatal(err)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		s.t.Fatalf("stand-in: %s %s: %s %s %v", method, path, res.Status, text, err)
	}
	if out == nil {
		return
	}
	if err := json.Unmarshal(text, out); err != nil {
		s.t.Fatal(err)
	}
}

// Entries returns the retained entries of the records' stream in the platform's log.
func (s *Standin) Entries() []platform.Entry {
	s.t.Helper()
	return s.StreamEntries(settings.DefaultStream)
}

// StreamEntries returns the retained entries of a stream in the platform's log.
func (s *Standin) StreamEntries(name string) []platform.Entry {
	s.t.Helper()
	const limit = 1000
	var entries []platform.Entry
	from := platform.Offset(1)
	for {
		batch, err := s.Client.Read(s.t.Context(), name, from, limit, 0)
		if err != nil && batch.First > from {
			from = batch.First
			continue
		}
		if err != nil {
			s.t.Fatal(err)
		}
		entries = append(entries, batch.Entries...)
		from += platform.Offset(len(batch.Entries))
		if from >= batch.Next {
			return entries
		}
	}
}

// State returns the state that results from applying the records retained in the log.
func (s *Standin) State() *ledger.State {
	s.t.Helper()
	state := ledger.New()
	for _, e := range s.Entries() {
		state.ApplyData(uint64(e.Offset), e.Data)
	}
	return state
}

// VMCounters returns the counters of the backend servers by VM.
func (s *Standin) VMCounters() map[string]standin.VMCounters {
	s.t.Helper()
	return s.counters(nil).Backends.VMs
}
