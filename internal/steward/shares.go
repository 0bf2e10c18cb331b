package steward

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// workShares divides the work among the stewards by rendezvous hashing. It only
// avoids duplicate work. Two stewards that do the same work are harmless: the
// fold lets one decision take effect, and the platform carries out an operation
// ID once.
type workShares struct {
	self string

	mu                sync.Mutex
	nodes             []string
	firstSeen         map[string]time.Time // by item: when its work was first seen undone
	presumedGoneUntil map[string]time.Time // by node
	firstByKey        map[string]bool      // by key: whether this steward ranks first
}

// Times of taking over the work of a steward that appears to be gone.
const (
	// takeoverAfter is how long work may remain undone, for each steward that
	// ranks higher, before this steward does it.
	takeoverAfter = 3 * time.Second
	// presumedGoneFor is how long a steward is skipped after its work was taken
	// over, so that only the first step waits for it.
	presumedGoneFor = 30 * time.Second
)

func newWorkShares(self string) *workShares {
	return &workShares{self: self, nodes: []string{self}, firstSeen: map[string]time.Time{}, presumedGoneUntil: map[string]time.Time{}, firstByKey: map[string]bool{}}
}

// updateNodes sets the stewards that share the work: the live peers, or, if no
// peers are configured, the nodes of the folded membership. Each entry VM runs
// a steward and an entry process, which is a member.
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

// higherRanked returns the stewards that rank higher than this one for the key.
// It must be called with mu held.
func (s *workShares) higherRanked(key string, now time.Time) []string {
	ownWeight := rendezvousWeight(s.self, key)
	var nodes []string
	for _, node := range s.nodes {
		if w := rendezvousWeight(node, key); w > ownWeight && !now.Before(s.presumedGoneUntil[node]) {
			nodes = append(nodes, node)
		}
	}
	return nodes
}

// untilNextTurn returns the time until this steward's next turn. The stewards
// take turns of the given length in the order of their names, by the wall
// clock: a wrong clock only makes two turns overlap.
func (s *workShares) untilNextTurn(now time.Time, length time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	preceding := 0
	for _, node := range s.nodes {
		if node < s.self {
			preceding++
		}
	}
	cycle := time.Duration(len(s.nodes)) * length
	wait := (time.Duration(preceding)*length - time.Duration(now.UnixNano())%cycle + cycle) % cycle
	if wait == 0 {
		return cycle
	}
	return wait
}

// rank returns the number of live stewards that rank higher for the key.
func (s *workShares) rank(key string, now time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.higherRanked(key, now))
}

// isFirst reports whether no live steward ranks higher for the key. It caches
// its results, since the health checks call it for every VM at each interval.
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

// responsibleFor reports whether the work identified by item falls to this
// steward now. item names the work and the revision that it was decided on, so
// each change makes a new item.
func (s *workShares) responsibleFor(key, item string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ranked := s.higherRanked(key, now)
	if len(ranked) == 0 {
		return true
	}
	firstSeen, ok := s.firstSeen[item]
	if !ok {
		s.firstSeen[item] = now
		return false
	}
	if now.Sub(firstSeen) < time.Duration(len(ranked))*takeoverAfter {
		return false
	}
	for _, node := range ranked {
		s.presumedGoneUntil[node] = now.Add(presumedGoneFor)
	}
	return true
}

// dropBefore drops the items that were first seen before the given time.
func (s *workShares) dropBefore(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for item, first := range s.firstSeen {
		if first.Before(before) {
			delete(s.firstSeen, item)
		}
	}
}
