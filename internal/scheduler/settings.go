package scheduler

import "time"

// Settings configures a Core.
type Settings struct {
	// Epoch identifies this ownership of the partition. It is higher than all earlier epochs.
	Epoch int64
	// Address is where the owner's node answers other nodes.
	Address string
	// EarlierOwnersInLogOrder is set if each earlier owner that may still act starts jobs in the order of
	// the partition's records (workload.Takeover.InLogOrder), or has handed over.
	EarlierOwnersInLogOrder bool
	// LeaseDuration is the duration of the leases that the owner grants.
	LeaseDuration time.Duration
	// MaxOwnerOverlap is how long an owner may still start tasks and renew leases after the next
	// owner has started.
	MaxOwnerOverlap time.Duration
	// MaxLeaseDuration is the longest lease that a worker accepts, whatever an order asks for.
	MaxLeaseDuration time.Duration
	// JobRetention is how long an ended job must stay known. It is deleted after twice that.
	JobRetention time.Duration
	// MaxStopDuration is the longest time that a worker takes to stop a run.
	MaxStopDuration time.Duration
	// GangTimeout is how long a member of a gang waits for the others; 0 is the default.
	GangTimeout time.Duration
	// RemoteDataSlowdown is the factor by which a task takes longer away from its data.
	RemoteDataSlowdown float64
	// Partition is the partition that the owner owns, PartitionOf returns the partition of a service and
	// whether it is known; nil if all services are in this one.
	Partition   int
	PartitionOf func(service string) (partition int, ok bool)
	// ConfigApplyTime is the time from the publication of a configuration until all owners use it.
	ConfigApplyTime time.Duration
	// AllowancesFrom is when this owner may begin to use its share of workspaces' caps: the first
	// owner of a partition waits until the other owners know of the partition.
	AllowancesFrom time.Time
}

// withDefaults returns the settings with defaults for what is not set.
func (s Settings) withDefaults() Settings {
	if s.GangTimeout == 0 {
		s.GangTimeout = defaultGangTimeout
	}
	if s.PartitionOf == nil {
		s.PartitionOf = func(string) (int, bool) { return s.Partition, true }
	}
	s.MaxLeaseDuration = max(s.MaxLeaseDuration, s.LeaseDuration)
	return s
}
