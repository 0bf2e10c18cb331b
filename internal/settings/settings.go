// Package settings reads the TOML settings of the two daemons. A process learns
// its addresses and availability zone from here and nowhere else.
package settings

import (
	"os"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

// Common is what both daemons need.
type Common struct {
	Node     Node     `toml:"node"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Admin    Admin    `toml:"admin"`
	Log      Log      `toml:"log"`
}

// Node says who this process is.
type Node struct {
	ID   string `toml:"id"`   // unique per VM
	Zone string `toml:"zone"` // availability zone
}

// Platform is how the platform is reached.
type Platform struct {
	Address        tomlfile.Address `toml:"address"`
	Stream         string           `toml:"stream"`          // stream of records
	SnapshotStream string           `toml:"snapshot_stream"` // stream of snapshots
	// RequestTimeout bounds one request. An append that runs into it has an
	// unknown outcome.
	RequestTimeout tomlfile.Duration `toml:"request_timeout"`
	// ReadWait is how long a read at the end of a stream waits for an entry. The
	// state may be twice as old on a quiet log.
	ReadWait tomlfile.Duration `toml:"read_wait"`
}

// Peers is the gRPC endpoint for the system's own processes.
type Peers struct {
	// Listen is dialled by other nodes, so it names one address of this VM.
	Listen tomlfile.Address `toml:"listen"`
	// Advertise is what other nodes dial instead, where an address translation
	// or a proxy stands in between; Listen when unset.
	Advertise tomlfile.Address `toml:"advertise"`
	// Seeds are the peers of the same kind on other VMs. They are asked for their
	// state while the log cannot be read, and stewards share their work with them.
	Seeds []tomlfile.Address `toml:"seeds"`
}

// SeedAddresses returns the seeds as IP:port.
func (p Peers) SeedAddresses() []string {
	addresses := make([]string, 0, len(p.Seeds))
	for _, seed := range p.Seeds {
		addresses = append(addresses, seed.String())
	}
	return addresses
}

// Admin is the HTTP endpoint for metrics, health and profiles.
type Admin struct {
	Listen tomlfile.Address `toml:"listen"`
	// Profiles serves net/http/pprof. Off by default: a profile shows request
	// data and costs processor time.
	Profiles bool `toml:"profiles"`
}

// LogFormat is how log lines are written.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log sets what is logged and how.
type Log struct {
	Level  string    `toml:"level"` // trace, debug, info, warn or error
	Format LogFormat `toml:"format"`
}

// Entry is the settings of yuccadrift-entry.
type Entry struct {
	Common
	Callers  Callers  `toml:"callers"`
	Drain    Drain    `toml:"drain"`
	Backends Backends `toml:"backends"`
	Claims   Claims   `toml:"claims"`
}

// Callers bounds what callers may ask of this process.
type Callers struct {
	Listen         tomlfile.Address `toml:"listen"`
	MaxConnections int              `toml:"max_connections"`
	MaxHeaderBytes int              `toml:"max_header_bytes"`
	// MaxBodyBytes caps every route's own limit on request bodies.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeldReplyBytes is the largest reply that is held back until complete.
	MaxHeldReplyBytes int64             `toml:"max_held_reply_bytes"`
	HeaderTimeout     tomlfile.Duration `toml:"header_timeout"`
	IdleTimeout       tomlfile.Duration `toml:"idle_timeout"`
	// StallTimeout ends a connection whose caller takes or sends no byte.
	StallTimeout tomlfile.Duration `toml:"stall_timeout"`
}

// Drain sets how this process stops.
type Drain struct {
	// Notice is how long it goes on accepting after it turned unready: the
	// balancer's time to see that.
	Notice tomlfile.Duration `toml:"notice"`
	// Limit bounds the wait for requests in flight after Notice.
	Limit tomlfile.Duration `toml:"limit"`
}

// Backends sets how backend servers are watched and connected to.
type Backends struct {
	CheckInterval  tomlfile.Duration `toml:"check_interval"`
	CheckTimeout   tomlfile.Duration `toml:"check_timeout"`
	ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
	IdleTimeout    tomlfile.Duration `toml:"idle_timeout"`
	// MaxConnections caps this process's connections to one backend server.
	MaxConnections int `toml:"max_connections"`
}

// Claims sets how ownership of not-repeatable request keys is kept.
type Claims struct {
	// Lease is how long an owner grants without renewal.
	Lease tomlfile.Duration `toml:"lease"`
	// ClockAllowance bounds the difference between clocks of callers and nodes.
	ClockAllowance tomlfile.Duration `toml:"clock_allowance"`
	// Window is for how long after its minting a key may be used.
	Window tomlfile.Duration `toml:"window"`
}

// Steward is the settings of yuccadrift-steward.
type Steward struct {
	Common
	Planning Planning `toml:"planning"`
}

// Planning sets the pace of fleet decisions.
type Planning struct {
	// Interval is the pause between planning rounds when nothing changes; it is
	// five times as long while there is nothing to do either.
	Interval tomlfile.Duration `toml:"interval"`
	// ListInterval is the pause between reads of the platform's list of VMs by
	// any steward; they take turns.
	ListInterval tomlfile.Duration `toml:"list_interval"`
	// MaxActions bounds the actions on the platform in flight at once.
	MaxActions int `toml:"max_actions"`
	// ActionTimeout bounds one try of an action; then its outcome is asked for.
	ActionTimeout tomlfile.Duration `toml:"action_timeout"`
}

// LoadEntry reads settings of yuccadrift-entry from a file. The error is
// tomlfile.Problems when the file could be read.
func LoadEntry(path string) (Entry, error) {
	return load(path, ParseEntry)
}

// LoadSteward reads settings of yuccadrift-steward from a file. The error is
// tomlfile.Problems when the file could be read.
func LoadSteward(path string) (Steward, error) {
	return load(path, ParseSteward)
}

func load[T any](path string, parse func(string, []byte) (T, tomlfile.Problems)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var zero T
		return zero, errors.Wrap(err, "read settings")
	}
	value, problems := parse(path, data)
	return value, problems.Err()
}

// ParseEntry decodes and checks settings of yuccadrift-entry. file only names
// the text in problems; the value is usable only when there are none.
func ParseEntry(file string, data []byte) (Entry, tomlfile.Problems) {
	entry, positions, problems := tomlfile.DecodeOver(file, data, defaultEntry())
	if problems.Malformed() {
		return entry, problems
	}
	c := checker{positions: positions, problems: problems}
	c.common(entry.Common)
	c.entry(entry)
	return entry, c.problems
}

// ParseSteward decodes and checks settings of yuccadrift-steward, as
// ParseEntry does.
func ParseSteward(file string, data []byte) (Steward, tomlfile.Problems) {
	steward, positions, problems := tomlfile.DecodeOver(file, data, defaultSteward())
	if problems.Malformed() {
		return steward, problems
	}
	c := checker{positions: positions, problems: problems}
	c.common(steward.Common)
	c.planning(steward.Planning)
	return steward, c.problems
}
