package steward

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// workShares divides the work among the stewards by rendezvous hashing. It only
// saves work: two stewards that do the same do no harm, since the fold lets one
// decision take effect and the platform carries out an operation ID once.
type workShares struct {
	self string

	mu                sync.Mutex
	nodes             []string
	firstSeen         map[string]time.Time // when a key's work was first seen undone
	presumedGoneUntil map[string]time.Time // until when a node counts as gone
	firstByKey        map[string]bool      // by key: whether this steward comes first among nodes
}

// Times of taking over the work of a steward that seems to be gone.
const (
	// takeoverAfter is how long the work of a better placed steward may lie
	// undone before the next one does it.
	takeoverAfter = 3 * time.Second
	// presumedGoneFor is for how long a steward whose work was taken over is passed
	// over, so that the wait comes once and not with every step.
	presumedGoneFor = 30 * time.Second
)

func newWorkShares(self string) *workShares {
	return &workShares{self: self, nodes: []string{self}, firstSeen: map[string]time.Time{}, presumedGoneUntil: map[string]time.Time{}, firstByKey: map[string]bool{}}
}

// updateNodes takes the stewards to share with: the peers that are there, or, when
// none are set, the nodes of the folded membership, since each entry VM runs an
// entry process, which is a member, and a steward.
func (s *workShares) updateNodes(st *ledger.State, peers Peers) {
	others := peers.Nodes()
	if !peers.Configured() {
		for _, name := range st.MemberNames() {
			others = append(others, st.Members[name].Node)
		}
	}
	nodes := []string{s.self}
	for _, node := range others {
		if !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Equal(nodes, s.nodes) {
		s.nodes = nodes
		clear(s.firstByKey)
	}
}

// higherRanked returns the stewards that come before this one for the key.
func (s *workShares) higherRanked(key string, now time.Time) []string {
	own := rendezvousWeight(s.self, key)
	var nodes []string
	for _, node := range s.nodes {
		if w := rendezvousWeight(node, key); w > own && !now.Before(s.presumedGoneUntil[node]) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// untilNextTurn returns how long it is to this steward's next turn, when the stewards take
// turns of the given length in the order of their names. It goes by the clock:
// one that is wrong makes two turns fall together, no more.
func (s *workShares) untilNextTurn(now time.Time, length time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := 0
	for _, node := range s.nodes {
		if node < s.self {
			before++
		}
	}
	cycle := time.Duration(len(s.nodes)) * length
	wait := (time.Duration(before)*length - time.Duration(now.UnixNano())%cycle + cycle) % cycle
	if wait == 0 {
		return cycle
	}
	return wait
}

// rank returns how many living stewards come before this one for the key.
func (s *workShares) rank(key string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.higherRanked(key, now))
}

// isFirst reports whether no living steward comes before this one for the key. It
// remembers its answers: the health checks ask for every VM at each interval.
func (s *workShares) isFirst(key string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, until := range s.presumedGoneUntil {
		if now.Before(until) {
			return len(s.higherRanked(key, now)) == 0
		}
	}
	first, ok := s.firstByKey[key]
	if !ok {
		first = len(s.higherRanked(key, now)) == 0
		s.firstByKey[key] = first
	}
	return first
}

func rendezvousWeight(node, key string) uint64 { return xxhash.Sum64String(node + "\x00" + key) }

// claim reports whether work that is due under item falls to this steward now.
// item names the work and the revision that it was decided on, so that it is
// new after every change.
func (s *workShares) claim(key, item string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.higherRanked(key, now)
	if len(before) == 0 {
		return true
	}
	first, ok := s.firstSeen[item]
	if !ok {
		s.firstSeen[item] = now
		return false
	}
	if now.Sub(first) < time.Duration(len(before))*takeoverAfter {
		return false
	}
	for _, node := range before {
		s.presumedGoneUntil[node] = now.Add(presumedGoneFor)
	}
	return true
}

// dropBefore drops items first seen before the time.
func (s *workShares) dropBefore(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for item, first := range s.firstSeen {
		if first.Before(before) {
			delete(s.firstSeen, item)
		}
	}
}
