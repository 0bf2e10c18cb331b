package owner

import "time"

// authority is until when tasks may be started and leases renewed. It writes a line when the
// membership may have lapsed, when the authority ends, and when the membership is confirmed
// again.
func (o *Owner) authority() time.Time {
	until := o.deps.AuthorityUntil(o.partition)
	now := time.Now()
	wasUnconfirmed, wasIdle := o.unconfirmed, o.idle
	o.unconfirmed, o.idle = o.mayBeReplaced(), !now.Before(until)
	switch {
	case o.idle && !wasIdle:
		o.logger.Warn("another node may own the partition, nothing is started or renewed", "since_ms", now.Sub(until).Milliseconds())
	case o.unconfirmed && !wasUnconfirmed:
		o.logger.Warn("membership may have lapsed")
	case wasUnconfirmed && !o.unconfirmed:
		o.logger.Info("membership is confirmed again")
	}
	return until
}
