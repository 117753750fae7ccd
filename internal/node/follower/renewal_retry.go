package follower

import "time"

const (
	// initialRenewInterval is the least time between two renewals at a core of a
	// process that no majority has confirmed yet: after a start it has no authority
	// until then.
	initialRenewInterval = 50 * time.Millisecond
	// initialRenewPeriod is how long after a start renewals go at that pace.
	initialRenewPeriod = 5 * time.Second
)

// retryPause is how long an unconfirmed process waits until it renews at a core
// again: twice as long after each call that failed or was not granted, up to the
// interval between renewals. While all of a large fleet restarts, the cores need
// their time to agree among themselves.
type retryPause struct {
	until time.Time
	last  time.Duration
}

// extend begins the next pause, of at most the longest.
func (p *retryPause) extend(now time.Time, longest time.Duration) {
	p.last = min(max(2*p.last, initialRenewInterval), longest)
	p.until = now.Add(p.last)
}

// scheduleRetry takes what a call means for the next retries. The first answer since
// the start shows that the cores have begun to answer, which ends all pauses. A lease
// that is granted needs no renewal before the usual interval.
func (r *renewals) scheduleRetry(call *renewalCall, interval time.Duration) {
	core := r.core(call.core.Name)
	if call.err != nil || call.resp.Who {
		core.retry.extend(call.returnedAt, interval)
		return
	}
	if !r.answered {
		r.answered = true
		for _, other := range r.cores {
			other.retry = retryPause{}
		}
	}
	if call.resp.Granted {
		core.retry = retryPause{until: call.returnedAt.Add(interval)}
		return
	}
	core.retry.extend(call.returnedAt, interval)
}

// renewUnconfirmed renews the lease of a process that no majority has confirmed
// since its start, at the cores whose pause is over and that owe no answer, which
// replaces the regular renewals. It reports whether the process is still to renew at
// this pace.
func (f *Follower) renewUnconfirmed() bool {
	now := f.clock.Now()
	if !f.holder.Unconfirmed() || now.Sub(f.startedAt) >= initialRenewPeriod {
		return false
	}
	f.holder.SetCores(f.voters())
	for _, core := range f.directCores() {
		state := f.renewals.core(core.Name)
		if !state.inFlight && !now.Before(state.retry.until) {
			f.renew(core)
		}
	}
	f.updateAuthority()
	return true
}
