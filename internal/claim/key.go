package claim

import (
	"encoding/hex"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/pkg/errors"
)

// ErrBadKey reports that a key is neither a ULID nor a version 7 UUID.
var ErrBadKey = errors.New("key is neither a ULID (26 characters) nor a version 7 UUID (36 characters)")

// Key identifies one request of a caller that must not be repeated. In both
// accepted notations the first 48 bits of the ID are the Unix time in
// milliseconds at which the caller minted the key. The zero Key is invalid.
type Key struct {
	// Service is the scope of the ID: equal IDs for two services are different
	// keys.
	Service string
	ID      [16]byte
}

// ParseKey parses a ULID or a version 7 UUID. Any error wraps ErrBadKey.
func ParseKey(service, text string) (Key, error) {
	switch len(text) {
	case ulid.EncodedSize:
		id, err := ulid.ParseStrict(strings.ToUpper(text))
		if err != nil {
			return Key{}, errors.Wrap(ErrBadKey, err.Error())
		}
		return Key{Service: service, ID: id}, nil
	case uuidSize:
		id, ok := parseUUIDv7(text)
		if !ok {
			return Key{}, errors.Wrap(ErrBadKey, "36 characters, but no version 7 UUID")
		}
		return Key{Service: service, ID: id}, nil
	}
	return Key{}, errors.Wrapf(ErrBadKey, "length %d", len(text))
}

// Minted returns the time at which the caller created the key, by the caller's
// clock.
func (k Key) Minted() time.Time { return ulid.ULID(k.ID).Timestamp().UTC() }

// String returns the service and the ID as a ULID.
func (k Key) String() string { return k.Service + "/" + ulid.ULID(k.ID).String() }

// Format of a UUID: 32 hexadecimal digits in groups of 8-4-4-4-12.
const (
	uuidSize    = 36
	uuidVersion = 7
)

func parseUUIDv7(text string) (id [16]byte, ok bool) {
	if text[8] != '-' || text[13] != '-' || text[18] != '-' || text[23] != '-' {
		return id, false
	}
	digits := text[:8] + text[9:13] + text[14:18] + text[19:23] + text[24:]
	if _, err := hex.Decode(id[:], []byte(digits)); err != nil {
		return id, false
	}
	version := id[6] >> 4
	variant := id[8] >> 6
	return id, version == uuidVersion && variant == 0b10
}
