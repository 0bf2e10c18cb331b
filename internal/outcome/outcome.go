// Package outcome defines the outcomes of a caller's request and the headers that
// carry them. The request path, the claims on not-repeatable requests and the load
// generator share it.
package outcome

// Outcome states whether a request ran on a backend server.
type Outcome string

// Outcomes of a request.
const (
	// Ran means that a backend server answered the request completely.
	Ran Outcome = "ran"
	// NotRun means that no byte of the request reached a backend server, or that the
	// backend server reported that it did not run it. A retry is safe.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run or may still be running.
	Unknown Outcome = "unknown"
)

// Reason is a short code for logs, metrics and callers' programs.
type Reason string

// Headers between callers, entry VMs and backend servers.
const (
	// HeaderKey holds the key of a not-repeatable request: a ULID or UUIDv7.
	HeaderKey = "Yuccadrift-Key"
	// HeaderDeadline holds the milliseconds left, as an integer.
	HeaderDeadline = "Yuccadrift-Deadline"
	// HeaderAttempt holds the number of the caller's attempt, from 1.
	HeaderAttempt = "Yuccadrift-Attempt"
	// HeaderOutcome holds the Outcome of the request; it is set on every answer.
	HeaderOutcome = "Yuccadrift-Outcome"
	// HeaderReason holds the Reason of an answer that is not from a backend server.
	HeaderReason = "Yuccadrift-Reason"
	// HeaderBackend is set by backend servers. With the value BackendNotRun it states
	// that the backend server refused the request without running it.
	HeaderBackend = "Yuccadrift-Backend"
	// BackendNotRun is the value of HeaderBackend for a refused request.
	BackendNotRun = "not-run"
)
