package owner

import (
	"time"

	"github.com/yuccadrift/yuccadrift/internal/registry"
	"github.com/yuccadrift/yuccadrift/internal/workload"
)

// confirmedList passes a list of workers on only once the group has confirmed the
// ownership by a join that was sent after the list was read. An owner that was
// replaced without knowing could otherwise start a task on a worker that
// registered since, which the next owner has not held yet and so not closed to it:
// the task would run twice. With the rule the next owner, which reads the list
// after that join, has that worker on it and holds it before it starts anything.
//
// Nor does it pass on a list that was read before the ownership began: a node that
// owned nothing for a while has not read since, and its list still shows workers as
// ready that have said long ago that they leave. Where the last owner left a report of its
// runs nothing else waits for a later read.
type confirmedList struct {
	since  time.Time         // when the ownership began
	passed int64             // version of the list passed on last
	read   registry.Snapshot // waits for its confirmation if it is another one
	asked  int64             // version for which a confirmation was asked for
}

// wants tells, once for each list, that a confirmation is waited for.
func (l *confirmedList) wants() bool {
	if l.read.Version == l.passed || l.read.Version == l.asked || l.read.SentAt.Before(l.since) {
		return false
	}
	l.asked = l.read.Version
	return true
}

// next returns a list that was not passed on yet. confirmed is when the latest
// join that confirmed the ownership was sent. ok is false if there is none.
func (l *confirmedList) next(read func() registry.Snapshot, confirmed time.Time) (list []workload.Worker, ok bool) {
	if l.read.Version == l.passed || l.read.SentAt.Before(l.since) {
		l.read = read()
	}
	if l.read.Version == l.passed || l.read.SentAt.Before(l.since) || confirmed.Before(l.read.AnsweredAt) {
		return nil, false
	}
	l.passed = l.read.Version
	return l.read.Workers, true
}
