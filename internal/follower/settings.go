package follower

import (
	"github.com/hashicorp/go-hclog"

	"github.com/yuccadrift/yuccadrift/internal/platform"
	"github.com/yuccadrift/yuccadrift/internal/settings"
)

// FromSettings returns the Config of a daemon, which batches its proposals,
// publishes snapshots, asks peers and writes clock witnesses.
func FromSettings(s settings.Common, log platform.Log, peers Peers, logger hclog.Logger) Config {
	return Config{
		Log:            log,
		Stream:         s.Platform.Stream,
		SnapshotStream: s.Platform.SnapshotStream,
		ReadWait:       s.Platform.ReadWait.Duration,
		Appender:       platform.NewAppender(log, s.Platform.Stream, platform.AppenderOptions{}),
		Peers:          peers,
		Node:           s.Node.ID,
		Logger:         logger.Named("log"),
	}
}
