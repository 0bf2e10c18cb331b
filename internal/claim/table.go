package claim

import (
	"slices"
	"time"
)

// State is what an owner knows of a key.
type State uint8

// States of a record. A higher one says more of a run.
const (
	// StateReleased: attempts under the key ended without a run.
	StateReleased State = iota
	// StateInProgress: an attempt holds the claim.
	StateInProgress
	// StateUnknown: an attempt may have run.
	StateUnknown
	// StateRan: an attempt ran.
	StateRan
)

// Record is an owner's memory of one key.
type Record struct {
	Key         Key
	State       State
	Attempt     Attempt
	Fingerprint uint64
	// Until is when an attempt in progress counts as unknown, by wall clock.
	Until time.Time
	// Reason says why the state is StateUnknown.
	Reason Reason
	Answer *Answer
	// Released holds the latest attempts that ended without a run. A copy of
	// their request that arrives late gets no claim: nobody would ever report
	// its end.
	Released []Attempt

	// handedOver is set once the record was handed over: by then another owner may
	// know better.
	handedOver bool
}

// maxReleased bounds Record.Released.
const maxReleased = 4

func (r *Record) releasedBefore(a Attempt) bool {
	for _, x := range r.Released {
		if x == a {
			return true
		}
	}
	return false
}

func (r *Record) release(a Attempt) {
	r.State = StateReleased
	if r.releasedBefore(a) {
		return
	}
	r.Released = append(slices.Clone(r.Released), a) // handed over copies share the old one
	if len(r.Released) > maxReleased {
		r.Released = r.Released[1:]
	}
}

// table holds records in memory, bounded in number and in bytes of answers.
type table struct {
	records map[Key]*Record
	// order lists keys as they came; mint times rise with it but for clock
	// differences, so expiry looks at its head only.
	order []Key
	// answered lists keys with a kept answer, oldest first.
	answered    []Key
	answerBytes int
}

func newTable() *table {
	return &table{records: map[Key]*Record{}}
}

func (t *table) get(k Key) *Record { return t.records[k] }

func (t *table) put(r *Record) {
	if _, ok := t.records[r.Key]; !ok {
		t.order = append(t.order, r.Key)
	}
	t.records[r.Key] = r
}

// keepAnswer stores a reply for retries and forgets the oldest ones over the bound.
func (t *table) keepAnswer(r *Record, a *Answer, maxOne, maxAll int) {
	if a == nil || r.Answer != nil || a.Size() > maxOne {
		return
	}
	r.Answer = a
	t.answered = append(t.answered, r.Key)
	t.answerBytes += a.Size()
	for t.answerBytes > maxAll && len(t.answered) > 0 {
		t.forgetAnswer(t.answered[0])
		t.answered = t.answered[1:]
	}
}

func (t *table) forgetAnswer(k Key) {
	r := t.records[k]
	if r == nil || r.Answer == nil {
		return
	}
	t.answerBytes -= r.Answer.Size()
	r.Answer = nil
}

// expire drops up to max records minted before the horizon.
func (t *table) expire(horizon time.Time, limit int) {
	for range limit {
		if len(t.order) == 0 || !t.order[0].Minted().Before(horizon) {
			return
		}
		t.forgetAnswer(t.order[0])
		delete(t.records, t.order[0])
		t.order = t.order[1:]
	}
}
