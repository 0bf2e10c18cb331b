// Package peerbook remembers addresses of other nodes, so that a node can reach some of them while
// it can't read from the store who they are.
package peerbook

import (
	"slices"
	"sync"
	"time"
)

// maxEntries bounds the remembered nodes. Of so many, some survive any usual loss.
const maxEntries = 64

// Book holds the addresses that were seen last. It is safe for concurrent use.
type Book struct {
	self string
	intN func(n int) int // returns a random number below n

	mu       sync.Mutex
	lastSeen map[string]time.Time // by address
}

// New returns an empty book of the node at address self. intN returns a random number below its
// argument and must be safe for concurrent use.
func New(self string, intN func(n int) int) *Book {
	return &Book{self: self, intN: intN, lastSeen: map[string]time.Time{}}
}

// Add remembers addresses. If the book is full, the ones that were seen longest ago are forgotten.
func (b *Book) Add(addresses ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := time.Now()
	for _, a := range addresses {
		if a == "" || a == b.self {
			continue
		}
		if _, known := b.lastSeen[a]; !known && len(b.lastSeen) >= maxEntries {
			b.forgetOldest()
		}
		b.lastSeen[a] = now
	}
}

func (b *Book) forgetOldest() {
	oldest := ""
	for a, seen := range b.lastSeen {
		if oldest == "" || seen.Before(b.lastSeen[oldest]) {
			oldest = a
		}
	}
	delete(b.lastSeen, oldest)
}

// Sample returns up to n of the addresses, drawn at random.
func (b *Book) Sample(n int) []string {
	b.mu.Lock()
	all := make([]string, 0, len(b.lastSeen))
	for a := range b.lastSeen {
		all = append(all, a)
	}
	b.mu.Unlock()
	slices.Sort(all) // the draw then depends on intN alone
	for i := range min(n, len(all)) {
		j := i + b.intN(len(all)-i)
		all[i], all[j] = all[j], all[i]
	}
	return all[:min(n, len(all))]
}
