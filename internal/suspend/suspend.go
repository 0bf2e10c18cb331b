// Package suspend tells for how long the machine was suspended. The steady clock of a
// suspended machine stands still, so that a right which ends after some time by that clock
// would outlive the suspension.
package suspend

import (
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// Meter tells for how long the machine was suspended. It is safe for concurrent use.
type Meter struct {
	startedAt         time.Time
	startedAtBootTime time.Duration
}

// NewMeter returns a meter that counts from now on. It fails where the kernel has no clock
// that counts suspensions.
func NewMeter() (*Meter, error) {
	boot, err := bootTime()
	if err != nil {
		return nil, err
	}
	return &Meter{startedAt: time.Now(), startedAtBootTime: boot}, nil
}

// Total is for how long the machine was suspended since the meter was made.
func (m *Meter) Total() (time.Duration, error) {
	boot, err := bootTime()
	if err != nil {
		return 0, err
	}
	return boot - m.startedAtBootTime - time.Since(m.startedAt), nil
}

// bootTime is the time since the machine was started, suspensions included.
func bootTime() (time.Duration, error) {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return 0, errors.Wrap(err, "read the time since boot")
	}
	return time.Duration(ts.Nano()), nil
}
