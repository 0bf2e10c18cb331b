// Package outcome holds what the system may say about a caller's request, and
// the headers that carry it. The request path, the claims on not-repeatable
// requests and the load generator share it.
package outcome

// Outcome says whether a request ran on a backend server.
type Outcome string

// Outcomes of a request.
const (
	// Ran: a backend server answered it completely.
	Ran Outcome = "ran"
	// NotRun: no byte of it reached a backend server, or the backend server
	// itself said that it did not run. Sending it again is safe.
	NotRun Outcome = "not-run"
	// Unknown: it may have run, or may still be running.
	Unknown Outcome = "unknown"
)

// Reason is a short code for logs, metrics and callers' programs.
type Reason string

// Headers between callers, entry VMs and backend servers.
const (
	// HeaderKey is the key of a not-repeatable request: a ULID or UUIDv7.
	HeaderKey = "Yuccadrift-Key"
	// HeaderDeadline is how many milliseconds are left, as an integer.
	HeaderDeadline = "Yuccadrift-Deadline"
	// HeaderAttempt counts a caller's attempts from 1.
	HeaderAttempt = "Yuccadrift-Attempt"
	// HeaderOutcome is the Outcome of the request, on every answer.
	HeaderOutcome = "Yuccadrift-Outcome"
	// HeaderReason is the Reason of an answer that the system itself wrote.
	HeaderReason = "Yuccadrift-Reason"
	// HeaderBackend is a backend server's own word about a request: with the
	// value BackendNotRun it refused the request before it did anything.
	HeaderBackend = "Yuccadrift-Backend"
	// BackendNotRun is the value of HeaderBackend for a refused request.
	BackendNotRun = "not-run"
)
