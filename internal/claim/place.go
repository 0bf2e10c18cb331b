package claim

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ownerOf returns the member that owns the key by rendezvous hashing, or ""
// without members. A member that joins or leaves moves only the keys that it
// gains or loses. Of equal scores, the lower name wins.
func ownerOf(members []string, key Key) string {
	best, bestScore := "", uint64(0)
	var d xxhash.Digest
	for _, m := range members {
		d.Reset()
		_, _ = d.WriteString(m)
		_, _ = d.WriteString(key.Service)
		_, _ = d.Write(key.ID[:])
		score := d.Sum64()
		if best == "" || score > bestScore || (score == bestScore && m < best) {
			best, bestScore = m, score
		}
	}
	return best
}

func contains(names []string, name string) bool { return slices.Contains(names, name) }
