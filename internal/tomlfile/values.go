package tomlfile

import (
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Descriptions of the accepted values, for messages.
const (
	durationForm = `a duration with its unit in quotes, such as "250ms" or "1h30m"`
	addressForm  = `an IP number and port in quotes, such as "10.0.0.1:7400"`
)

// Duration is a time.Duration that is written as a string with a unit, such as
// "250ms". It is a struct because the decoder would accept a plain integer for a
// time.Duration, as nanoseconds.
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

// Address is an IP address with a port. Host names are rejected: a daemon takes
// its addresses only from its settings, and with host names a DNS server that is
// down or stale would decide where requests go.
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

// ParseAddress parses "IP:port". IPv6 addresses must be in brackets.
func ParseAddress(text string) (Address, error) {
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return Address{}, errors.Errorf("%q is %s, expected %s", text, addressProblem(text), addressForm)
	}
	return Address{parsed}, nil
}

// addressProblem returns why text is not an address.
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

// splitPort splits text at the last colon and strips brackets from the host.
func splitPort(text string) (host, port string) {
	host = text
	if i := strings.LastIndexByte(text, ':'); i >= 0 {
		host, port = text[:i], text[i+1:]
	}
	return strings.Trim(host, "[]"), port
}

// isHostName reports whether host contains a letter and only characters that are
// valid in a host name.
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
