package main

import (
	"fmt"
	"os"
	"regexp"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/standin"
	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

// settings is the content of the stand-in's TOML file.
type settings struct {
	// Listen is the address of the platform's API and the control page. Backend
	// servers listen on its IP.
	Listen     tomlfile.Address  `toml:"listen"`
	LogLevel   string            `toml:"log_level"`
	LogFormat  string            `toml:"log_format"`
	LogService logServiceSetting `toml:"log"`
	Fleet      []groupSetting    `toml:"fleet"`
	// DefaultWork is the run time of requests that don't set it.
	DefaultWork tomlfile.Duration `toml:"default_work"`
}

// logServiceSetting is the table [log].
type logServiceSetting struct {
	RetentionEntries int               `toml:"retention_entries"`
	RetentionAge     tomlfile.Duration `toml:"retention_age"`
	AppendsPerSecond int               `toml:"appends_per_second"`
}

// groupSetting is one table of [[fleet]]. 0 or absent means the default, except
// that accelerators has none and count, prefix and zones are required.
type groupSetting struct {
	Prefix       string   `toml:"prefix"`
	Count        int      `toml:"count"`
	Zones        []string `toml:"zones"`
	RackSize     int      `toml:"rack_size"`
	Cores        int      `toml:"cores"`
	MemoryMB     int      `toml:"memory_mb"`
	Accelerators int      `toml:"accelerators"`
	Slots        int      `toml:"slots"`
	Connections  int      `toml:"connections"`
	BasePort     int      `toml:"base_port"`
	BootSeconds  float64  `toml:"boot_seconds"`
}

const (
	maxVMs         = 5000
	maxPort        = 65535
	maxBootSeconds = 3600
)

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

func defaultSettings() settings {
	return settings{
		LogLevel:  "info",
		LogFormat: "text",
		LogService: logServiceSetting{
			RetentionEntries: standin.DefaultRetentionEntries,
			AppendsPerSecond: standin.DefaultAppendsPerSecond,
		},
	}
}

// loadSettings reads and checks the file. Its error lists all problems.
func loadSettings(path string) (settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return settings{}, errors.Wrap(err, "read the settings")
	}
	s, positions, problems := tomlfile.DecodeWithDefaults(path, data, defaultSettings())
	if !problems.Malformed() {
		check := checker{positions: positions, problems: &problems}
		check.checkSettings(s)
	}
	return s, problems.Err()
}

// checker collects the problems of the decoded values.
type checker struct {
	positions tomlfile.Positions
	problems  *tomlfile.Problems
}

func (c checker) require(ok bool, key, problem, expected string) {
	if !ok {
		c.problems.Add(c.positions.Problem(key, problem, expected))
	}
}

// requireRange requires low <= value <= high.
func (c checker) requireRange(value, low, high int, key string) {
	c.require(value >= low && value <= high, key, fmt.Sprintf("%d is out of range", value), fmt.Sprintf("%d to %d", low, high))
}

func (c checker) checkSettings(s settings) {
	c.require(s.Listen.IsValid(), "listen", "is missing", "an IP number with a port, such as \"127.0.0.1:7070\"")
	c.require(hclog.LevelFromString(s.LogLevel) != hclog.NoLevel, "log_level", "is unknown", "trace, debug, info, warn, error or off")
	c.require(s.LogFormat == "text" || s.LogFormat == "json", "log_format", "is unknown", "text or json")
	c.require(s.DefaultWork.Duration >= 0, "default_work", "is negative", "a duration such as \"5ms\"")
	c.require(s.LogService.RetentionEntries > 0, "log.retention_entries", "is not positive", "a number of entries")
	c.require(s.LogService.RetentionAge.Duration >= 0, "log.retention_age", "is negative", "a duration, or \"0s\" for no limit")
	c.require(s.LogService.AppendsPerSecond > 0, "log.appends_per_second", "is not positive", "a number of appends")
	c.require(len(s.Fleet) > 0, "fleet", "is missing", "at least one table [[fleet]]")
	c.checkFleet(s.Fleet)
}

func (c checker) checkFleet(groups []groupSetting) {
	prefixes := map[string]bool{}
	ports := map[int]string{}
	total := 0
	for i, g := range groups {
		key := func(name string) string { return fmt.Sprintf("fleet[%d].%s", i, name) }
		c.checkGroup(g, key)
		c.require(!prefixes[g.Prefix], key("prefix"), "is used by another group", "a prefix of its own")
		prefixes[g.Prefix] = true
		total += max(0, g.Count)
		c.require(total <= maxVMs, key("count"), fmt.Sprintf("makes %d VMs in all", total), fmt.Sprintf("at most %d", maxVMs))
		for n := 0; g.BasePort > 0 && n < min(g.Count, maxVMs); n++ {
			other, taken := ports[g.BasePort+n]
			c.require(!taken, key("base_port"), "ports overlap with those of "+other, "ports of its own")
			ports[g.BasePort+n] = g.Prefix
		}
	}
}

func (c checker) checkGroup(g groupSetting, key func(string) string) {
	c.require(namePattern.MatchString(g.Prefix), key("prefix"), fmt.Sprintf("%q is no name", g.Prefix), "lower-case letters, digits and hyphens")
	c.requireRange(g.Count, 1, maxVMs, key("count"))
	c.require(len(g.Zones) > 0, key("zones"), "is missing", "at least one availability zone")
	for i, zone := range g.Zones {
		c.require(namePattern.MatchString(zone), key(fmt.Sprintf("zones[%d]", i)), fmt.Sprintf("%q is no name", zone), "lower-case letters, digits and hyphens")
	}
	for _, size := range []struct {
		name  string
		value int
	}{
		{"rack_size", g.RackSize},
		{"cores", g.Cores},
		{"memory_mb", g.MemoryMB},
		{"accelerators", g.Accelerators},
		{"slots", g.Slots},
		{"connections", g.Connections},
	} {
		c.require(size.value >= 0, key(size.name), "is negative", "a number")
	}
	c.require(g.BootSeconds >= 0 && g.BootSeconds <= maxBootSeconds, key("boot_seconds"), "is out of range", fmt.Sprintf("0 to %d", maxBootSeconds))
	c.require(g.BasePort >= 0 && g.BasePort+max(0, g.Count)-1 <= maxPort, key("base_port"), "leaves the range of ports", fmt.Sprintf("0 for any, or up to %d with all VMs", maxPort))
}

// options converts the settings to the options of package standin.
func (s settings) options() standin.Options {
	opts := standin.Options{
		RetentionEntries: s.LogService.RetentionEntries,
		RetentionAge:     s.LogService.RetentionAge.Duration,
		AppendsPerSecond: s.LogService.AppendsPerSecond,
	}
	for _, g := range s.Fleet {
		opts.Groups = append(opts.Groups, standin.Group{
			Prefix:       g.Prefix,
			Count:        g.Count,
			Zones:        g.Zones,
			RackSize:     g.RackSize,
			Cores:        g.Cores,
			MemoryMB:     g.MemoryMB,
			Accelerators: g.Accelerators,
			Slots:        g.Slots,
			Connections:  g.Connections,
			BasePort:     g.BasePort,
			Boot:         time.Duration(g.BootSeconds * float64(time.Second)),
		})
	}
	return opts
}
