// Package suspend measures how long the machine was suspended. The monotonic clock stops
// while the machine is suspended, so an owner's authority that is timed by this clock alone
// would outlive the suspension.
package suspend

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Meter measures how long the machine was suspended. It is safe for concurrent use.
type Meter struct {
	startedAt         time.Time
	startedAtBootTime time.Duration
}

// NewMeter returns a meter that starts now. It fails if the kernel has no clock that includes
// suspensions.
func NewMeter() (*Meter, error) {
	boot, err := bootTime()
	if err != nil {
		return nil, err
	}
	return &Meter{startedAt: time.Now(), startedAtBootTime: boot}, nil
}

// Total returns how long the machine was suspended since the meter was created.
func (m *Meter) Total() (time.Duration, error) {
	boot, err := bootTime()
	if err != nil {
		return 0, err
	}
	return boot - m.startedAtBootTime - time.Since(m.startedAt), nil
}

// bootTime returns the time since the machine was booted, including suspensions.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.Wrap(err, "read the time since boot")
	}
	return time.Duration(ts.Nano()), nil
}
