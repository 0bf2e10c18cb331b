package pool

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/document"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Policy holds the limits and delays of planning. All stewards of a deployment
// should use the same policy, because a plan is a function of the view and the
// policy.
type Policy struct {
	// MaxProposals bounds the proposals of one round.
	MaxProposals int
	// Delays holds how long planning waits before it disturbs VMs, by the weigh
	// setting of the pool's document.
	Delays map[document.Weigh]Delays
	// Estimate is how long a drain of each reason keeps a VM out of service
	// beyond the time in which its requests finish.
	Estimate map[record.DrainReason]time.Duration
	// Reserve selects where spare VMs are kept.
	Reserve ReserveMode
	// Rates and FailureShare determine the number of spare VMs, see SpareFor.
	Rates        Rates
	FailureShare float64
	// WaveShare is the part of a pool's budget that a wave may use while its
	// deadline is not at risk; the rest is kept for failures.
	WaveShare float64
	// Surge is how many free VMs a wave may lend to one pool at a time.
	Surge int
}

// Delays holds the delays of planning. They prevent VMs from moving between
// pools whose documents are changed back and forth.
type Delays struct {
	// Replace is how long a VM must be down before its pool gets another VM.
	Replace time.Duration
	// Move is how long a gap and a surplus must last before a VM is drained to
	// move from the pool with the surplus to the pool with the gap.
	Move time.Duration
	// Release is how long a surplus must last before a VM is drained only to
	// return it to the reserve; 0 means never.
	Release time.Duration
}

// ReserveMode is where spare VMs are kept.
type ReserveMode string

// Values of ReserveMode.
const (
	// ReserveShared keeps spare VMs free, for any pool.
	ReserveShared ReserveMode = "shared"
	// ReserveOwn gives each pool spare VMs of its own. It is the baseline of
	// comparisons.
	ReserveOwn ReserveMode = "own"
)

// Defaults of Policy.
const (
	// DefaultMaxProposals keeps a round well under the log's limit on appends.
	DefaultMaxProposals = 64
	DefaultFailureShare = 0.25
	DefaultWaveShare    = 0.75
	DefaultSurge        = 1
)

// DefaultPolicy returns the policy used unless settings say otherwise.
func DefaultPolicy() Policy {
	return Policy{
		MaxProposals: DefaultMaxProposals,
		Delays: map[document.Weigh]Delays{
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

// delays returns the delays that apply to a pool.
func (p Policy) delays(pool *Pool) Delays { return p.Delays[pool.Doc.Weigh] }
