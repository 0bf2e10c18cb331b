package ledger

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// Sizes in bytes of gzip's own header, of its checksum and length at the end,
// and of the two lengths of a stored block.
const (
	gzipHeader    = 10
	gzipTrailer   = 8
	storedLengths = 4
)

// A snapshot was cut short or damaged on its way. Starting from it must fail
// whatever byte is wrong: a node with a state that no other node has would
// decide on it.
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
			assert.Equal(t, digest(t, h.state), digest(t, s), "byte %d, unused by gzip, changes nothing", i)
			// The stream ends with an empty stored block: some bits of its first byte
			// pad it to the next one, where the block's two lengths begin.
			padded := len(data) - gzipTrailer - storedLengths - 1
			assert.True(t, i < snapshotHeaderSize+gzipHeader || i == padded, "byte %d of %d", i, len(data))
		} else {
			assert.ErrorIs(t, err, ErrSnapshot)
		}
		_, err := DecodeSnapshot(data[:i])
		assert.ErrorIs(t, err, ErrSnapshot)
	}
}

// A document was accepted by an older build; this one would refuse it. A node of
// this build that starts from the snapshot must keep it in force: else the
// service would vanish with an upgrade.
func TestSnapshotKeepsDocumentsThatThisBuildWouldRefuse(t *testing.T) {
	h := newHistory(t)
	h.pool("p", 4, 4, "")
	svc := h.state.Services["p"]
	svc.Text = strings.Replace(svc.Text, "size = 4", "size = 1\nfuture_key = 3", 1)
	require.Equal(t, 1, restart(t, h.state).Services["p"].Doc.Pool.Size)
	svc.Text = "["
	data, err := EncodeSnapshot(h.state)
	require.NoError(t, err)
	_, err = DecodeSnapshot(data)
	require.ErrorIs(t, err, ErrSnapshot)
}
