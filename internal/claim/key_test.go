package claim

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestParseKey(t *testing.T) {
	minted := time.UnixMilli(1_733_000_000_000).UTC()
	cases := []struct {
		text string
		ok   bool
	}{
		{"01JDZDJWG0ABCDEFGHJKMNPQRS", true},
		{"01jdzdjwg0abcdefghjkmnpqrs", true},
		{"01937dbb-9ca0-7abc-8def-0123456789ab", false}, // other mint time
		{"01937ed9-7200-7abc-8def-0123456789ab", true},
		{"01937ed9-7200-4abc-8def-0123456789ab", false}, // version 4
		{"01937ed9-7200-7abc-0def-0123456789ab", false}, // wrong variant
		{"01937ed9x7200-7abc-8def-0123456789ab", false},
		{"01JDZDJWG0ABCDEFGHJKMNPQRU", false}, // U is not a ULID digit
		{"81JDZEK780ABCDEFGHJKMNPQRS", false}, // more than 128 bits
		{"", false},
	}
	for _, c := range cases {
		k, err := ParseKey("orders", c.text)
		if err != nil {
			require.ErrorIs(t, err, ErrBadKey, c.text)
		}
		require.Equal(t, c.ok, err == nil && k.Minted().Equal(minted), "%s: %v %v", c.text, k.Minted(), err)
	}
}

// FuzzParseKey checks that a text is either refused as a bad key or parses to
// the same key in every notation. Two notations with different keys would let a
// retry run a second time.
func FuzzParseKey(f *testing.F) {
	f.Add("01JDZDJWG0ABCDEFGHJKMNPQRS")
	f.Add("01937ed9-7200-7abc-8def-0123456789ab")
	f.Add("")
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey("orders", text)
		if err != nil {
			require.ErrorIs(t, err, ErrBadKey)
			require.Zero(t, k)
			return
		}
		_, id, _ := strings.Cut(k.String(), "/")
		again, err := ParseKey("orders", id)
		require.NoError(t, err)
		require.Equal(t, k, again)
		lower, err := ParseKey("orders", strings.ToLower(text))
		require.NoError(t, err)
		require.Equal(t, k, lower)
	})
}
