package ledger

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Sizes in bytes of gzip's header, of its trailer (checksum and length) and of
// the two lengths of a stored block.
const (
	gzipHeader    = 10
	gzipTrailer   = 8
	storedLengths = 4
)

// A snapshot was truncated or corrupted in transit. Loading it must fail
// whichever byte is wrong: a node with a state that no other node has would
// base decisions on it.
func TestDamagedSnapshotsAreRefused(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 4, 4, "")
	data, err := EncodeSnapshot(h.state)
	require.NoError(t, err)
	offset, err := SnapshotOffset(data)
	require.NoError(t, err)
	require.Equal(t, h.state.Offset, offset)
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 0x10
		if s, err := DecodeSnapshot(damaged); err == nil {
			assert.Equal(t, mustDigest(t, h.state), mustDigest(t, s), "byte %d, unused by gzip, changes nothing", i)
			// The stream ends with an empty stored block. Some bits of its
			// first byte are padding up to the next byte, where the block's two
			// lengths begin.
			padded := len(data) - gzipTrailer - storedLengths - 1
			assert.True(t, i < snapshotHeaderSize+gzipHeader || i == padded, "byte %d of %d", i, len(data))
		} else {
			assert.ErrorIs(t, err, ErrSnapshot)
		}
		_, err := DecodeSnapshot(data[:i])
		assert.ErrorIs(t, err, ErrSnapshot)
	}
}

// A document was accepted by an older build that this build would refuse. A
// node of this build that starts from the snapshot must keep it in force;
// otherwise the service would disappear with an upgrade.
func TestSnapshotKeepsDocumentsThatThisBuildWouldRefuse(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 4, 4, "")
	svc := h.state.Services["p"]
	svc.Text = strings.Replace(svc.Text, "size = 4", "size = 1\nfuture_key = 3", 1)
	require.Equal(t, 1, mustRestore(t, h.state).Services["p"].Doc.Pool.Size)
	svc.Text = "["
	data, err := EncodeSnapshot(h.state)
	require.NoError(t, err)
	_, err = DecodeSnapshot(data)
	require.ErrorIs(t, err, ErrSnapshot)
}
