package membership

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/claim"
	"github.com/yuccadrift/yuccadrift/internal/settings"
)

const (
	// marginDivisor is the part of a lease that its holder does not use, for clocks
	// that run at slightly different rates.
	marginDivisor = 10
	// handoverTimeout is for how long the claims of a removed member are awaited.
	handoverTimeout = time.Second
	// maxRecords bounds the keys in one owner's memory: at 260 bytes each, 52 MB.
	maxRecords = 200_000
	// maxAnswer and maxAnswers bound the replies kept for retries, in bytes.
	maxAnswer  = 16 << 10
	maxAnswers = 32 << 20
)

// ClaimConfig returns the bounds of claims. Callers' clocks may be ahead of an
// entry VM's by as much as two entry VMs' clocks may differ.
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

// LeaseConfig returns the durations of leases. A peer counts as lost once it
// was silent for a lease.
func LeaseConfig(s settings.Claims) claim.LeaseConfig {
	return claim.LeaseConfig{
		Duration:    s.Lease.Duration,
		Margin:      s.Lease.Duration / marginDivisor,
		PeerTimeout: s.Lease.Duration,
		Skew:        s.ClockAllowance.Duration,
	}
}
