package settings

import (
	"fmt"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

// Bounds of settings. They keep a typing mistake, such as ms for s, from causing
// an outage, and are wide enough for every known use.
const (
	minDuration    = time.Millisecond
	maxDuration    = time.Hour
	maxDrainLimit  = 24 * time.Hour
	maxConnections = 1 << 20
	minHeaderBytes = 1 << 10
	maxBytes       = 1 << 30
	maxActions     = 1 << 10
)

var (
	// identifierPattern matches identifiers, which occur in records, metrics and
	// logs.
	identifierPattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$`)
	logLevels         = []string{"trace", "debug", "info", "warn", "error"}
)

// checker collects the problems of decoded settings.
type checker struct {
	positions tomlfile.Positions
	problems  tomlfile.Problems
}

func (c *checker) addProblem(key, wrong, expected string) {
	c.problems.Add(c.positions.Problem(key, wrong, expected))
}

func (c *checker) common(s Common) {
	c.identifier("node.id", s.Node.ID)
	c.identifier("node.zone", s.Node.Zone)
	c.dialAddress("platform.address", s.Platform.Address)
	c.identifier("platform.stream", s.Platform.Stream)
	c.identifier("platform.snapshot_stream", s.Platform.SnapshotStream)
	if s.Platform.Stream == s.Platform.SnapshotStream {
		c.addProblem("platform.snapshot_stream", "is the same as platform.stream", "a stream of its own")
	}
	c.duration("platform.request_timeout", s.Platform.RequestTimeout)
	c.duration("platform.read_wait", s.Platform.ReadWait)
	c.listenAddress("peers.listen", s.Peers.Listen)
	if s.Peers.Listen.IsValid() && s.Peers.Listen.Addr().IsUnspecified() {
		c.addProblem("peers.listen", s.Peers.Listen.String()+" names no single address", "the address of this VM that other nodes dial")
	}
	if s.Peers.Advertise.IsValid() {
		c.dialAddress("peers.advertise", s.Peers.Advertise)
	}
	for i, seed := range s.Peers.Seeds {
		c.dialAddress(fmt.Sprintf("peers.seeds[%d]", i), seed)
	}
	c.listenAddress("admin.listen", s.Admin.Listen)
	c.oneOf("log.level", s.Log.Level, logLevels)
	c.oneOf("log.format", string(s.Log.Format), []string{string(LogText), string(LogJSON)})
	c.distinctListeners("peers.listen", s.Peers.Listen, "admin.listen", s.Admin.Listen)
}

func (c *checker) entry(s Entry) {
	c.listenAddress("callers.listen", s.Callers.Listen)
	c.distinctListeners("peers.listen", s.Peers.Listen, "callers.listen", s.Callers.Listen)
	c.distinctListeners("admin.listen", s.Admin.Listen, "callers.listen", s.Callers.Listen)
	c.intInRange("callers.max_connections", int64(s.Callers.MaxConnections), 1, maxConnections)
	c.intInRange("callers.max_header_bytes", int64(s.Callers.MaxHeaderBytes), minHeaderBytes, maxBytes)
	c.intInRange("callers.max_body_bytes", s.Callers.MaxBodyBytes, 0, maxBytes)
	c.intInRange("callers.max_held_reply_bytes", s.Callers.MaxHeldReplyBytes, 0, maxBytes)
	c.duration("callers.header_timeout", s.Callers.HeaderTimeout)
	c.duration("callers.idle_timeout", s.Callers.IdleTimeout)
	c.duration("callers.stall_timeout", s.Callers.StallTimeout)
	c.durationInRange("drain.notice", s.Drain.Notice, 0, maxDuration)
	c.durationInRange("drain.limit", s.Drain.Limit, 0, maxDrainLimit)
	c.backends(s.Backends)
	c.claims(s.Claims)
}

func (c *checker) backends(s Backends) {
	c.duration("backends.check_interval", s.CheckInterval)
	c.duration("backends.check_timeout", s.CheckTimeout)
	if s.CheckTimeout.Duration > s.CheckInterval.Duration {
		c.addProblem("backends.check_timeout", s.CheckTimeout.String()+" is over the interval", "at most backends.check_interval, "+s.CheckInterval.String())
	}
	c.duration("backends.connect_timeout", s.ConnectTimeout)
	c.duration("backends.idle_timeout", s.IdleTimeout)
	c.intInRange("backends.max_connections", int64(s.MaxConnections), 1, maxConnections)
}

func (c *checker) claims(s Claims) {
	c.duration("claims.lease", s.Lease)
	c.duration("claims.clock_allowance", s.ClockAllowance)
	c.duration("claims.window", s.Window)
	if s.ClockAllowance.Duration >= s.Lease.Duration {
		c.addProblem("claims.clock_allowance", s.ClockAllowance.String()+" leaves nothing of the lease", "less than claims.lease, "+s.Lease.String())
	}
	if s.Window.Duration <= s.Lease.Duration {
		c.addProblem("claims.window", s.Window.String()+" ends with the first lease", "more than claims.lease, "+s.Lease.String())
	}
}

func (c *checker) planning(s Planning) {
	c.duration("planning.interval", s.Interval)
	c.duration("planning.list_interval", s.ListInterval)
	c.intInRange("planning.max_actions", int64(s.MaxActions), 1, maxActions)
	c.duration("planning.action_timeout", s.ActionTimeout)
}

// missing adds a problem and returns true if key, which has no default, is absent.
func (c *checker) missing(key, expected string) bool {
	if c.positions.Has(key) {
		return false
	}
	c.addProblem(key, "is missing", expected)
	return true
}

func (c *checker) identifier(key, value string) {
	const expected = "1 to 64 letters, digits, dots, dashes or underscores"
	if value == "" && c.missing(key, expected) {
		return
	}
	if !identifierPattern.MatchString(value) {
		c.addProblem(key, fmt.Sprintf("%q is no name", value), expected)
	}
}

// listenAddress checks an address that this process binds. Port 0 lets the
// operating system choose a port.
func (c *checker) listenAddress(key string, a tomlfile.Address) {
	if !a.IsValid() {
		c.missing(key, "an IP number and port of this VM")
	}
}

// dialAddress checks an address that this process dials.
func (c *checker) dialAddress(key string, a tomlfile.Address) {
	switch {
	case !a.IsValid():
		c.missing(key, "an IP number and port")
	case a.Port() == 0:
		c.addProblem(key, "has port 0", "the port that the other side listens on")
	case a.Addr().IsUnspecified():
		c.addProblem(key, a.Addr().String()+" cannot be dialled", "the address of one VM")
	}
}

// distinctListeners adds a problem if two listeners have the same address. An
// unspecified address covers every address of the VM.
func (c *checker) distinctListeners(first string, a tomlfile.Address, second string, b tomlfile.Address) {
	if !a.IsValid() || !b.IsValid() || a.Port() == 0 || a.Port() != b.Port() {
		return
	}
	if a.Addr() == b.Addr() || covers(a.Addr(), b.Addr()) || covers(b.Addr(), a.Addr()) {
		c.addProblem(second, fmt.Sprintf("%s is taken by %s", b, first), "another address or port")
	}
}

func covers(wide, narrow netip.Addr) bool {
	return wide.IsUnspecified() && (wide.Is6() || narrow.Is4())
}

func (c *checker) duration(key string, d tomlfile.Duration) {
	c.durationInRange(key, d, minDuration, maxDuration)
}

func (c *checker) durationInRange(key string, d tomlfile.Duration, least, most time.Duration) {
	if d.Duration < least || d.Duration > most {
		c.addProblem(key, d.String()+" is out of range", fmt.Sprintf("%s to %s", least, most))
	}
}

func (c *checker) intInRange(key string, n, least, most int64) {
	if n < least || n > most {
		c.addProblem(key, fmt.Sprintf("%d is out of range", n), fmt.Sprintf("%d to %d", least, most))
	}
}

func (c *checker) oneOf(key, value string, allowed []string) {
	for _, a := range allowed {
		if value == a {
			return
		}
	}
	c.addProblem(key, fmt.Sprintf("%q is not known", value), "one of "+strings.Join(allowed, ", "))
}
