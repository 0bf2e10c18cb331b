// Package logging makes the daemons' loggers.
package logging

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/settings"
)

// timeFormat is RFC 3339 with milliseconds, enough to order events of one
// process and short enough to read.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes to out and puts the node's ID and zone on
// each line. The settings were checked, so an unknown level cannot occur.
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
