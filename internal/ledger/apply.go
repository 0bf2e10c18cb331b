package ledger

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccadrift/yuccadrift/internal/record"
)

// Status is the result of folding a record.
type Status string

// Statuses of a record.
const (
	// Effective means that the record changed the state.
	Effective Status = "effective"
	// Stale means that the record was not decided on the subject's current
	// revision.
	Stale Status = "stale"
	// Duplicate marks a further copy of the subject's latest record.
	Duplicate Status = "duplicate"
	// Refused means that the record was current but broke a rule, such as a
	// budget.
	Refused Status = "refused"
	// Malformed means that the entry is no record, or of an unknown kind.
	Malformed Status = "malformed"
)

// Outcome is the result of folding one record. It is the same on every node.
type Outcome struct {
	Offset  uint64
	ID      string
	Kind    record.Kind
	Subject record.Subject
	Status  Status
	// Reason explains any status other than Effective to the operator.
	Reason string
	// Current is the subject's revision after the record.
	Current record.Revision
}

// refusal is the reason why a rule refuses a record, written for the operator.
// The empty string means allowed.
type refusal string

const allowed refusal = ""

func refusef(format string, args ...any) refusal {
	return refusal(fmt.Sprintf(format, args...))
}

// maxReason is the maximum length in bytes of the texts stored in the state.
const maxReason = 1000

// truncate shortens a text to maxReason bytes without splitting a character.
func truncate(text string) string {
	if len(text) <= maxReason {
		return text
	}
	return strings.ToValidUTF8(text[:maxReason], "") + " ..."
}

// ApplyData decodes and folds the raw entry at offset.
func (s *State) ApplyData(offset uint64, data []byte) Outcome {
	rec, err := record.Decode(data)
	if err != nil {
		s.advanceOffset(offset)
		s.EntryHash = xxhash.Sum64(data)
		return Outcome{Offset: offset, Status: Malformed, Reason: err.Error()}
	}
	out := s.Apply(offset, rec)
	s.EntryHash = xxhash.Sum64(data)
	return out
}

// Apply folds the record at offset. Offsets must increase; gaps are allowed
// because the log may skip numbers.
//
// A refused record advances its subject's revision like an effective one. Every
// further copy of a record, effective or refused, is therefore void by its Base
// alone and the state needs no list of seen IDs. Otherwise a copy of a refused
// drain that arrived minutes later could take effect without its author's
// knowledge.
func (s *State) Apply(offset uint64, rec record.Record) Outcome {
	s.advanceOffset(offset)
	s.advanceClock(rec)
	s.recordTime = rec.Time
	defer func() { s.recordTime = time.Time{} }()
	s.checkMembersEnd(rec)
	out := Outcome{Offset: offset, ID: rec.ID, Kind: rec.Body.Kind(), Subject: rec.Subject}
	if status, reason := s.checkRevision(rec); status != Effective {
		out.Status, out.Reason = status, reason
		out.Current = s.Revision(rec.Subject)
		return out
	}
	reason := s.applyBody(rec)
	out.Status = Effective
	if reason != allowed {
		out.Status, out.Reason = Refused, string(reason)
	}
	s.updateRevision(rec, reason)
	out.Current = s.Revision(rec.Subject)
	return out
}

func (s *State) advanceOffset(offset uint64) {
	if offset <= s.Offset {
		panic(fmt.Sprintf("ledger: offset %d applied after %d", offset, s.Offset))
	}
	s.Offset = offset
	s.EntryHash = 0
	s.expireRetired()
}

// updateRevision sets the subject's revision to the record's offset. A refused
// creating record leaves a retired subject, which voids the record's copies.
func (s *State) updateRevision(rec record.Record, reason refusal) {
	if !checksBase(rec.Body) {
		return
	}
	h := Head{Revision: record.Revision(s.Offset), LastID: rec.ID}
	if live := s.liveHead(rec.Subject); live != nil {
		*live = h
		return
	}
	if reason != allowed {
		s.retire(rec.Subject, h)
	}
}

// checksBase reports whether the record must be based on its subject's current
// revision. Suspicions of several members about one member must not void each
// other.
func checksBase(b record.Body) bool {
	switch b.(type) {
	case record.MemberSuspect, record.MemberTrust, record.ClockWitness:
		return false
	}
	return true
}

// checkRevision returns Effective if the record was decided on the subject's
// current revision; otherwise the status and its reason.
func (s *State) checkRevision(rec record.Record) (Status, string) {
	h, exists := s.head(rec.Subject)
	if h.LastID == rec.ID && rec.ID != "" {
		return Duplicate, fmt.Sprintf("record %s already took its turn at offset %d", rec.ID, h.Revision)
	}
	if !checksBase(rec.Body) {
		return Effective, ""
	}
	if exists {
		if rec.Base != h.Revision {
			return Stale, fmt.Sprintf("%s is at revision %d, the record was decided on %d", rec.Subject, h.Revision, rec.Base)
		}
		return Effective, ""
	}
	if rec.Base != 0 {
		return Stale, fmt.Sprintf("%s does not exist (any more)", rec.Subject)
	}
	if rec.Seen >= s.Offset {
		return Stale, fmt.Sprintf("the record claims to have seen offset %d, which is not before its own", rec.Seen)
	}
	if rec.Seen+RetiredSpan < s.Offset {
		return Stale, fmt.Sprintf("the record arrived more than %d offsets after it was written", RetiredSpan)
	}
	if h.Revision != 0 && rec.Seen < uint64(h.Revision) {
		return Stale, fmt.Sprintf("%s was ended at offset %d, after this record was written", rec.Subject, h.Revision)
	}
	return Effective, ""
}

func (s *State) applyBody(rec record.Record) refusal {
	if reason := checkSubjectKind(rec); reason != allowed {
		return reason
	}
	switch rec.Subject.Kind {
	case record.SubjectService:
		return s.applyToService(rec)
	case record.SubjectVM:
		return s.applyToVM(rec)
	case record.SubjectWave:
		return s.applyToWave(rec)
	case record.SubjectMember:
		return s.applyToMember(rec)
	case record.SubjectJob:
		return s.applyToJob(rec)
	case record.SubjectClock:
		return allowed // only its time matters; see advanceClock
	}
	return noRule(rec)
}

func noRule(rec record.Record) refusal { return refusef("no rule for %s", rec.Body.Kind()) }

func (s *State) applyToService(rec record.Record) refusal {
	switch b := rec.Body.(type) {
	case record.DocumentPublish:
		return s.publishDocument(rec, b)
	case record.DocumentRemove:
		return s.removeService(rec)
	}
	return noRule(rec)
}

func (s *State) applyToVM(rec record.Record) refusal {
	switch b := rec.Body.(type) {
	case record.VMRegister:
		return s.registerVM(rec, b)
	case record.VMDrain:
		return s.drainVM(rec, b)
	case record.VMAdvance:
		return s.advanceVM(rec, b)
	case record.VMRedirect:
		return s.redirectVM(rec, b)
	case record.VMJoin:
		return s.joinVM(rec, b)
	case record.VMDown:
		return s.markVMDown(rec, b)
	case record.VMUp:
		return s.markVMUp(rec)
	case record.VMGone:
		return s.removeVM(rec)
	case record.VMQuarantine:
		return s.quarantineVM(rec, b)
	}
	return noRule(rec)
}

func (s *State) applyToWave(rec record.Record) refusal {
	switch b := rec.Body.(type) {
	case record.WaveStart:
		return s.startWave(rec, b)
	case record.WaveControl:
		return s.controlWave(rec, b)
	case record.WaveSkip:
		return s.skipWave(rec, b)
	}
	return noRule(rec)
}

func (s *State) applyToMember(rec record.Record) refusal {
	switch b := rec.Body.(type) {
	case record.MemberJoin:
		return s.joinMember(rec, b)
	case record.MemberLeave:
		return s.leaveMember(rec, b)
	case record.MemberRefresh:
		return s.refreshMember(rec, b)
	case record.MemberSuspect:
		return s.suspectMember(rec, b)
	case record.MemberTrust:
		return s.trustMember(rec, b)
	}
	return noRule(rec)
}

func (s *State) applyToJob(rec record.Record) refusal {
	switch b := rec.Body.(type) {
	case record.JobSubmit:
		return s.submitJob(rec, b)
	case record.JobPlace:
		return s.placeJob(rec, b)
	case record.JobEnd:
		return s.endJob(rec, b)
	case record.JobCancel:
		return s.cancelJob(rec, b)
	case record.JobPreempt:
		return s.preemptJob(rec, b)
	}
	return noRule(rec)
}

// checkSubjectKind refuses a body that does not belong to its subject's kind,
// for example a VM drain addressed to a service, which would advance the
// revision of an unrelated subject.
func checkSubjectKind(rec record.Record) refusal {
	want := bodySubject(rec.Body)
	if rec.Subject.Kind != want {
		return refusef("%s belongs to a %s, not to %s", rec.Body.Kind(), want, rec.Subject)
	}
	return allowed
}

func bodySubject(b record.Body) record.SubjectKind {
	switch b.(type) {
	case record.DocumentPublish, record.DocumentRemove:
		return record.SubjectService
	case record.WaveStart, record.WaveControl, record.WaveSkip:
		return record.SubjectWave
	case record.MemberJoin, record.MemberLeave, record.MemberRefresh, record.MemberSuspect, record.MemberTrust:
		return record.SubjectMember
	case record.JobSubmit, record.JobPlace, record.JobEnd, record.JobCancel, record.JobPreempt:
		return record.SubjectJob
	case record.ClockWitness:
		return record.SubjectClock
	}
	return record.SubjectVM
}
