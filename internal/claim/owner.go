package claim

import (
	"slices"
	"time"
)

// Instant is one reading of both clocks.
type Instant struct {
	// Wall is the time of day. The VMs agree on it within Config.Skew.
	Wall time.Time
	// Mono is the process's monotonic clock.
	Mono time.Duration
}

// Config holds the limits of an Owner. All nodes must use the same durations.
type Config struct {
	// Window is how long after its mint time a key may be used.
	Window time.Duration
	// Ahead is how far in the future a key may be minted.
	Ahead time.Duration
	// Skew is the largest difference between the clocks of two VMs.
	Skew time.Duration
	// Handover is how long the records of a removed member are awaited before they
	// count as lost.
	Handover time.Duration
	// MaxRecords is the maximum number of keys in memory.
	MaxRecords int
	// MaxAnswer and MaxAnswers limit the size of one kept reply and of all, in
	// bytes.
	MaxAnswer  int
	MaxAnswers int
}

// expireBatch is the maximum number of expired records dropped in one call.
const expireBatch = 16

// Authority decides whether a member has the right to grant claims.
type Authority interface {
	// Valid reports whether the member may grant claims at the given time.
	Valid(now Instant) bool
}

// Code is the outcome of a claim at its owner. Nodes exchange it as a number.
type Code uint8

// Codes. From CodeInProgress on, the claim must be retried, at this or another
// member.
const (
	CodeUnknown Code = iota
	CodeGranted
	CodeRan
	CodeNotRun
	// CodeInProgress: another attempt holds the claim.
	CodeInProgress
	// CodeNotOwner: by this member's state another member owns the key, or the
	// requesting holder is not a member.
	CodeNotOwner
	// CodeMoving: not all records of the key's range have been handed over yet.
	CodeMoving
	// CodeNoLease: this member may not grant at present.
	CodeNoLease
)

// Reply is an owner's answer to a claim.
type Reply struct {
	Code   Code
	Reason Reason
	Answer *Answer
	// Offset is the log offset of the membership that the owner used.
	Offset uint64
}

// Owner decides on the claims of the keys that one member owns. It is not safe
// for concurrent use.
type Owner struct {
	cfg       Config
	self      string
	authority Authority
	members   []string
	offset    uint64
	// retired is set once the member was removed or is leaving, and is never
	// reset.
	retired bool
	table   *table
	pending []pendingHandover
	floors  []Floor
	// droppedUntil is the mint time up to which this or an earlier owner may have
	// dropped records. Keys minted up to then are never granted, even if the clock
	// steps back.
	droppedUntil time.Time
}

// NewOwner returns the Owner of member self. It owns no key before Join.
func NewOwner(cfg Config, self string, authority Authority) *Owner {
	return &Owner{cfg: cfg, self: self, authority: authority, table: newTable()}
}

// Claim decides on an attempt. If its end is not reported by until, the attempt
// counts as lost.
//
// The order of the checks matters. A record of a run is true in any case. The
// next checks are those by which the records may be incomplete. Only after them
// does a missing record mean that nothing ran.
func (o *Owner) Claim(now Instant, req Request, attempt Attempt, until time.Time) Reply {
	o.expire(now)
	if o.owner(req.Key) != o.self || !contains(o.members, attempt.Holder) {
		return o.reply(CodeNotOwner, ReasonUnreachable)
	}
	rec := o.table.get(req.Key)
	if rec != nil && rec.State == StateRan {
		return o.answerFromRecord(now, rec, req, attempt)
	}
	if o.awaitsHandover(req.Key) {
		return o.reply(CodeMoving, ReasonMoving)
	}
	if rec != nil && (rec.State != StateReleased || rec.releasedBefore(attempt)) {
		return o.answerFromRecord(now, rec, req, attempt)
	}
	if refused := o.refusal(now, req.Key, rec == nil); refused != nil {
		return *refused
	}
	o.grant(rec, req, attempt, until)
	return o.reply(CodeGranted, ReasonNone)
}

// refusal returns the reply for a key that may not be granted, and nil
// otherwise.
func (o *Owner) refusal(now Instant, k Key, fresh bool) *Reply {
	minted := k.Minted()
	var r Reply
	switch {
	case minted.Before(now.Wall.Add(-o.cfg.Window)) || !minted.After(o.droppedUntil):
		r = o.reply(CodeUnknown, ReasonTooOld)
	case o.belowFloor(k):
		r = o.reply(CodeUnknown, ReasonOwnerLost)
	case o.retired || !o.authority.Valid(now):
		r = o.reply(CodeNoLease, ReasonUnreachable)
	case minted.After(now.Wall.Add(o.cfg.Ahead)):
		// The reply is not "not run": a member that was suspended with its clock may
		// have been replaced as owner since, and the key may have run.
		r = o.reply(CodeUnknown, ReasonTooNew)
	case fresh && len(o.table.records) >= o.cfg.MaxRecords:
		r = o.reply(CodeNotRun, ReasonFull)
	default:
		return nil
	}
	return &r
}

func (o *Owner) grant(rec *Record, req Request, attempt Attempt, until time.Time) {
	if rec == nil {
		rec = &Record{Key: req.Key}
		o.table.put(rec)
	}
	rec.State = StateInProgress
	rec.handedOver = false
	rec.Attempt = attempt
	rec.Fingerprint = req.Fingerprint
	rec.Until = until
}

// answerFromRecord returns the reply that follows from the record of an earlier
// attempt.
func (o *Owner) answerFromRecord(now Instant, rec *Record, req Request, attempt Attempt) Reply {
	if rec.Fingerprint != 0 && req.Fingerprint != 0 && rec.Fingerprint != req.Fingerprint {
		return o.reply(CodeUnknown, ReasonMismatch)
	}
	if rec.State == StateInProgress && rec.Attempt != attempt && now.Wall.After(rec.Until) {
		rec.State = StateUnknown
		rec.Reason = ReasonEndUnknown
	}
	switch rec.State {
	case StateRan:
		r := o.reply(CodeRan, ReasonNone)
		r.Answer = rec.Answer
		return r
	case StateInProgress:
		if rec.Attempt == attempt {
			return o.reply(CodeGranted, ReasonNone)
		}
		return o.reply(CodeInProgress, ReasonInProgress)
	case StateReleased:
		return o.reply(CodeNotRun, ReasonNone)
	}
	return o.reply(CodeUnknown, rec.Reason)
}

// Report records the end of an attempt. It returns false if another member owns
// the key; the report must then be sent to that member.
//
// A report for a key without a record is recorded, too: the owner that granted
// the claim may be lost, and the holder's report is still true.
func (o *Owner) Report(now Instant, res Result) bool {
	if o.owner(res.Key) != o.self {
		return false
	}
	o.expire(now)
	if !res.Key.Minted().After(o.droppedUntil) {
		return true
	}
	rec := o.table.get(res.Key)
	if rec == nil {
		rec = &Record{Key: res.Key, Attempt: res.Attempt}
		o.table.put(rec)
	}
	o.recordEnd(rec, res)
	return true
}

func (o *Owner) recordEnd(rec *Record, res Result) {
	current := rec.Attempt == res.Attempt
	switch {
	case res.End == EndRan:
		rec.State = StateRan
		rec.Attempt = res.Attempt
		o.table.keepAnswer(rec, res.Answer, o.cfg.MaxAnswer, o.cfg.MaxAnswers)
	case res.End == EndNotRun && current && rec.State != StateRan:
		rec.release(res.Attempt)
	case res.End == EndUnknown && current && rec.State != StateRan:
		rec.State = StateUnknown
		rec.Reason = ReasonEndUnknown
	}
}

// Counts returns the number of records and the number of those in progress.
func (o *Owner) Counts() (records, inProgress int) {
	for _, r := range o.table.records {
		if r.State == StateInProgress {
			inProgress++
		}
	}
	return len(o.table.records), inProgress
}

// Retire makes the member stop granting permanently, for example before a
// planned leave.
func (o *Owner) Retire() { o.retired = true }

// Members returns the members that the Owner uses, sorted, and the offset of
// the latest change applied.
func (o *Owner) Members() ([]string, uint64) { return slices.Clone(o.members), o.offset }

// OwnerOf returns the member that owns the key.
func (o *Owner) OwnerOf(key Key) string { return o.owner(key) }

func (o *Owner) owner(k Key) string { return ownerOf(o.members, k) }

func (o *Owner) reply(c Code, r Reason) Reply {
	return Reply{Code: c, Reason: r, Offset: o.offset}
}

// expire drops records of keys minted before the claim window. It keeps them
// for twice the clock skew longer: a new owner takes over droppedUntil, and one
// whose clock is slower must still admit every key inside its own window.
func (o *Owner) expire(now Instant) {
	o.advanceDropped(now.Wall.Add(-o.cfg.Window - 2*o.cfg.Skew))
	o.table.expire(o.droppedUntil, expireBatch)
}

func (o *Owner) advanceDropped(until time.Time) {
	if until.After(o.droppedUntil) {
		o.droppedUntil = until
	}
}

// InProgress reports whether an attempt other than the given one holds the
// claim on a key that this member owns.
func (o *Owner) InProgress(now Instant, k Key, attempt Attempt) bool {
	r := o.table.get(k)
	return o.owner(k) == o.self && r != nil && r.State == StateInProgress &&
		r.Attempt != attempt && !now.Wall.After(r.Until)
}
