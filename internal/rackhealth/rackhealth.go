// Package rackhealth decides whether a rack of workers is to be trusted with work.
//
// A rack is a failure domain: a lost switch or power feed silences all its workers at once. A
// Tracker compares the workers of one rack with those of the others. Two workers that fall silent
// together cast doubt on their rack, so that the rest of it should be asked. Several silent workers
// with hardly any that answers make the rack suspect. A worker of a suspect rack is admitted by its
// own answers, once it has answered for a while, and the rack is trusted again when most of its
// workers have.
package rackhealth

import (
	"maps"
	"slices"
	"time"
)

const (
	// minMembers is the number of workers from which a rack is tracked. The silence of fewer shows
	// no common cause.
	minMembers = 4
	// minSilence is the least time for which an answer must be overdue for its worker to count as
	// silent: many times the round trip of an order. It is delayFactor times the usual delay of answers
	// if that is more, as on an observer that is late itself.
	minSilence  = 60 * time.Millisecond
	delayFactor = 5
	// commonCauseWindow is the longest time between the silences of workers that one cause explains:
	// an idle answer may take a second, and its delay is noticed a little later.
	commonCauseWindow = 1500 * time.Millisecond
	// minDoubtful silent workers cast doubt on a rack, minSuspect make it suspect.
	minDoubtful, minSuspect = 2, 3
	// minSilentShare is the least share of silent workers among those that were asked lately.
	minSilentShare = 0.6
	// maxSilentElsewhere is the share of silent workers on other racks above which the cause is not
	// the rack: the observer may be slow, or cut off itself.
	maxSilentElsewhere = 0.25
	// minWitnesses is the number of workers on other racks that must have answered what was sent after the
	// first silence. Answers to earlier orders show nothing on an observer that has become late or is cut off.
	minWitnesses = 2
	// minDoubtTime is how long a rack is doubtful before it may become suspect, so that its other
	// workers can answer.
	minDoubtTime = 60 * time.Millisecond
	// doubtTimeout is how long a doubt lasts without further silence.
	doubtTimeout = 500 * time.Millisecond
	// trustedShare is the share of members with a proof above which a suspect rack is trusted again.
	trustedShare = 0.75
)

const (
	// baseProofTime is how long a worker of a suspect rack must answer before it is admitted. It
	// doubles with each suspicion within flapMemory, up to maxProofTime.
	baseProofTime = 250 * time.Millisecond
	maxProofTime  = time.Second
	flapMemory    = 20 * time.Second
)

// State is the state of a rack.
type State int

// States of a rack.
const (
	Trusted  State = iota
	Doubtful       // its workers should be asked
	Suspect        // only workers with a proof are admitted
)

// Member is what the observer knows of one worker of a rack.
type Member struct {
	ID          string
	LastHeardAt time.Time // of its latest answer, zero if there was none
	AnsweredAsk time.Time // when the latest of its answered orders and polls was sent
	// OverdueSince is since when an answer has been due, zero if none is due or the worker has been
	// heard since.
	OverdueSince time.Time
}

// isSilent reports whether an answer was due at or before the given time and has not come.
func (m Member) isSilent(dueBefore time.Time) bool {
	return !m.OverdueSince.IsZero() && !m.OverdueSince.After(dueBefore)
}

// Change is a change of a rack's state to Suspect or back to Trusted.
type Change struct {
	Rack            string
	State           State
	Silent, Members int           // workers of the rack
	Lasted          time.Duration // of a suspicion that has ended
}

// Tracker holds the states of racks. It is not safe for concurrent use.
type Tracker struct {
	racks map[string]*rack
	// unreliableAt is when several racks were silent last. Silence that began before shows nothing of a rack:
	// after a partition of the observer, some workers are asked again earlier than others.
	unreliableAt time.Time
}

type rack struct {
	state State
	since time.Time // start of the state
	// doubtConfirmedAt is when a doubtful rack last had the silence that casts doubt.
	doubtConfirmedAt time.Time
	answeringSince   map[string]time.Time // of a suspect rack's members, by ID
	proofTime        time.Duration
	lastTrustedAt    time.Time // when the last suspicion ended
}

// New returns a Tracker that trusts all racks.
func New() *Tracker { return &Tracker{racks: map[string]*rack{}} }

// Racks are the workers of each rack, by the rack's name.
type Racks map[string][]Member

// counts are the members of a rack by what is known of them. together are the silent ones that fell
// silent within commonCauseWindow of the last of them, the first at firstSilence.
type counts struct {
	members, silent, together, heard int
	firstSilence                     time.Time
	// witnesses are members of other racks that answered what was sent after firstSilence.
	witnesses int
}

// Observe updates the states of all racks and returns those that have become suspect or trusted.
// answerDelay is the usual time from an order to its answer.
func (t *Tracker) Observe(racks Racks, answerDelay time.Duration, now time.Time) []Change {
	return t.observe(racks, now.Add(-max(minSilence, delayFactor*answerDelay)), now)
}

// ObserveAnswers is Observe for an observer that may have answers unread: no worker counts as silent, and
// those that have answered get their proofs.
func (t *Tracker) ObserveAnswers(racks Racks, now time.Time) []Change {
	return t.observe(racks, time.Time{}, now)
}

// observe counts the workers as silent whose answers were due at or before dueBefore.
func (t *Tracker) observe(racks Racks, dueBefore, now time.Time) []Change {
	var total counts
	silentRacks := 0
	byRack := make(map[string]counts, len(racks))
	for name, members := range racks {
		n := countMembers(members, dueBefore, now)
		byRack[name] = n
		if t.State(name) == Suspect {
			continue // its silence is explained
		}
		total.silent += n.silent
		total.heard += n.heard
		if n.members >= minMembers && n.isMostlySilent(minDoubtful) {
			silentRacks++
		}
	}
	if silentRacks > 1 {
		t.unreliableAt = now
	}
	var changes []Change
	for _, name := range slices.Sorted(maps.Keys(racks)) {
		n, members := byRack[name], racks[name]
		if n.silent >= minDoubtful {
			n.witnesses = countWitnesses(racks, name, n.firstSilence)
		}
		elsewhere := counts{silent: total.silent - n.silent, heard: total.heard - n.heard}
		if change, ok := t.observeRack(name, members, n, elsewhere, dueBefore, now); ok {
			changes = append(changes, change)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(t.racks)) {
		r, members := t.racks[name], len(racks[name])
		if members >= minMembers {
			continue
		}
		delete(t.racks, name)
		if r.state == Suspect {
			changes = append(changes, Change{Rack: name, State: Trusted, Silent: byRack[name].silent, Members: members, Lasted: now.Sub(r.since)})
		}
	}
	return changes
}

// countMembers counts the silent members and those that were heard since the first of them fell
// silent, or lately if none did.
func countMembers(members []Member, dueBefore, now time.Time) counts {
	n := counts{members: len(members)}
	var last time.Time
	for _, m := range members {
		if m.isSilent(dueBefore) {
			n.silent++
			if m.OverdueSince.After(last) {
				last = m.OverdueSince
			}
		}
	}
	first := now
	for _, m := range members {
		if m.isSilent(dueBefore) && last.Sub(m.OverdueSince) <= commonCauseWindow {
			n.together++
			if m.OverdueSince.Before(first) {
				first = m.OverdueSince
			}
		}
	}
	n.firstSilence = first
	heardFrom := now.Add(-commonCauseWindow)
	if n.silent > 0 && first.After(heardFrom) {
		heardFrom = first
	}
	for _, m := range members {
		if !m.isSilent(dueBefore) && m.LastHeardAt.After(heardFrom) {
			n.heard++
		}
	}
	return n
}

// countWitnesses counts the members of other racks that answered what was sent after since.
func countWitnesses(racks Racks, except string, since time.Time) int {
	n := 0
	for name, members := range racks {
		if name == except {
			continue
		}
		for _, m := range members {
			if m.AnsweredAsk.After(since) {
				n++
			}
		}
	}
	return n
}

// isMostlySilent reports whether least members or more fell silent together and most of those that were asked
// lately are silent.
func (n counts) isMostlySilent(least int) bool {
	return n.together >= least && float64(n.silent) >= minSilentShare*float64(n.silent+n.heard)
}

// hasCommonSilence reports whether least members or more fell silent together and most of those that
// were asked lately are silent, while most workers elsewhere answer.
func hasCommonSilence(n, elsewhere counts, least int) bool {
	return n.isMostlySilent(least) && elsewhere.heard > 0 && float64(elsewhere.silent) <= maxSilentElsewhere*float64(elsewhere.silent+elsewhere.heard)
}

func (t *Tracker) observeRack(name string, members []Member, n, elsewhere counts, dueBefore, now time.Time) (Change, bool) {
	r := t.racks[name]
	if r == nil {
		if n.members < minMembers || n.silent < minDoubtful {
			return Change{}, false
		}
		r = &rack{}
		t.racks[name] = r
	}
	switch r.state {
	case Trusted:
		if hasCommonSilence(n, elsewhere, minDoubtful) {
			r.state, r.since, r.doubtConfirmedAt = Doubtful, now, now
		}
	case Doubtful:
		switch {
		case hasCommonSilence(n, elsewhere, minSuspect) && n.witnesses >= minWitnesses && n.firstSilence.After(t.unreliableAt) && now.Sub(r.since) >= minDoubtTime:
			r.suspect(now)
			return Change{Rack: name, State: Suspect, Silent: n.silent, Members: n.members}, true
		case hasCommonSilence(n, elsewhere, minDoubtful):
			r.doubtConfirmedAt = now
		case now.Sub(r.doubtConfirmedAt) >= doubtTimeout:
			r.state = Trusted
		}
	case Suspect:
		if r.collectProofs(members, dueBefore, now) {
			lasted := now.Sub(r.since)
			r.state, r.lastTrustedAt, r.answeringSince = Trusted, now, nil
			return Change{Rack: name, State: Trusted, Silent: n.silent, Members: n.members, Lasted: lasted}, true
		}
	}
	return Change{}, false
}

// suspect makes the rack suspect. A rack that flaps needs longer proofs each time.
func (r *rack) suspect(now time.Time) {
	if r.proofTime > 0 && now.Sub(r.lastTrustedAt) < flapMemory {
		r.proofTime = min(2*r.proofTime, maxProofTime)
	} else {
		r.proofTime = baseProofTime
	}
	r.state, r.since, r.answeringSince = Suspect, now, map[string]time.Time{}
}

// collectProofs records which members answer, and reports whether trustedShare of them have a proof.
func (r *rack) collectProofs(members []Member, dueBefore, now time.Time) bool {
	proven := 0
	for _, m := range members {
		_, answers := r.answeringSince[m.ID]
		switch {
		case m.isSilent(dueBefore):
			delete(r.answeringSince, m.ID)
		case !answers && m.LastHeardAt.After(r.since):
			r.answeringSince[m.ID] = m.LastHeardAt
		}
		if r.hasProof(m.ID, now) {
			proven++
		}
	}
	return float64(proven) >= trustedShare*float64(len(members))
}

func (r *rack) hasProof(id string, now time.Time) bool {
	since, ok := r.answeringSince[id]
	return ok && now.Sub(since) >= r.proofTime
}

// State returns the state of a rack.
func (t *Tracker) State(name string) State {
	if r := t.racks[name]; r != nil {
		return r.state
	}
	return Trusted
}

// HasDoubt reports whether a rack is doubtful, so that workers of other racks should be asked, too.
func (t *Tracker) HasDoubt() bool {
	for _, r := range t.racks {
		if r.state == Doubtful {
			return true
		}
	}
	return false
}

// Admits reports whether a worker of a rack may get work.
func (t *Tracker) Admits(name, id string, now time.Time) bool {
	r := t.racks[name]
	return r == nil || r.state != Suspect || r.hasProof(id, now)
}

// Answers reports whether a worker of a suspect rack has answered since the suspicion began, and
// true for a worker of another rack.
func (t *Tracker) Answers(name, id string) bool {
	r := t.racks[name]
	if r == nil || r.state != Suspect {
		return true
	}
	_, ok := r.answeringSince[id]
	return ok
}
