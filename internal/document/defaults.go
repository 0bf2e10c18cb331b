package document

import "time"

// Defaults of optional keys.
const (
	DefaultMinZones       = 1
	DefaultMinRacks       = 1
	DefaultMaxUnavailable = 1
	DefaultOneDomain      = true
	DefaultClass          = ClassQuick
	DefaultDeadline       = 5 * time.Second
	DefaultMaxBody        = 1 << 20
	DefaultSlots          = 8
	DefaultConnections    = 64
	DefaultRetryShare     = 0.1
	DefaultDrain          = 30 * time.Second
	DefaultOnDrain        = LongJobsWait
	DefaultLease          = 30 * time.Second
	DefaultWeigh          = WeighBuffer
)

// Bounds of values in a document.
const (
	// MaxText is the largest document in bytes, enough for some 400 quotas. Every
	// node parses each document when it applies the log, and the time of the
	// decoder is quadratic in the length of a text with unknown keys.
	MaxText = 32 << 10
	// MaxName is the longest service or team name.
	MaxName = 63
	// MaxPoolSize is the largest pool.
	MaxPoolSize = 100_000
	// MinWindow and MaxWindow bound the budget's window.
	MinWindow = time.Minute
	MaxWindow = 366 * 24 * time.Hour
	// MinOutage is the shortest drain that a budget must allow once per window.
	// With less, the pool could never be maintained.
	MinOutage = 30 * time.Second
	// MinDeadline and MaxDeadline bound a route's deadline. MaxDeadline also bounds
	// limits.drain.
	MinDeadline = time.Millisecond
	MaxDeadline = 24 * time.Hour
	// MaxBodyLimit is the largest max_body.
	MaxBodyLimit = 1 << 30
	// MinLease and MaxLease bound a task's lease.
	MinLease = time.Second
	MaxLease = time.Hour
	// MaxCores and MaxMemoryMB bound every amount of cores and memory, so that sums
	// over a fleet cannot overflow.
	MaxCores    = 1_000_000
	MaxMemoryMB = 1_000_000_000
	// MaxSlots bounds slots and connections.
	MaxSlots = 100_000
	// MaxAccelerators bounds every amount of accelerators.
	MaxAccelerators = 1_000_000
)
