package caller

import (
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/yuccadrift/yuccadrift/internal/dispatch"
	"github.com/yuccadrift/yuccadrift/internal/outcome"
	"github.com/yuccadrift/yuccadrift/internal/routing"
)

// Reasons for rejecting a request before it is sent to a backend server.
const (
	ReasonStarting outcome.Reason = "starting"
	ReasonService  outcome.Reason = "unknown-service"
	ReasonRoute    outcome.Reason = "unknown-route"
	ReasonPath     outcome.Reason = "bad-path"
	ReasonNoKey    outcome.Reason = "key-missing"
	ReasonKey      outcome.Reason = "bad-key"
	ReasonDeadline outcome.Reason = "bad-deadline"
	ReasonAttempt  outcome.Reason = "bad-attempt"
	ReasonHeader   outcome.Reason = "header-too-large"
	ReasonBodySize outcome.Reason = "body-too-large"
	ReasonBodyCut  outcome.Reason = "body-incomplete"
	ReasonMemory   outcome.Reason = "no-memory-for-body"
)

// Limits on values in callers' headers.
const (
	maxDeadline = 24 * time.Hour
	maxAttempt  = 1000
	// maxQuotedBytes is the maximum length in bytes of an invalid value in an error line.
	maxQuotedBytes = 40
)

// problem describes why a request is answered without being sent to a backend server.
type problem struct {
	status     int
	reason     outcome.Reason
	line       string
	retryAfter time.Duration
	// transient is true if an earlier attempt may not have had this problem.
	transient bool
}

func badRequest(reason outcome.Reason, format string, args ...any) *problem {
	return &problem{status: http.StatusBadRequest, reason: reason, line: fmt.Sprintf(format, args...)}
}

// parse parses the request line and header. It does not read the body.
func (h *Handler) parse(r *http.Request, now time.Time) (*dispatch.Call, *problem) {
	if n := headerSize(r); n > h.cfg.MaxHeader {
		return nil, &problem{
			status: http.StatusRequestHeaderFieldsTooLarge,
			reason: ReasonHeader,
			line:   fmt.Sprintf("the header has %d bytes; at most %d are taken", n, h.cfg.MaxHeader),
		}
	}
	if !isUnambiguousPath(r.URL) {
		return nil, badRequest(ReasonPath, "the path must have no . or .. element, no empty element and no encoded slash")
	}
	name, rest := routing.Split(r.URL.Path)
	table := h.cfg.Dispatcher.Table()
	if table.Offset == 0 {
		return nil, &problem{
			status:     http.StatusServiceUnavailable,
			reason:     ReasonStarting,
			line:       "this entry VM has just started and knows no service yet; try another one",
			retryAfter: time.Second,

			transient: true,
		}
	}
	svc, ok := table.Services[name]
	if !ok {
		return nil, &problem{
			status: http.StatusNotFound,
			reason: ReasonService,
			line:   fmt.Sprintf("there is no service %q; the first path element names the service", clip(name)),
		}
	}
	route, ok := svc.Route(rest)
	if !ok {
		return nil, &problem{
			status: http.StatusNotFound,
			reason: ReasonRoute,
			line:   fmt.Sprintf("service %q has no route for %q", clip(name), clip(rest)),
		}
	}
	call := &dispatch.Call{
		Service: name,
		Limits:  svc.Limits,
		Route:   route,
		Method:  r.Method,
		URL:     restURL(r.URL, name),
		Host:    r.Host,
	}
	return call, h.parseHeader(r.Header, call, now)
}

func (h *Handler) parseHeader(header http.Header, call *dispatch.Call, now time.Time) *problem {
	if p := h.parseKey(header, call); p != nil {
		return p
	}
	if p := parseAttempt(header, call); p != nil {
		return p
	}
	return parseDeadline(header, call, now)
}

func (h *Handler) parseKey(header http.Header, call *dispatch.Call) *problem {
	call.Key = header.Get(outcome.HeaderKey)
	if call.Key == "" {
		if call.Route.Repeatable {
			return nil
		}
		return badRequest(ReasonNoKey, "%s is not repeatable: send %s with a fresh ULID or UUIDv7, the same one on every retry",
			call.Route.Prefix, outcome.HeaderKey)
	}
	if err := h.cfg.CheckKey(call.Service, call.Key); err != nil {
		return badRequest(ReasonKey, "%s %q: %v", outcome.HeaderKey, clip(call.Key), err)
	}
	return nil
}

func parseAttempt(header http.Header, call *dispatch.Call) *problem {
	text := header.Get(outcome.HeaderAttempt)
	if text == "" {
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 1 || n > maxAttempt {
		return badRequest(ReasonAttempt, "%s %q: must be a number from 1 to %d", outcome.HeaderAttempt, clip(text), maxAttempt)
	}
	call.First = n == 1
	return nil
}

func parseDeadline(header http.Header, call *dispatch.Call, now time.Time) *problem {
	left := call.Route.Deadline
	if text := header.Get(outcome.HeaderDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 || ms > maxDeadline.Milliseconds() {
			return badRequest(ReasonDeadline, "%s %q: must be the milliseconds left, from 1 to %d",
				outcome.HeaderDeadline, clip(text), maxDeadline.Milliseconds())
		}
		left = min(left, time.Duration(ms)*time.Millisecond)
	}
	call.Deadline = now.Add(left)
	return nil
}

// headerSize returns the approximate size of the request line and header as sent.
func headerSize(r *http.Request) int {
	const separators = 4 // colon, space, CR, LF
	n := len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + separators
		}
	}
	return n
}

// isUnambiguousPath reports whether all servers interpret the path alike. A backend
// server that resolves /lookup/../book would run a booking under the rules of a
// repeatable lookup, and so possibly twice.
func isUnambiguousPath(u *url.URL) bool {
	if !strings.HasPrefix(u.Path, "/") || strings.Contains(u.Path, "//") || strings.Contains(u.Path, `\`) {
		return false
	}
	if strings.Contains(u.Path, "/./") || strings.Contains(u.Path, "/../") {
		return false
	}
	if strings.HasSuffix(u.Path, "/.") || strings.HasSuffix(u.Path, "/..") {
		return false
	}
	if u.RawPath == "" {
		return true
	}
	return !strings.Contains(strings.ToLower(u.RawPath), "%2f")
}

// restURL returns the URL without its first path element.
func restURL(u *url.URL, service string) *url.URL {
	out := &url.URL{Path: rootIfEmpty(u.Path[1+len(service):]), RawQuery: u.RawQuery}
	if u.RawPath != "" {
		_, raw := routing.Split(u.RawPath)
		out.RawPath = raw
	}
	return out
}

func rootIfEmpty(path string) string {
	if path == "" {
		return "/"
	}
	return path
}

func clip(s string) string {
	if len(s) > maxQuotedBytes {
		return s[:maxQuotedBytes] + "..."
	}
	return s
}
