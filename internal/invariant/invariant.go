// Package invariant stops the process on a broken invariant. Expected outcomes
// are returned as values; only a state that the code holds to be impossible
// comes here, since going on from it could break a promise to a caller.
package invariant

import "fmt"

// Violation is the panic value of a broken invariant.
type Violation struct {
	Reason string
}

// Error implements error; the runtime prints it when the process ends.
func (v Violation) Error() string { return "broken invariant: " + v.Reason }

// Check panics with a Violation when cond is false. The format and its
// arguments give the reason.
func Check(cond bool, format string, args ...any) {
	if !cond {
		panic(Violation{Reason: fmt.Sprintf(format, args...)})
	}
}
