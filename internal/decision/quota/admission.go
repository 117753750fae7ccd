package quota

import (
	"time"

	"stepwick/internal/apierror"
)

const (
	// queueBelowFraction is the fraction of the limit up to which requests are queued.
	queueBelowFraction = 0.9

	// urgentBudgetFraction is the fraction of the budget whose spend causes counts to be
	// sent without waiting for the next interval.
	urgentBudgetFraction = 0.25
)

// admission holds the state for deciding one request.
type admission struct {
	limiter  *Limiter
	account  *account
	tokens   float64
	now      time.Time
	estimate estimate
}

func (a *admission) decide() Decision {
	decision := Decision{
		Estimate: a.estimate.weighted,
		Previous: a.estimate.previous,
		Current:  a.estimate.current,
		Limit:    a.estimate.limit,
		Recent:   a.estimate.recent,
	}
	switch a.checkLimits() {
	case withinLimit:
		a.allow(&decision)
		return decision
	case overLimit:
		a.block(&decision)
	case overShare:
		a.rejectByShare(&decision)
	}
	if decision.Queue {
		decision.RetryAfter = a.limiter.config.Interval
	} else {
		decision.RetryAfter = a.retryAfter()
	}
	return decision
}

// checkLimits checks the request against the limits. A request that would be within the
// limit without the capacity reserved for unresponsive fronts is over this front's share.
func (a *admission) checkLimits() limitStatus {
	config := &a.limiter.config
	status := a.account.checkLimits(config, &a.estimate, a.tokens)
	if !config.enabled(EarlyUnblock) && a.now.Before(a.account.blockedUntil) {
		status = overLimit
	}
	if status == overLimit && a.estimate.reserved > 0 {
		unreserved := a.estimate
		unreserved.reserved = 0
		if a.account.checkLimits(config, &unreserved, a.tokens) != overLimit {
			status = overShare
		}
	}
	return status
}

// allow allows the request and counts its tokens.
func (a *admission) allow(decision *Decision) {
	sync := &a.account.sync
	a.account.spend.add(a.limiter.grid.slice(a.now), a.tokens)
	sync.unsent += a.tokens
	decision.Allowed = true
	decision.SendNow = a.limiter.config.enabled(FrontShares) && sync.unsent > urgentBudgetFraction*a.estimate.budget
	if decision.SendNow {
		a.limiter.markUrgent(a.account)
	}
}

// block rejects a request over the tenant's limit.
func (a *admission) block(decision *Decision) {
	decision.Code = apierror.QuotaExceeded
	decision.OverLimit = true
	a.account.blockedUntil = a.limiter.windowEnd(a.now)
}

// rejectByShare rejects a request over the front's share, or queues it. The code is
// ShareExceeded if this front can't determine whether the quota is exhausted: the owner
// does not respond, or capacity is reserved for unresponsive fronts.
func (a *admission) rejectByShare(decision *Decision) {
	sync := &a.account.sync
	decision.Code = apierror.QuotaExceeded
	if a.ownerUnresponsive() || !sync.hasTotals() || a.estimate.reserved > 0 {
		decision.Code = apierror.ShareExceeded
	}
	if a.exchangeExpected() {
		decision.SendNow = true
		decision.Queue = a.limiter.config.enabled(Queueing) && a.wellBelowLimit() && a.canSendSoon()
		a.limiter.markUrgent(a.account)
	}
}

func (a *admission) ownerUnresponsive() bool {
	return a.account.sync.ownerUnresponsive(&a.limiter.config, a.now)
}

// exchangeExpected reports whether an exchange of counts is likely to succeed soon: the
// owner is responsive, or it failed recently, so that another front takes over, and the
// tenant was well below its limit in the previous window.
func (a *admission) exchangeExpected() bool {
	if !a.ownerUnresponsive() {
		return true
	}
	failedLongAgo := a.account.sync.waitingLongerThan(queueingEndsAfter, &a.limiter.config, a.now)
	return a.estimate.previous < queueBelowFraction*a.estimate.limit && !failedLongAgo
}

// canSendSoon reports whether the send spacing permits sending counts within an interval.
func (a *admission) canSendSoon() bool {
	owner := a.account.sync.owner.name
	return owner == "" || a.limiter.untilNextSend(owner, a.now) <= a.limiter.config.Interval
}

func (a *admission) wellBelowLimit() bool {
	return a.estimate.recent+a.estimate.reserved+a.tokens/2 <= queueBelowFraction*a.estimate.limit
}

func (a *admission) retryAfter() time.Duration {
	config := &a.limiter.config
	delay := a.account.retryAfter(config, a.limiter.grid, a.now, a.tokens)
	if !config.enabled(EarlyUnblock) {
		delay = max(delay, a.account.blockedUntil.Sub(a.now))
	}
	return delay
}

func (l *Limiter) windowEnd(now time.Time) time.Time {
	window := l.config.Window.Microseconds()
	return time.UnixMicro((now.UnixMicro()/window + 1) * window)
}
