package steward

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// Entries queries entry processes.
type Entries interface {
	// InFlight returns the requests in flight, by VM, of the entry process at
	// the peer address, and the log offset that the process had folded when it
	// counted them.
	InFlight(ctx context.Context, address string) (offset uint64, vms map[string]int, err error)
}

// UnreachableEntries implements Entries for entry processes that cannot be
// queried: every drain then waits for the full drain limit.
type UnreachableEntries struct{}

// InFlight implements Entries.
func (UnreachableEntries) InFlight(context.Context, string) (uint64, map[string]int, error) {
	return 0, nil, errors.New("entry processes cannot be queried")
}

// drainGrace is the time for which a drain waits beyond the document's drain
// limit: within it, every entry process stops sending new requests to the VM.
const drainGrace = 5 * time.Second

// requestsFinished reports whether no job and no request is left on the VM:
// each entry process has folded the drain and reports no request in flight. An
// entry process that is paused or cut off cannot be queried. Its requests end
// within the document's drain limit, so the drain continues after that limit
// and does not block the wave.
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
	if jobs > 0 { // the fold rejects the next phase until their ends are recorded
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
