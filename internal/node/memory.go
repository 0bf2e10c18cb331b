package node

import "runtime/debug"

// Settings of the garbage collector. A collection costs time by what is live, a few
// MB here, and comes each time that so much again was allocated. The owner of a busy
// service allocates tens of MB a second.
const (
	// gcPercent is by how many percent the live memory may grow before it is
	// collected. With 400 in place of the usual 100 collections come a quarter as
	// often; they took a fifth of an owner's processor time.
	gcPercent = 400
	// memoryLimitShare is the part of the memory that the process may use from which on
	// the collector comes as often as needed to stay below: the process is killed at
	// the whole, which also has what the kernel holds for its sockets.
	memoryLimitShare = 0.5
)

// configureGC sets the collector for a process that may use so much memory, in MB;
// 0 is no bound.
func configureGC(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(megabytes) * (1 << 20)))
	}
}
