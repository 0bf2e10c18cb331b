package steward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// Entries asks entry processes.
type Entries interface {
	// InFlight returns the requests in flight by VM of the entry process at the
	// peer address, and the offset of the log that it acted on when it counted.
	InFlight(ctx context.Context, address string) (offset uint64, vms map[string]int, err error)
}

// UnreachableEntries stands for entry processes that cannot be asked: every
// drain then waits for its full bound.
type UnreachableEntries struct{}

// InFlight implements Entries.
func (UnreachableEntries) InFlight(context.Context, string) (uint64, map[string]int, error) {
	return 0, nil, errors.New("entry processes cannot be asked")
}

// drainGrace is what a drain waits beyond the document's bound on requests in
// flight: the time in which every entry process stops sending new ones.
const drainGrace = 5 * time.Second

// requestsFinished reports whether no request is in flight on the VM: each entry process
// has folded the drain and reports none. An entry process that is paused or cut
// off cannot be asked; its requests end by the document's bound, so after that
// the drain goes on without its word rather than hold the wave for ever.
func (s *Steward) requestsFinished(ctx context.Context, vm *ledger.VM) bool {
	var members []string
	var drainLimit time.Duration
	jobs := 0
	s.cfg.Follower.View(func(st *ledger.State) {
		for _, name := range st.MemberNames() {
			members = append(members, st.Members[name].Address)
		}
		if svc, ok := st.Services[vm.Pool]; ok {
			drainLimit = svc.Doc.Limits.Drain
		}
		jobs = len(st.WorkerJobs(vm.ID))
	})
	if jobs > 0 { // the fold refuses the next phase until their ends are recorded
		return false
	}
	if time.Since(vm.Drain.Since) > drainLimit+drainGrace {
		return true
	}
	for _, address := range members {
		offset, vms, err := s.cfg.Entries.InFlight(ctx, address)
		if err != nil {
			s.cfg.Logger.Debug("an entry process does not answer", "address", address, "error", err)
			return false
		}
		if offset < vm.Drain.Fence || vms[vm.ID] > 0 {
			return false
		}
	}
	return true
}
