package operatorcmd

import (
	"github.com/pkg/errors"
)

// Exit codes of the command line. Scripts use them to decide whether to repeat
// a command, so they are part of the interface.
const (
	ExitOK          = 0
	ExitRejected    = 1 // invalid input, or the ledger refused the change
	ExitUsage       = 2 // wrong command, argument, flag or settings file
	ExitConflict    = 3 // void: another change of the subject took effect first
	ExitUnreachable = 4 // the platform or a node did not answer
	ExitUnknown     = 5 // the change was sent and its outcome is not known
)

const exitHelp = `Exit codes:
   0  done
   1  invalid input, or the change was refused; the reason is printed
   2  wrong command, argument, flag or settings file
   3  void by conflict: another change took effect first; review it before you retry
   4  the platform or a node could not be reached
   5  outcome unknown: the change may have taken effect or may still take effect`

// exitError is an error with the exit code of the process.
type exitError struct {
	code int
	err  error
}

func (f *exitError) Error() string { return f.err.Error() }

func (f *exitError) Unwrap() error { return f.err }

func exitErrorf(code int, format string, args ...any) error {
	return &exitError{code: code, err: errors.Errorf(format, args...)}
}

// exitCode returns the exit code for err. Errors of the argument parser carry no
// exit code; they are usage errors.
func exitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	var f *exitError
	if errors.As(err, &f) {
		return f.code
	}
	return ExitUsage
}

// worseError returns the error with the higher exit code, or a if both have the
// same.
func worseError(a, b error) error {
	if exitCode(b) > exitCode(a) {
		return b
	}
	return a
}
