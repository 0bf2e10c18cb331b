package owner

import "time"

// refreshAuthority returns when the owner's authority ends. It logs when the membership may
// have lapsed, when the authority has ended, and when the membership is confirmed again.
func (o *Owner) refreshAuthority() time.Time {
	until := o.deps.AuthorityUntil(o.partition)
	now := time.Now()
	wasUnconfirmed, hadLapsed := o.membershipUnconfirmed, o.authorityLapsed
	o.membershipUnconfirmed, o.authorityLapsed = o.mayHaveBeenReplaced(), !now.Before(until)
	switch {
	case o.authorityLapsed && !hadLapsed:
		o.logger.Warn("another node may own the partition, nothing is started or renewed", "since_ms", now.Sub(until).Milliseconds())
	case o.membershipUnconfirmed && !wasUnconfirmed:
		o.logger.Warn("membership may have lapsed")
	case wasUnconfirmed && !o.membershipUnconfirmed:
		o.logger.Info("membership is confirmed again")
	}
	return until
}
