// Package invariant stops the process on a broken invariant. It is only for
// states that the code considers impossible, since continuing from such a state
// could break a guarantee to a caller. Expected failures are returned as values.
package invariant

import "fmt"

// Violation is the panic value of a broken invariant.
type Violation struct {
	Reason string
}

// Error implements error. The runtime prints it when the process ends.
func (v Violation) Error() string { return "broken invariant: " + v.Reason }

// Check panics with a Violation if cond is false. format and args give the
// reason.
func Check(cond bool, format string, args ...any) {
	if !cond {
		panic(Violation{Reason: fmt.Sprintf(format, args...)})
	}
}
