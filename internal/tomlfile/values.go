package tomlfile

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// What the two value types accept, for messages.
const (
	durationForm = `a duration with its unit in quotes, such as "250ms" or "1h30m"`
	addressForm  = `an IP number and port in quotes, such as "10.0.0.1:7400"`
)

// Duration is a time.Duration written as a string with its unit ("250ms"). It
// is a struct because the decoder would take a bare integer for nanoseconds.
type Duration struct{ time.Duration }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return errors.Errorf("%q is not a duration, expected %s", text, durationForm)
	}
	d.Duration = parsed
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// Address is an IP number with a port. Host names are refused: a daemon learns
// its addresses from its settings only, and a name server that is down or stale
// would otherwise decide where requests go.
type Address struct{ netip.AddrPort }

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	parsed, err := ParseAddress(string(text))
	if err != nil {
		return err
	}
	*a = parsed
	return nil
}

// ParseAddress parses "IP:port"; IPv6 numbers stand in brackets.
func ParseAddress(text string) (Address, error) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return Address{}, errors.Errorf("%q is %s, expected %s", text, addressProblem(text), addressForm)
	}
	return Address{parsed}, nil
}

// addressProblem tells an operator which part of the text is no address.
func addressProblem(text string) string {
	if _, err := netip.ParseAddr(text); err == nil {
		return "without a port"
	}
	host, _ := splitPort(text)
	if _, err := netip.ParseAddr(host); err == nil {
		return "without a valid port"
	}
	if isHostName(host) {
		return "a host name"
	}
	return "not an address"
}

// splitPort cuts text at its last colon and strips brackets from the host.
func splitPort(text string) (host, port string) {
	host = text
	if i := strings.LastIndexByte(text, ':'); i >= 0 {
		host, port = text[:i], text[i+1:]
	}
	return strings.Trim(host, "[]"), port
}

// isHostName tells whether host holds a letter and only the characters of a
// host name.
func isHostName(host string) bool {
	hasLetter := false
	for _, r := range host {
		isLetter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		hasLetter = hasLetter || isLetter
		if !isLetter && (r < '0' || r > '9') && !strings.ContainsRune("-._", r) {
			return false
		}
	}
	return hasLetter
}
