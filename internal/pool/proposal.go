package pool

import (
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Proposal is one decision of a round, to be appended as a record.
type Proposal struct {
	Subject record.Subject
	Base    record.Revision
	Body    record.Body
	// Share is the key by which stewards divide the work. All decisions of one
	// pool have the same author while no steward fails.
	Share string
	// Why is the reason that the steward logs with the decision.
	Why string
}

// OnVM returns a proposal about a VM.
func OnVM(vm *VM, body record.Body, share, why string) Proposal {
	return Proposal{
		Subject: record.Subject{Kind: record.SubjectVM, Name: vm.ID},
		Base:    vm.Revision,
		Body:    body,
		Share:   share,
		Why:     why,
	}
}

// OnWave returns a proposal about a wave.
func OnWave(w *Wave, body record.Body, why string) Proposal {
	return Proposal{
		Subject: record.Subject{Kind: record.SubjectWave, Name: w.ID},
		Base:    w.Revision,
		Body:    body,
		Share:   w.ID,
		Why:     why,
	}
}
