package settings

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/tomlfile"
)

// Defaults of both daemons.
const (
	DefaultStream         = "yuccadrift"
	DefaultSnapshotStream = "yuccadrift-snapshots"
	DefaultRequestTimeout = 2 * time.Second
	DefaultReadWait       = 500 * time.Millisecond
	DefaultLogLevel       = "info"
	DefaultLogFormat      = LogText
)

// Defaults of yuccadrift-entry.
const (
	DefaultCallerConnections = 12000
	DefaultHeaderBytes       = 32 << 10
	DefaultBodyBytes         = 8 << 20
	DefaultHeldReplyBytes    = 64 << 10
	DefaultHeaderTimeout     = 5 * time.Second
	DefaultIdleTimeout       = 2 * time.Minute
	DefaultStallTimeout      = 15 * time.Second
	DefaultDrainNotice       = 5 * time.Second
	DefaultDrainLimit        = 30 * time.Second
	DefaultCheckInterval     = time.Second
	DefaultCheckTimeout      = 500 * time.Millisecond
	DefaultConnectTimeout    = 500 * time.Millisecond
	DefaultBackendIdle       = 30 * time.Second
	// DefaultBackendConnections is the number of connections that a present-day
	// backend server accepts from all entry VMs together.
	DefaultBackendConnections = 64
	DefaultClaimLease         = 2 * time.Second
	DefaultClockAllowance     = 500 * time.Millisecond
	DefaultClaimWindow        = 10 * time.Minute
)

// Defaults of yuccadrift-steward.
const (
	DefaultPlanningInterval = time.Second
	DefaultListInterval     = 2 * time.Second
	DefaultMaxActions       = 16
	DefaultActionTimeout    = 5 * time.Second
)

func duration(d time.Duration) tomlfile.Duration {
	return tomlfile.Duration{Duration: d}
}

func defaultCommon() Common {
	return Common{
		Platform: Platform{
			Stream:         DefaultStream,
			SnapshotStream: DefaultSnapshotStream,
			RequestTimeout: duration(DefaultRequestTimeout),
			ReadWait:       duration(DefaultReadWait),
		},
		Log: Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
	}
}

func defaultEntry() Entry {
	return Entry{
		Common: defaultCommon(),
		Callers: Callers{
			MaxConnections:    DefaultCallerConnections,
			MaxHeaderBytes:    DefaultHeaderBytes,
			MaxBodyBytes:      DefaultBodyBytes,
			MaxHeldReplyBytes: DefaultHeldReplyBytes,
			HeaderTimeout:     duration(DefaultHeaderTimeout),
			IdleTimeout:       duration(DefaultIdleTimeout),
			StallTimeout:      duration(DefaultStallTimeout),
		},
		Drain: Drain{Notice: duration(DefaultDrainNotice), Limit: duration(DefaultDrainLimit)},
		Backends: Backends{
			CheckInterval:  duration(DefaultCheckInterval),
			CheckTimeout:   duration(DefaultCheckTimeout),
			ConnectTimeout: duration(DefaultConnectTimeout),
			IdleTimeout:    duration(DefaultBackendIdle),
			MaxConnections: DefaultBackendConnections,
		},
		Claims: Claims{
			Lease:          duration(DefaultClaimLease),
			ClockAllowance: duration(DefaultClockAllowance),
			Window:         duration(DefaultClaimWindow),
		},
	}
}

func defaultSteward() Steward {
	return Steward{
		Common: defaultCommon(),
		Planning: Planning{
			Interval:      duration(DefaultPlanningInterval),
			ListInterval:  duration(DefaultListInterval),
			MaxActions:    DefaultMaxActions,
			ActionTimeout: duration(DefaultActionTimeout),
		},
	}
}
