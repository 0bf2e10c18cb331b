// Package settings reads the TOML settings of the two daemons. They are the only
// source of a process's addresses and availability zone.
package settings

import (
	"os"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

// Common holds the settings that both daemons have.
type Common struct {
	Node     Node     `toml:"node"`
	Platform Platform `toml:"platform"`
	Peers    Peers    `toml:"peers"`
	Admin    Admin    `toml:"admin"`
	Log      Log      `toml:"log"`
}

// Node identifies this process.
type Node struct {
	ID   string `toml:"id"`   // unique per VM
	Zone string `toml:"zone"` // availability zone
}

// Platform holds the address of the platform and how requests are made to it.
type Platform struct {
	Address        tomlfile.Address `toml:"address"`
	Stream         string           `toml:"stream"`          // stream of records
	SnapshotStream string           `toml:"snapshot_stream"` // stream of snapshots
	// RequestTimeout bounds one request. The outcome of an append that times out
	// is unknown.
	RequestTimeout tomlfile.Duration `toml:"request_timeout"`
	// ReadWait is how long a read at the end of a stream waits for an entry. On a
	// log without new entries, the state can become twice as old.
	ReadWait tomlfile.Duration `toml:"read_wait"`
}

// Peers configures the gRPC endpoint for other processes of the system.
type Peers struct {
	// Listen is the address that other nodes dial, so it must be one address of
	// this VM.
	Listen tomlfile.Address `toml:"listen"`
	// Advertise is the address that other nodes dial if they reach this VM through
	// address translation or a proxy. It defaults to Listen.
	Advertise tomlfile.Address `toml:"advertise"`
	// Seeds are the peer addresses of the same daemon on other VMs. A process reads
	// their state while it cannot read the log, and stewards share work with them.
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

// Admin configures the HTTP endpoint for metrics, health and profiles.
type Admin struct {
	Listen tomlfile.Address `toml:"listen"`
	// Profiles enables net/http/pprof. It is off by default, since profiles
	// disclose request data and cost processor time.
	Profiles bool `toml:"profiles"`
}

// LogFormat is the format of log lines.
type LogFormat string

// Formats of log lines.
const (
	LogText LogFormat = "text"
	LogJSON LogFormat = "json"
)

// Log configures logging.
type Log struct {
	Level  string    `toml:"level"` // trace, debug, info, warn or error
	Format LogFormat `toml:"format"`
}

// Entry holds the settings of yuccadrift-entry.
type Entry struct {
	Common
	Callers  Callers  `toml:"callers"`
	Drain    Drain    `toml:"drain"`
	Backends Backends `toml:"backends"`
	Claims   Claims   `toml:"claims"`
}

// Callers configures the endpoint for callers and its limits.
type Callers struct {
	Listen         tomlfile.Address `toml:"listen"`
	MaxConnections int              `toml:"max_connections"`
	MaxHeaderBytes int              `toml:"max_header_bytes"`
	// MaxBodyBytes bounds request bodies on all routes; a route may have a lower
	// limit.
	MaxBodyBytes int64 `toml:"max_body_bytes"`
	// MaxHeldReplyBytes is the largest reply that is buffered until it is complete.
	MaxHeldReplyBytes int64             `toml:"max_held_reply_bytes"`
	HeaderTimeout     tomlfile.Duration `toml:"header_timeout"`
	IdleTimeout       tomlfile.Duration `toml:"idle_timeout"`
	// StallTimeout ends a connection whose caller reads or sends no byte for this
	// long.
	StallTimeout tomlfile.Duration `toml:"stall_timeout"`
}

// Drain configures how this process stops.
type Drain struct {
	// Notice is how long the process accepts connections after it became unready,
	// so that the load balancer can notice.
	Notice tomlfile.Duration `toml:"notice"`
	// Limit bounds the wait for requests in flight after Notice.
	Limit tomlfile.Duration `toml:"limit"`
}

// Backends configures health checks of backend servers and connections to them.
type Backends struct {
	CheckInterval  tomlfile.Duration `toml:"check_interval"`
	CheckTimeout   tomlfile.Duration `toml:"check_timeout"`
	ConnectTimeout tomlfile.Duration `toml:"connect_timeout"`
	IdleTimeout    tomlfile.Duration `toml:"idle_timeout"`
	// MaxConnections bounds this process's connections to one backend server.
	MaxConnections int `toml:"max_connections"`
}

// Claims configures the ownership of not-repeatable request keys.
type Claims struct {
	// Lease is how long an owner may grant keys without a renewal of its lease.
	Lease tomlfile.Duration `toml:"lease"`
	// ClockAllowance is the largest expected difference between the clocks of
	// callers and nodes.
	ClockAllowance tomlfile.Duration `toml:"clock_allowance"`
	// Window is how long a key may be used after it was created.
	Window tomlfile.Duration `toml:"window"`
}

// Steward holds the settings of yuccadrift-steward.
type Steward struct {
	Common
	Planning Planning `toml:"planning"`
}

// Planning configures the intervals and limits of fleet decisions.
type Planning struct {
	// Interval is the longest pause between planning rounds; a change of the state
	// ends it earlier. It is five times as long after a round that found nothing to
	// do on an unchanged state.
	Interval tomlfile.Duration `toml:"interval"`
	// ListInterval is the pause between reads of the platform's list of VMs by all
	// stewards together; they take turns.
	ListInterval tomlfile.Duration `toml:"list_interval"`
	// MaxActions bounds the number of concurrent actions on the platform.
	MaxActions int `toml:"max_actions"`
	// ActionTimeout bounds one attempt of an action. After it, the steward queries
	// the action's outcome.
	ActionTimeout tomlfile.Duration `toml:"action_timeout"`
}

// LoadEntry reads settings of yuccadrift-entry from a file. If the file was read
// but its content is invalid, the error is a tomlfile.Problems.
func LoadEntry(path string) (Entry, error) {
	return load(path, ParseEntry)
}

// LoadSteward reads settings of yuccadrift-steward from a file. Its errors are
// those of LoadEntry.
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

// ParseEntry decodes and checks settings of yuccadrift-entry. file only names the
// text in problems. The result is valid only if there are no problems.
func ParseEntry(file string, data []byte) (Entry, tomlfile.Problems) {
	entry, positions, problems := tomlfile.DecodeWithDefaults(file, data, defaultEntry())
	if problems.Malformed() {
		return entry, problems
	}
	c := checker{positions: positions, problems: problems}
	c.common(entry.Common)
	c.entry(entry)
	return entry, c.problems
}

// ParseSteward decodes and checks settings of yuccadrift-steward as ParseEntry
// does for yuccadrift-entry.
func ParseSteward(file string, data []byte) (Steward, tomlfile.Problems) {
	steward, positions, problems := tomlfile.DecodeWithDefaults(file, data, defaultSteward())
	if problems.Malformed() {
		return steward, problems
	}
	c := checker{positions: positions, problems: problems}
	c.common(steward.Common)
	c.planning(steward.Planning)
	return steward, c.problems
}
