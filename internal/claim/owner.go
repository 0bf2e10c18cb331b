package claim

import (
	"slices"
	"time"
)

// Instant is one reading of both clocks.
type Instant struct {
	// Wall is the time of day. VMs agree on it within Config.Skew.
	Wall time.Time
	// Mono is a clock of this process that never steps.
	Mono time.Duration
}

// Config bounds an Owner. All nodes must use equal durations.
type Config struct {
	// Window is for how long after its mint time a key may be used.
	Window time.Duration
	// Ahead is how far in the future a key may be minted.
	Ahead time.Duration
	// Skew is the largest difference between the clocks of two VMs.
	Skew time.Duration
	// Handover is for how long the claims of a removed member are awaited from
	// it before they count as lost.
	Handover time.Duration
	// MaxRecords bounds the keys in memory.
	MaxRecords int
	// MaxAnswer and MaxAnswers bound one kept reply and all of them, in bytes.
	MaxAnswer  int
	MaxAnswers int
}

// expireBatch is how many expired records one call drops at most.
const expireBatch = 16

// Authority tells whether the member may grant claims now.
type Authority interface {
	Valid(now Instant) bool
}

// Code is an owner's answer to a claim.
type Code uint8

// Codes. All but the first four mean "ask again or elsewhere".
const (
	CodeUnknown Code = iota
	CodeGranted
	CodeRan
	CodeNotRun
	// CodeInProgress: another attempt holds the claim.
	CodeInProgress
	// CodeNotOwner: by the member's state another one owns the key, or the
	// asking member is none.
	CodeNotOwner
	// CodeMoving: the key's claims have not all arrived yet.
	CodeMoving
	// CodeNoLease: the member may not grant at present.
	CodeNoLease
)

// Reply is an owner's answer to a claim.
type Reply struct {
	Code   Code
	Reason Reason
	Answer *Answer
	// Offset is the membership that the owner answered by.
	Offset uint64
}

// Owner is one member's part in granting claims. It is not safe for concurrent
// use.
type Owner struct {
	cfg       Config
	self      string
	authority Authority
	members   []string
	offset    uint64
	// retired is set once the member was removed or is leaving; it is final.
	retired bool
	table   *table
	pending []pendingHandover
	floors  []Floor
	// droppedUntil is the mint time up to which records may have been dropped, here
	// or by an old owner. No such key is granted, whatever the clock says later.
	droppedUntil time.Time
}

// NewOwner returns the Owner of member self, which owns nothing before Join.
func NewOwner(cfg Config, self string, authority Authority) *Owner {
	return &Owner{cfg: cfg, self: self, authority: authority, table: newTable()}
}

// Claim decides on an attempt. until is when the attempt counts as lost if its
// end was not reported.
//
// The order of the checks matters. What is remembered as run is true whatever
// else is going on. Next come the reasons for which this memory may be
// incomplete; only then may a missing record mean that nothing ran.
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
	if no := o.refusal(now, req.Key, rec == nil); no != nil {
		return *no
	}
	o.grant(rec, req, attempt, until)
	return o.reply(CodeGranted, ReasonNone)
}

// refusal returns the answer to a key that may not be granted, nil otherwise.
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
		// Not "not run": a member that was suspended, with its clock, may have
		// been replaced as owner since, and the key may have run.
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

// answerFromRecord answers from the record of an earlier attempt.
func (o *Owner) answerFromRecord(now Instant, rec *Record, req Request, attempt Attempt) Reply {
	if rec.Fingerprint != 0 && req.Fingerprint != 0 && rec.Fingerprint != req.Fingerprint {
		return o.reply(CodeUnknown, ReasonMismatch)
	}
	if rec.State == StateInProgress && rec.Attempt != attempt && now.Wall.After(rec.Until) {
		rec.State = StateUnknown
		rec.Reason = ReasonReported
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

// Report takes the end of an attempt. It returns false when another member owns
// the key, which must then get the report.
//
// A report without a record is kept too: the owner that granted the claim may
// be gone, and what its holder says is true all the same.
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
		rec.Reason = ReasonReported
	}
}

// Counts returns the number of records and of those in progress.
func (o *Owner) Counts() (records, inProgress int) {
	for _, r := range o.table.records {
		if r.State == StateInProgress {
			inProgress++
		}
	}
	return len(o.table.records), inProgress
}

// Retire makes the member stop granting for good, as before a planned leave.
func (o *Owner) Retire() { o.retired = true }

// Members returns the members that the Owner goes by, sorted, and the offset.
func (o *Owner) Members() ([]string, uint64) { return slices.Clone(o.members), o.offset }

// OwnerOf returns the member that owns the key.
func (o *Owner) OwnerOf(key Key) string { return o.owner(key) }

func (o *Owner) owner(k Key) string { return ownerOf(o.members, k) }

func (o *Owner) reply(c Code, r Reason) Reply {
	return Reply{Code: c, Reason: r, Offset: o.offset}
}

// expire drops records that lie before the claim window. It leaves the clock
// difference out of account, so that a new owner whose clock is slower still
// admits every key inside its own window.
func (o *Owner) expire(now Instant) {
	o.advanceDropped(now.Wall.Add(-o.cfg.Window - 2*o.cfg.Skew))
	o.table.expire(o.droppedUntil, expireBatch)
}

func (o *Owner) advanceDropped(until time.Time) {
	if until.After(o.droppedUntil) {
		o.droppedUntil = until
	}
}

// InProgress reports whether another attempt than the given one holds the claim
// on a key that this member owns.
func (o *Owner) InProgress(now Instant, k Key, attempt Attempt) bool {
	r := o.table.get(k)
	return o.owner(k) == o.self && r != nil && r.State == StateInProgress &&
		r.Attempt != attempt && !now.Wall.After(r.Until)
}
