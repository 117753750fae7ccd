package quota

import (
	"sort"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/rendezvous"
)

const (
	// queueBelow is the fraction of the limit below which a request is queued.
	queueBelow = 0.9

	// sendAtBudget is the fraction of the budget that is spent before counts are sent
	// without waiting for the next interval.
	sendAtBudget = 0.25
)

// Limiter decides the requests of one front. It keeps an account of each tenant that
// was active there within the last two windows. To use several cores, give each a
// Limiter of its own and shard the tenants among them.
type Limiter struct {
	self     string
	config   Config
	grid     timeGrid
	fronts   []string
	accounts map[string]*account
	urgent   []*account
	owners   map[string]ownerState
	now      time.Time // latest instant of a call
}

// ownerState is what an owner last reported of itself.
type ownerState struct {
	incarnation uint64
	fresh       bool // it has just started and needs the totals that fronts know
}

// NewLimiter returns an empty Limiter of the front named self.
func NewLimiter(self string, config Config) *Limiter {
	config = config.withDefaults()
	return &Limiter{
		self:     self,
		config:   config,
		grid:     newTimeGrid(config),
		fronts:   []string{self},
		accounts: map[string]*account{},
		owners:   map[string]ownerState{},
	}
}

// SetFronts sets the names of all fronts. Without any, this front is the only one.
func (l *Limiter) SetFronts(names []string) {
	if len(names) == 0 {
		names = []string{l.self}
	}
	l.fronts = names
	for _, a := range l.accounts {
		a.allocation.rank = l.rank(a.tenant)
		a.allocation.evenShare = l.evenShare()
	}
}

func (l *Limiter) evenShare() float64 { return 1 / float64(len(l.fronts)) }

// rank returns this front's position, 0 to 1, among the fronts in the order of
// rendezvous hashing for a tenant.
func (l *Limiter) rank(tenant string) float64 {
	own := rendezvous.Weight(l.self, tenant)
	higher := 0
	for _, name := range l.fronts {
		if rendezvous.Weight(name, tenant) > own {
			higher++
		}
	}
	return (float64(higher) + 0.5) / float64(max(1, len(l.fronts)))
}

// advance returns the instant to use for a call made at now: time doesn't run
// backwards over a small step of the fleet's time, and a step of more than a window
// discards all accounts.
func (l *Limiter) advance(now time.Time) time.Time {
	switch {
	case !now.Before(l.now):
		if now.Sub(l.now) > frontUnheardAfter.in(&l.config) {
			l.resume(now)
		}
		l.now = now
	case l.now.Sub(now) > l.config.Window:
		clear(l.accounts)
		l.urgent = nil
		l.now = now
	}
	return l.now
}

// resume handles the end of a suspension of this process.
func (l *Limiter) resume(now time.Time) {
	for _, a := range l.accounts {
		a.sync.restartWaiting(now)
	}
}

// accountOf returns a tenant's account for a request, and opens it if necessary.
func (l *Limiter) accountOf(tenant string, now time.Time) *account {
	a := l.accounts[tenant]
	if a == nil {
		a = l.newAccount(tenant)
		l.accounts[tenant] = a
	}
	a.sync.reactivate(&l.config, a.lastUsed)
	a.lastUsed = now
	return a
}

func (l *Limiter) newAccount(tenant string) *account {
	return &account{
		tenant: tenant,
		spend: spendCounters{
			own: newSliceRing(l.grid),
			all: newSliceRing(l.grid),
		},
		allocation: allocation{
			allocationReport: allocationReport{share: l.evenShare()},
			evenShare:        l.evenShare(),
			rank:             l.rank(tenant),
		},
	}
}

// Admit decides a request. An allowed request's tokens are counted at once; a
// rejected one counts nothing.
func (l *Limiter) Admit(tenant string, tokens float64, allowance Allowance, now time.Time) Decision {
	now = l.advance(now)
	a := l.accountOf(tenant, now)
	a.demand.add(tokens, now)
	return l.decide(a, tokens, allowance, now)
}

// AdmitQueued decides a request that was queued before.
func (l *Limiter) AdmitQueued(tenant string, tokens float64, allowance Allowance, now time.Time) Decision {
	now = l.advance(now)
	return l.decide(l.accountOf(tenant, now), tokens, allowance, now)
}

func (l *Limiter) decide(a *account, tokens float64, allowance Allowance, now time.Time) Decision {
	a.allowance = allowance
	e := a.estimate(&l.config, l.grid, now)
	decision := Decision{
		Estimate: e.weighted,
		Previous: e.previous,
		Current:  e.current,
		Limit:    e.limit,
		Recent:   e.recent,
	}
	outcome := l.judge(a, &e, tokens, now)
	if outcome == withinLimit {
		l.allow(a, &e, tokens, now, &decision)
		return decision
	}
	l.reject(a, &e, outcome, now, &decision)
	l.queue(a, &e, outcome, tokens, now, &decision)
	if decision.Queue {
		decision.RetryAfter = l.config.Interval
	} else {
		decision.RetryAfter = l.retryAfter(a, tokens, now)
	}
	return decision
}

// judge compares a request with the estimate. A request that only the capacity
// reserved for unresponsive fronts puts over the limit is over this front's share.
func (l *Limiter) judge(a *account, e *estimate, tokens float64, now time.Time) verdict {
	outcome := a.judge(&l.config, e, tokens)
	if !l.config.enabled(EarlyUnblock) && now.Before(a.blockedUntil) {
		outcome = overLimit
	}
	if outcome == overLimit && e.reserved > 0 {
		unreserved := *e
		unreserved.reserved = 0
		if a.judge(&l.config, &unreserved, tokens) != overLimit {
			outcome = overShare
		}
	}
	return outcome
}

func (l *Limiter) allow(a *account, e *estimate, tokens float64, now time.Time, decision *Decision) {
	a.spend.add(l.grid.slice(now), tokens)
	a.sync.unsent += tokens
	decision.Allowed = true
	decision.SendNow = l.config.enabled(FrontShares) && a.sync.unsent > sendAtBudget*e.budget
	if decision.SendNow {
		l.markUrgent(a)
	}
}

// reject sets the reason of a rejection.
func (l *Limiter) reject(a *account, e *estimate, outcome verdict, now time.Time, decision *Decision) {
	decision.Code = apierror.QuotaExceeded
	if outcome == overLimit {
		decision.OverLimit = true
		a.blockedUntil = l.windowEnd(now)
		return
	}
	if a.sync.ownerUnresponsive(&l.config, now) || !a.sync.hasTotals() || e.reserved > 0 {
		decision.Code = apierror.ShareExceeded
	}
}

// queue decides whether a request over the front's share waits for an exchange: with
// the owner if it answers, or with the next owner while the tenant is well below its
// limit and the owner has become unresponsive only recently.
func (l *Limiter) queue(a *account, e *estimate, outcome verdict, tokens float64, now time.Time, decision *Decision) {
	if outcome != overShare {
		return
	}
	if a.sync.ownerUnresponsive(&l.config, now) {
		wellBelow := e.previous < queueBelow*e.limit
		if !wellBelow || a.sync.waitingLongerThan(queueingEndsAfter, &l.config, now) {
			return
		}
	}
	decision.SendNow = true
	decision.Queue = l.config.enabled(Queueing) && e.recent+e.reserved+tokens/2 <= queueBelow*e.limit
	l.markUrgent(a)
}

func (l *Limiter) retryAfter(a *account, tokens float64, now time.Time) time.Duration {
	delay := a.retryAfter(&l.config, l.grid, now, tokens)
	if !l.config.enabled(EarlyUnblock) {
		delay = max(delay, a.blockedUntil.Sub(now))
	}
	return delay
}

func (l *Limiter) windowEnd(now time.Time) time.Time {
	window := l.config.Window.Microseconds()
	return time.UnixMicro((now.UnixMicro()/window + 1) * window)
}

func (l *Limiter) markUrgent(a *account) {
	if !a.sync.urgent {
		a.sync.urgent = true
		l.urgent = append(l.urgent, a)
	}
}

// Inspect returns what the Limiter knows, sorted by tenant.
func (l *Limiter) Inspect(now time.Time) []TenantUsage {
	now = l.advance(now)
	usages := make([]TenantUsage, 0, len(l.accounts))
	for _, a := range l.accounts {
		usages = append(usages, l.usage(a, now))
	}
	sort.Slice(usages, func(i, j int) bool { return usages[i].Tenant < usages[j].Tenant })
	return usages
}

func (l *Limiter) usage(a *account, now time.Time) TenantUsage {
	e := a.estimate(&l.config, l.grid, now)
	slice := l.grid.slice(now)
	usage := TenantUsage{
		Tenant:    a.tenant,
		Limit:     e.limit,
		Estimate:  e.weighted,
		Recent:    e.recent,
		Own:       a.spend.own.sum(slice-l.grid.slicesPerWindow, slice),
		Share:     a.allocation.share,
		Reserved:  a.allocation.reserved,
		OverLimit: a.judge(&l.config, &e, 0) == overLimit,
		Owner:     a.sync.owner.name,
		Age:       -1,
	}
	if a.sync.hasTotals() {
		usage.Age = now.Sub(a.sync.totalsAsOf)
	}
	return usage
}

// ActiveTenants returns the number of tenants with an account.
func (l *Limiter) ActiveTenants() int { return len(l.accounts) }
