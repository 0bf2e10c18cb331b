package steward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// InFlight is what one entry process says about its requests in flight.
type InFlight struct {
	// Offset is how far the process had folded the log when it counted.
	Offset uint64
	// VMs counts requests in flight by VM.
	VMs map[string]int
}

// Entries asks entry processes.
type Entries interface {
	// InFlight asks the entry process at the peer address.
	InFlight(ctx context.Context, address string) (InFlight, error)
}

// UnreachableEntries stands for entry processes that cannot be asked: every
// drain then waits for its full bound.
type UnreachableEntries struct{}

// InFlight implements Entries.
func (UnreachableEntries) InFlight(context.Context, string) (InFlight, error) {
	return InFlight{}, errors.New("entry processes cannot be asked")
}

// drainGrace is what a drain waits beyond the document's bound on requests in
// flight: the time in which every entry process stops sending new ones.
const drainGrace = 5 * time.Second

// quiet reports whether no request is in flight on the VM: each entry process
// has folded the drain and reports none. An entry process that is paused or cut
// off cannot be asked; its requests end by the document's bound, so after that
// the drain goes on without its word rather than hold the wave for ever.
func (s *Steward) quiet(ctx context.Context, vm *ledger.VM) bool {
	var members []string
	var bound time.Duration
	jobs := 0
	s.cfg.Follower.View(func(st *ledger.State) {
		for _, name := range st.MemberNames() {
			members = append(members, st.Members[name].Address)
		}
		if svc, ok := st.Services[vm.Pool]; ok {
			bound = svc.Doc.Limits.Drain
		}
		jobs = len(st.WorkerJobs(vm.ID))
	})
	if jobs > 0 { // the fold refuses the next phase until their ends are recorded
		return false
	}
	if time.Since(vm.Drain.Since) > bound+drainGrace {
		return true
	}
	for _, address := range members {
		in, err := s.cfg.Entries.InFlight(ctx, address)
		if err != nil {
			s.cfg.Logger.Debug("an entry process does not answer", "address", address, "error", err)
			return false
		}
		if in.Offset < vm.Drain.Fence || in.VMs[vm.ID] > 0 {
			return false
		}
	}
	return true
}
