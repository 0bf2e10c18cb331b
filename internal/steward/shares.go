package steward

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccadrift/yuccadrift/internal/ledger"
)

// shares divides the work among the stewards by rendezvous hashing. It only
// saves work: two stewards that do the same do no harm, since the fold lets one
// decision take effect and the platform carries out an operation ID once.
type shares struct {
	self string

	mu    sync.Mutex
	nodes []string
	since map[string]time.Time // when a key's work was first seen undone
}

// takeoverAfter is how long the work of a better placed steward may lie undone
// before the next one does it, as after that steward's death.
const takeoverAfter = 3 * time.Second

func newShares(self string) *shares {
	return &shares{self: self, nodes: []string{self}, since: map[string]time.Time{}}
}

// follow takes the stewards to share with: the peers that are there, or, when
// none are set, the nodes of the folded membership, since each entry VM runs an
// entry process, which is a member, and a steward.
func (s *shares) follow(st *ledger.State, peers Peers) {
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
	s.nodes = nodes
}

// rank returns how many stewards come before this one for the key.
func (s *shares) rank(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := weight(s.self, key)
	n := 0
	for _, node := range s.nodes {
		if w := weight(node, key); w > own || (w == own && node > s.self) {
			n++
		}
	}
	return n
}

func weight(node, key string) uint64 { return xxhash.Sum64String(node + "\x00" + key) }

// mine reports whether work that is due under item falls to this steward now.
// item names the work and the revision that it was decided on, so that it is
// new after every change.
func (s *shares) mine(key, item string, now time.Time) bool {
	rank := s.rank(key)
	if rank == 0 {
		return true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	first, ok := s.since[item]
	if !ok {
		s.since[item] = now
		return false
	}
	return now.Sub(first) >= time.Duration(rank)*takeoverAfter
}

// forget drops items first seen before the time.
func (s *shares) forget(before time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for item, first := range s.since {
		if first.Before(before) {
			delete(s.since, item)
		}
	}
}
