package claim

import (
	"slices"
	"time"
)

// State is what an owner knows about the attempts under a key.
type State uint8

// States of a record. A higher state is stronger evidence of a run. Nodes
// exchange states as numbers.
const (
	// StateReleased: all attempts so far ended without a run.
	StateReleased State = iota
	// StateInProgress: an attempt holds the claim.
	StateInProgress
	// StateUnknown: an attempt may have run.
	StateUnknown
	// StateRan: an attempt ran.
	StateRan
)

// Record is what an owner keeps about one key.
type Record struct {
	Key         Key
	State       State
	Attempt     Attempt
	Fingerprint uint64
	// Until is the wall time after which an attempt in progress counts as unknown.
	Until time.Time
	// Reason explains StateUnknown.
	Reason Reason
	Answer *Answer
	// Released holds the latest attempts that ended without a run. A copy of their
	// request that arrives late must get no claim, because no holder would report
	// its end.
	Released []Attempt

	// handedOver is set once the record was handed over. Another owner may have a
	// newer record since.
	handedOver bool
}

// maxReleased limits Record.Released.
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
	r.Released = append(slices.Clone(r.Released), a) // copies that were handed over share the old slice
	if len(r.Released) > maxReleased {
		r.Released = r.Released[1:]
	}
}

// table holds records in memory, limited by their number and the bytes of
// answers.
type table struct {
	records map[Key]*Record
	// order lists the keys by arrival. Apart from clock differences, mint times
	// rise in the same order, so expire reads only its head.
	order []Key
	// answered lists the keys that have a kept answer, oldest first.
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

// keepAnswer stores a reply of up to maxOne bytes for retries and drops the
// oldest answers while all of them exceed maxAll bytes.
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

// expire drops up to limit records whose keys were minted before the horizon.
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
