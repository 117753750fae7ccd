package quota

import (
	"time"

	"stepwick/internal/apierror"
)

const (
	// queueBelow is the fraction of the limit below which a request is queued.
	queueBelow = 0.9

	// sendAtBudget is the fraction of the budget that is spent before counts are sent
	// without waiting for the next interval.
	sendAtBudget = 0.25
)

// admission is the state of one request's decision.
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
	switch a.judge() {
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

// judge compares the request with the estimate. A request that only the capacity
// reserved for unresponsive fronts puts over the limit is over this front's share.
func (a *admission) judge() verdict {
	config := &a.limiter.config
	outcome := a.account.judge(config, &a.estimate, a.tokens)
	if !config.enabled(EarlyUnblock) && a.now.Before(a.account.blockedUntil) {
		outcome = overLimit
	}
	if outcome == overLimit && a.estimate.reserved > 0 {
		unreserved := a.estimate
		unreserved.reserved = 0
		if a.account.judge(config, &unreserved, a.tokens) != overLimit {
			outcome = overShare
		}
	}
	return outcome
}

// allow counts the request's tokens.
func (a *admission) allow(decision *Decision) {
	sync := &a.account.sync
	a.account.spend.add(a.limiter.grid.slice(a.now), a.tokens)
	sync.unsent += a.tokens
	decision.Allowed = true
	decision.SendNow = a.limiter.config.enabled(FrontShares) && sync.unsent > sendAtBudget*a.estimate.budget
	if decision.SendNow {
		a.limiter.setUrgent(a.account)
	}
}

// block rejects a request over the tenant's limit.
func (a *admission) block(decision *Decision) {
	decision.Code = apierror.QuotaExceeded
	decision.OverLimit = true
	a.account.blockedUntil = a.limiter.windowEnd(a.now)
}

// rejectByShare rejects a request over the front's share, for now if it can be queued.
// The code is ShareExceeded where this front can't tell whether the quota is
// exhausted: without an answer of the owner, or with capacity reserved for fronts
// that are out of reach.
func (a *admission) rejectByShare(decision *Decision) {
	sync := &a.account.sync
	decision.Code = apierror.QuotaExceeded
	if a.ownerUnresponsive() || !sync.hasTotals() || a.estimate.reserved > 0 {
		decision.Code = apierror.ShareExceeded
	}
	if a.exchangeExpected() {
		decision.SendNow = true
		decision.Queue = a.limiter.config.enabled(Queueing) && a.wellBelowLimit() && a.exchangeSoon()
		a.limiter.setUrgent(a.account)
	}
}

func (a *admission) ownerUnresponsive() bool {
	return a.account.sync.ownerUnresponsive(&a.limiter.config, a.now)
}

// exchangeExpected reports whether an exchange will soon tell more: the owner is
// responsive, or it failed only recently, so that another one takes over, and the
// tenant spent little before.
func (a *admission) exchangeExpected() bool {
	if !a.ownerUnresponsive() {
		return true
	}
	failedLongAgo := a.account.sync.waitingLongerThan(queueingEndsAfter, &a.limiter.config, a.now)
	return a.estimate.previous < queueBelow*a.estimate.limit && !failedLongAgo
}

// exchangeSoon reports whether counts may be sent within an interval.
func (a *admission) exchangeSoon() bool {
	owner := a.account.sync.owner.name
	return owner == "" || a.limiter.untilNextSend(owner, a.now) <= a.limiter.config.Interval
}

func (a *admission) wellBelowLimit() bool {
	return a.estimate.recent+a.estimate.reserved+a.tokens/2 <= queueBelow*a.estimate.limit
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
