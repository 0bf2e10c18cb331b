package claim

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
	"github.com/yuccadrift/yuccadrift/internal/record"
)

// The world is a model of several nodes, a log and a network that advances in
// ticks. Messages are delayed, duplicated or lost. Nodes are paused, suspended
// with their clocks, partitioned or killed. Records are delayed or duplicated,
// or held back by an outage of the log. The nodes run the types of this
// package.

const tick = 100 * time.Millisecond

var (
	modelClaim = Config{
		Window:     12 * time.Second,
		Ahead:      300 * time.Millisecond,
		Skew:       300 * time.Millisecond,
		Handover:   500 * time.Millisecond,
		MaxRecords: 1000,
		MaxAnswer:  100,
		MaxAnswers: 10000,
	}
	modelLease = LeaseConfig{
		Duration:    time.Second,
		Margin:      100 * time.Millisecond,
		PeerTimeout: time.Second,
		Skew:        300 * time.Millisecond,
	}
	epoch = time.UnixMilli(1_733_000_000_000).UTC()
)

// safeguard is a part of the design that a run of the model leaves out, to show
// that the model detects its absence.
type safeguard int

const (
	allSafeguards safeguard = iota
	noLease                 // an owner grants without a lease
	noWallClock             // a lease is checked by the monotonic clock only
	noFloor                 // a new owner grants keys of the lost owner
	lowFloor                // the floor does not cover the lost owner's last lease
	noHandover              // a joining owner starts without the records
	earlyPull               // an old owner hands over before it has applied the change
	hungryPull              // an old owner hands over before it has all records itself
	ackSuspected            // acks continue while a suspicion is on the log
	hastyTrust              // acks resume before the trust record was read back
	oldElectorate           // the lease ignores a refresh in flight
	jumpedChanges           // several changes of the membership are applied as one
	noAhead                 // an owner grants keys of any mint time
	noAskAll                // a lost owner's predecessors are not asked
	presentOwner            // an old owner computes the keys from its current members
	noFirstFloor            // the first member grants keys of earlier members
	silentLeave             // a leave does not state the end of the last lease acked
	numSafeguards
)

func (s safeguard) String() string {
	return [...]string{"all", "noLease", "noWallClock", "noFloor", "lowFloor", "noHandover", "earlyPull", "hungryPull",
		"ackSuspected", "hastyTrust", "oldElectorate", "jumpedChanges", "noAhead",
		"noAskAll", "presentOwner", "noFirstFloor", "silentLeave"}[s]
}

type message struct {
	due      int
	from, to *simNode
	deliver  func()
}

type proposal struct {
	by   *simNode
	rec  record.Record
	due  []int // one tick per copy
	sent bool
}

type simKey struct {
	key      Key
	runs     int
	attempts []*simAttempt
}

type phase int

const (
	asking phase = iota
	granted
	ended
)

type simAttempt struct {
	key          *simKey
	id           Attempt
	node         *simNode
	first        bool
	phase        phase
	giveUpTick   int // end of the calls
	call         int // number of the call in flight
	nextCallTick int
	mayBeGranted bool
	runTick      int
	report       *Result
	reportCalls  int
}

type world struct {
	rng        *rand.Rand
	missing    safeguard
	now        int
	log        []record.Record
	logDown    bool
	proposals  []*proposal
	nodes      []*simNode
	messages   []message
	keys       []*simKey
	ids        uint64
	violations []string

	grants, evictions, unknowns, handovers int
}

func newWorld(seed uint64, nodes int, missing safeguard) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), missing: missing}
	for i := range nodes {
		w.start(fmt.Sprintf("10.0.0.%d:1", i))
	}
	return w
}

func (w *world) chance(p float64) bool { return w.rng.Float64() < p }

func (w *world) id() (id [16]byte) {
	w.ids++
	binary.BigEndian.PutUint64(id[8:], w.ids)
	return id
}

func (w *world) fail(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("tick %d: ", w.now)+fmt.Sprintf(format, args...))
}

// send queues a message for delivery, occasionally twice.
func (w *world) send(from, to *simNode, deliver func()) {
	if from.cutFrom(to) {
		return
	}
	for copies := 0; copies == 0 || (copies == 1 && w.chance(0.1)); copies++ {
		due := w.now + w.rng.IntN(3)
		if w.chance(0.03) {
			due += w.rng.IntN(40)
		}
		w.messages = append(w.messages, message{due: due, from: from, to: to, deliver: deliver})
	}
}

// propose appends a record with a delay, possibly twice, as soon as the node
// runs and the log is reachable.
func (w *world) propose(by *simNode, name string, body record.Body) string {
	sub := record.Subject{Kind: record.SubjectMember, Name: name}
	id := fmt.Sprintf("%x", w.id())
	late := 4
	if w.chance(0.2) {
		late = 25
	}
	p := &proposal{by: by, due: []int{w.now + w.rng.IntN(late)}, rec: record.Record{
		ID: id, Subject: sub, Base: by.state.Revision(sub), Seen: by.state.Offset,
		Author: by.name, Time: by.clock().Wall, Body: body,
	}}
	if w.chance(0.3) {
		p.due = append(p.due, w.now+w.rng.IntN(60))
	}
	w.proposals = append(w.proposals, p)
	return id
}

func (w *world) appendDue() {
	if w.logDown {
		return
	}
	w.proposals = slices.DeleteFunc(w.proposals, func(p *proposal) bool {
		p.sent = p.sent || (p.by.running() && !p.by.logCut)
		p.due = slices.DeleteFunc(p.due, func(due int) bool {
			if !p.sent || due > w.now {
				return false
			}
			w.log = append(w.log, p.rec)
			return true
		})
		return len(p.due) == 0
	})
}

func (w *world) deliverDue() {
	var later []message
	due := w.messages
	w.messages = nil
	for _, m := range due {
		switch {
		case !m.to.alive || m.from.cutFrom(m.to):
		case m.due > w.now || !m.to.running():
			later = append(later, m)
		default:
			m.deliver()
		}
	}
	w.messages = append(w.messages, later...)
}

func (w *world) step() {
	w.now++
	for _, n := range w.nodes {
		n.tickClock()
	}
	w.appendDue()
	w.deliverDue()
	for _, n := range w.nodes {
		if n.running() {
			n.step()
		}
	}
	w.callers()
}

// callers sends new requests and retries.
func (w *world) callers() {
	if w.chance(0.5) {
		minted := epoch.Add(time.Duration(w.now) * tick).Add(time.Duration(w.rng.IntN(400)-200) * time.Millisecond)
		if w.chance(0.1) { // the clock of the caller is wrong
			minted = minted.Add(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
		}
		k := &simKey{key: Key{Service: "s", ID: w.id()}}
		ms := uint64(minted.UnixMilli())
		for i := range 6 {
			k.key.ID[i] = byte(ms >> (40 - 8*i))
		}
		w.keys = append(w.keys, k)
		w.attempt(k, w.chance(0.5))
	}
	for range 2 {
		if len(w.keys) == 0 {
			return
		}
		back := 1 + w.rng.IntN(min(len(w.keys), 10+w.rng.IntN(90)))
		k := w.keys[len(w.keys)-back]
		if first := k.attempts[0]; !first.first || first.phase == ended {
			w.attempt(k, false)
		}
	}
}

func (w *world) attempt(k *simKey, first bool) {
	n := w.nodes[w.rng.IntN(len(w.nodes))]
	a := &simAttempt{key: k, first: first, node: n, giveUpTick: w.now + 10 + w.rng.IntN(20), nextCallTick: w.now}
	k.attempts = append(k.attempts, a)
	if !n.alive || n.owner == nil || n.removedOrLeaving {
		a.phase = ended
		return
	}
	a.id = Attempt{Holder: n.name, ID: w.id()}
	n.attempts = append(n.attempts, a)
}

// toldNotRun records a violation if a caller gets "not run" for a request that
// ran.
func (w *world) toldNotRun(a *simAttempt, why Reason) {
	if a.key.runs > 0 {
		w.fail("%s: not-run (%s) after %d runs", a.key.key, why, a.key.runs)
	}
}

// backendRun counts a run at the backend server and records a violation at the
// second run of a key.
func (w *world) backendRun(a *simAttempt) {
	a.key.runs++
	if a.key.runs > 1 {
		w.fail("%s ran %d times, last by %s", a.key.key, a.key.runs, a.node.name)
	}
}

// start starts a node at an address. It joins once it has read the log.
func (w *world) start(address string) *simNode {
	n := &simNode{
		w: w, alive: true, address: address, state: ledger.New(),
		name: fmt.Sprintf("m%d", len(w.nodes)),
		skew: time.Duration(w.rng.IntN(300)-150) * time.Millisecond,
	}
	w.nodes = append(w.nodes, n)
	return n
}
