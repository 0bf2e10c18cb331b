package membership

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/settings"
)

const (
	// marginDivisor is the divisor of the lease duration that gives the margin:
	// the holder does not use that part, because clocks run at slightly different
	// rates.
	marginDivisor = 10
	// handoverTimeout is how long the records of a removed member are awaited.
	handoverTimeout = time.Second
	// maxRecords limits the keys in one owner's memory: 52 MB at 260 bytes each.
	maxRecords = 200_000
	// maxAnswer and maxAnswers limit one reply kept for retries and all of them,
	// in bytes.
	maxAnswer  = 16 << 10
	maxAnswers = 32 << 20
)

// ClaimConfig returns the limits of claims. A caller's clock may be ahead of an
// entry VM's by as much as the clocks of two entry VMs may differ.
func ClaimConfig(s settings.Claims) claim.Config {
	return claim.Config{
		Window:     s.Window.Duration,
		Ahead:      s.ClockAllowance.Duration,
		Skew:       s.ClockAllowance.Duration,
		Handover:   handoverTimeout,
		MaxRecords: maxRecords,
		MaxAnswer:  maxAnswer,
		MaxAnswers: maxAnswers,
	}
}

// LeaseConfig returns the durations of leases. A peer that was silent for the
// duration of a lease counts as lost.
func LeaseConfig(s settings.Claims) claim.LeaseConfig {
	return claim.LeaseConfig{
		Duration:    s.Lease.Duration,
		Margin:      s.Lease.Duration / marginDivisor,
		PeerTimeout: s.Lease.Duration,
		Skew:        s.ClockAllowance.Duration,
	}
}
