package pool

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Policy bounds and paces planning. Every steward of a deployment should have
// the same one: a plan is a function of the view and the policy.
type Policy struct {
	// MaxProposals bounds the proposals of one round.
	MaxProposals int
	// Patience sets how long planning waits before it disturbs VMs, by what the
	// pool's document weighs.
	Patience map[document.Weigh]Patience
	// Estimate is how long a drain of each reason keeps a VM out of service
	// beyond the time in which its requests finish.
	Estimate map[record.DrainReason]time.Duration
	// Reserve says where spare VMs are kept.
	Reserve ReserveMode
	// Rates and FailureShare size the spare, see Spare.
	Rates        Rates
	FailureShare float64
	// WaveShare is the part of a pool's budget that a wave may use while its
	// deadline is not at risk; the rest is left for failures.
	WaveShare float64
	// Surge is how many free VMs a wave may lend to one pool at a time.
	Surge int
}

// Patience is how long planning waits, against shuffling VMs between documents
// that are changed back and forth.
type Patience struct {
	// Replace is how long a VM must be down before its pool gets another.
	Replace time.Duration
	// Move is how long a gap and a surplus must last before a VM is drained to
	// move from the one to the other.
	Move time.Duration
	// Release is how long a surplus must last before a VM is drained for the
	// reserve alone; 0 means never.
	Release time.Duration
}

// ReserveMode is where spare VMs are kept.
type ReserveMode string

// Ways to keep spare VMs.
const (
	// ReserveShared keeps spare VMs free, for any pool.
	ReserveShared ReserveMode = "shared"
	// ReserveOwn gives each pool spare VMs of its own; the baseline.
	ReserveOwn ReserveMode = "own"
)

// Defaults of Policy.
const (
	// DefaultMaxProposals keeps a round well under the log's append ceiling.
	DefaultMaxProposals = 64
	DefaultFailureShare = 0.25
	DefaultWaveShare    = 0.75
	DefaultSurge        = 1
)

// DefaultPolicy returns the policy used unless settings say otherwise.
func DefaultPolicy() Policy {
	return Policy{
		MaxProposals: DefaultMaxProposals,
		Patience: map[document.Weigh]Patience{
			document.WeighBuffer: {Replace: 2 * time.Minute, Move: time.Minute, Release: 30 * time.Minute},
			document.WeighMoves:  {Replace: 10 * time.Minute, Move: 10 * time.Minute},
		},
		Estimate: map[record.DrainReason]time.Duration{
			record.DrainMaintenance: 2 * time.Minute,
			record.DrainMove:        30 * time.Second,
		},
		Reserve:      ReserveShared,
		Rates:        DefaultRates(),
		FailureShare: DefaultFailureShare,
		WaveShare:    DefaultWaveShare,
		Surge:        DefaultSurge,
	}
}

// patience returns the waits of a pool.
func (p Policy) patience(pool *Pool) Patience { return p.Patience[pool.Doc.Weigh] }
