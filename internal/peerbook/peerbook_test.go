package peerbook

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against a book that grows with the fleet, and against one that forgets the nodes seen last.
func TestOldestAddressesAreForgotten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New("self", rand.New(rand.NewPCG(1, 1)).IntN)
		for i := range 3 * maxEntries {
			b.Add(fmt.Sprint("node-", i), "self", "")
			time.Sleep(time.Millisecond)
		}
		all := b.Sample(4 * maxEntries)
		assert.Len(t, all, maxEntries)
		assert.NotContains(t, all, "self")
		assert.NotContains(t, all, "")
		assert.Contains(t, all, fmt.Sprint("node-", 2*maxEntries))
		assert.NotContains(t, all, fmt.Sprint("node-", 2*maxEntries-1))
	})
}

func TestSamplesAreDistinctAndReachAllAddresses(t *testing.T) {
	b := New("self", rand.New(rand.NewPCG(1, 1)).IntN)
	b.Add("a", "b", "c", "d", "e")
	seen := map[string]bool{}
	for range 50 {
		s := b.Sample(2)
		assert.Len(t, s, 2)
		assert.NotEqual(t, s[0], s[1])
		seen[s[0]], seen[s[1]] = true, true
	}
	assert.Len(t, seen, 5)
}
