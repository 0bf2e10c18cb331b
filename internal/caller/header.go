package caller

import (
	"net"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/yuccadrift/yuccadrift/internal/outcome"
)

// Hop-by-hop fields, which are not forwarded (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection",
	"Keep-Alive",
	"Proxy-Authenticate",
	"Proxy-Authorization",
	"Proxy-Connection",
	"Te",
	"Trailer",
	"Transfer-Encoding",
	"Upgrade",
}

// ownFields are written by entry VMs only.
var ownFields = []string{outcome.HeaderOutcome, outcome.HeaderReason, outcome.HeaderBackend}

// Names of other fields that are set or removed here.
const (
	fieldForwarded = "X-Forwarded-For"
	fieldUserAgent = "User-Agent"
	fieldExpect    = "Expect"
)

func removeHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			delete(header, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
	for _, name := range ownFields {
		delete(header, name)
	}
}

// forwardHeader turns the caller's header into the header for a backend server.
func forwardHeader(r *http.Request) http.Header {
	header := r.Header
	removeHopByHop(header)
	delete(header, fieldExpect)
	if _, ok := header[fieldUserAgent]; !ok {
		header[fieldUserAgent] = []string{""} // otherwise net/http sets its own
	}
	if host, _, err := net.SplitHostPort(r.RemoteAddr); err == nil {
		header[fieldForwarded] = append(header[fieldForwarded], host)
	}
	return header
}

// copyAnswerHeader copies the end-to-end fields of the backend server's header to to.
func copyAnswerHeader(to, from http.Header) {
	removeHopByHop(from)
	for name, values := range from {
		to[name] = values
	}
}
