// Package logging creates the loggers of the daemons.
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/settings"
)

// timeFormat is RFC 3339 with milliseconds, which is enough to order the events
// of one process and keeps lines short.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to out and adds the node's ID and zone to
// each line. log.Level must be valid; the settings package checks it.
func New(binary string, node settings.Node, log settings.Log, out io.Writer) hclog.Logger {
	logger := hclog.New(&hclog.LoggerOptions{
		Name:       binary,
		Level:      hclog.LevelFromString(log.Level),
		JSONFormat: log.Format == settings.LogJSON,
		TimeFormat: timeFormat,
		Output:     out,
	})
	return logger.With("node", node.ID, "zone", node.Zone)
}
