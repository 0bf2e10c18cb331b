package record

// Kinds of record bodies.
const (
	KindDocumentPublish Kind = "document.publish"
	KindDocumentRemove  Kind = "document.remove"
	KindVMRegister      Kind = "vm.register"
	KindVMDrain         Kind = "vm.drain"
	KindVMAdvance       Kind = "vm.advance"
	KindVMRedirect      Kind = "vm.redirect"
	KindVMJoin          Kind = "vm.join"
	KindVMDown          Kind = "vm.down"
	KindVMUp            Kind = "vm.up"
	KindVMGone          Kind = "vm.gone"
	KindVMQuarantine    Kind = "vm.quarantine"
	KindWaveStart       Kind = "wave.start"
	KindWaveControl     Kind = "wave.control"
	KindWaveSkip        Kind = "wave.skip"
	KindMemberJoin      Kind = "member.join"
	KindMemberLeave     Kind = "member.leave"
	KindMemberRefresh   Kind = "member.refresh"
	KindMemberSuspect   Kind = "member.suspect"
	KindMemberTrust     Kind = "member.trust"
	KindJobSubmit       Kind = "job.submit"
	KindJobPlace        Kind = "job.place"
	KindJobEnd          Kind = "job.end"
	KindJobCancel       Kind = "job.cancel"
	KindJobPreempt      Kind = "job.preempt"
	KindClockWitness    Kind = "clock.witness"
)

var decoders = map[Kind]func([]byte) (Record, error){
	KindDocumentPublish: decodeAs[DocumentPublish],
	KindDocumentRemove:  decodeAs[DocumentRemove],
	KindVMRegister:      decodeAs[VMRegister],
	KindVMDrain:         decodeAs[VMDrain],
	KindVMAdvance:       decodeAs[VMAdvance],
	KindVMRedirect:      decodeAs[VMRedirect],
	KindVMJoin:          decodeAs[VMJoin],
	KindVMDown:          decodeAs[VMDown],
	KindVMUp:            decodeAs[VMUp],
	KindVMGone:          decodeAs[VMGone],
	KindVMQuarantine:    decodeAs[VMQuarantine],
	KindWaveStart:       decodeAs[WaveStart],
	KindWaveControl:     decodeAs[WaveControl],
	KindWaveSkip:        decodeAs[WaveSkip],
	KindMemberJoin:      decodeAs[MemberJoin],
	KindMemberLeave:     decodeAs[MemberLeave],
	KindMemberRefresh:   decodeAs[MemberRefresh],
	KindMemberSuspect:   decodeAs[MemberSuspect],
	KindMemberTrust:     decodeAs[MemberTrust],
	KindJobSubmit:       decodeAs[JobSubmit],
	KindJobPlace:        decodeAs[JobPlace],
	KindJobEnd:          decodeAs[JobEnd],
	KindJobCancel:       decodeAs[JobCancel],
	KindJobPreempt:      decodeAs[JobPreempt],
	KindClockWitness:    decodeAs[ClockWitness],
}

// Kind implements Body.
func (DocumentPublish) Kind() Kind { return KindDocumentPublish }

// Kind implements Body.
func (DocumentRemove) Kind() Kind { return KindDocumentRemove }

// Kind implements Body.
func (VMRegister) Kind() Kind { return KindVMRegister }

// Kind implements Body.
func (VMDrain) Kind() Kind { return KindVMDrain }

// Kind implements Body.
func (VMAdvance) Kind() Kind { return KindVMAdvance }

// Kind implements Body.
func (VMRedirect) Kind() Kind { return KindVMRedirect }

// Kind implements Body.
func (VMJoin) Kind() Kind { return KindVMJoin }

// Kind implements Body.
func (VMDown) Kind() Kind { return KindVMDown }

// Kind implements Body.
func (VMUp) Kind() Kind { return KindVMUp }

// Kind implements Body.
func (VMGone) Kind() Kind { return KindVMGone }

// Kind implements Body.
func (VMQuarantine) Kind() Kind { return KindVMQuarantine }

// Kind implements Body.
func (WaveStart) Kind() Kind { return KindWaveStart }

// Kind implements Body.
func (WaveControl) Kind() Kind { return KindWaveControl }

// Kind implements Body.
func (WaveSkip) Kind() Kind { return KindWaveSkip }

// Kind implements Body.
func (MemberJoin) Kind() Kind { return KindMemberJoin }

// Kind implements Body.
func (MemberLeave) Kind() Kind { return KindMemberLeave }

// Kind implements Body.
func (MemberRefresh) Kind() Kind { return KindMemberRefresh }

// Kind implements Body.
func (MemberSuspect) Kind() Kind { return KindMemberSuspect }

// Kind implements Body.
func (MemberTrust) Kind() Kind { return KindMemberTrust }

// Kind implements Body.
func (JobSubmit) Kind() Kind { return KindJobSubmit }

// Kind implements Body.
func (JobPlace) Kind() Kind { return KindJobPlace }

// Kind implements Body.
func (JobEnd) Kind() Kind { return KindJobEnd }

// Kind implements Body.
func (JobCancel) Kind() Kind { return KindJobCancel }

// Kind implements Body.
func (JobPreempt) Kind() Kind { return KindJobPreempt }

// Kind implements Body.
func (ClockWitness) Kind() Kind { return KindClockWitness }
