package node

import "runtime/debug"

// Settings of the garbage collector. The cost of a collection grows with the live memory, a
// few MB here, and by default a collection runs each time that as much again was allocated.
// The owner of a busy service allocates tens of MB a second.
const (
	// gcPercent is the growth of the heap between collections, in percent of the live memory.
	// With the default of 100 collections are four times as frequent and took a fifth of an
	// owner's processor time.
	gcPercent = 400
	// memoryLimitShare is the share of the process's memory above which the collector runs as
	// often as needed. The process is killed at the whole, which includes the kernel's socket
	// buffers.
	memoryLimitShare = 0.5
)

// configureGC configures the collector for a process that may use megabytes of memory; 0 is
// no limit.
func configureGC(megabytes int) {
	debug.SetGCPercent(gcPercent)
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(megabytes) * (1 << 20)))
	}
}
