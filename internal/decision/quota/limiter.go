package quota

import (
	"sort"
	"time"

	"stepwick/internal/decision/rendezvous"
)

// Limiter admits or rejects the requests of one front. It keeps an account for each
// tenant that was active there within the last two windows. To use several cores, shard
// the tenants among several Limiters.
type Limiter struct {
	self     string
	config   Config
	grid     timeGrid
	fronts   []string
	accounts map[string]*account
	urgent   []*account
	owners   map[string]*ownerState
	now      time.Time // latest instant passed to a call
}

// ownerState is the last reported state of an owner, and the time of the last request
// to it.
type ownerState struct {
	incarnation uint64
	justStarted bool          // it recently started and needs the totals that fronts know
	sendSpacing time.Duration // least time between two requests to it
	lastSentAt  time.Time
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
		owners:   map[string]*ownerState{},
	}
}

// SetFronts sets the names of all fronts. If names is empty, this front is the only one.
func (l *Limiter) SetFronts(names []string) {
	if len(names) == 0 {
		names = []string{l.self}
	}
	l.fronts = names
	for _, account := range l.accounts {
		account.allocation.rank = l.rank(account.tenant)
		account.allocation.evenShare = l.evenShare()
	}
}

func (l *Limiter) evenShare() float64 { return 1 / float64(len(l.fronts)) }

// rank returns this front's position, 0 to 1, in the order of the fronts by rendezvous
// weight for a tenant.
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

// advance returns the instant to use for a call made at now. If the fleet's time steps
// back by at most a window, the latest instant is used instead; a larger step back
// discards all accounts.
func (l *Limiter) advance(now time.Time) time.Time {
	switch {
	case !now.Before(l.now):
		if now.Sub(l.now) > frontMissingAfter.duration(&l.config) {
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

// resume restarts the timeouts of pending requests after this process was suspended.
func (l *Limiter) resume(now time.Time) {
	for _, account := range l.accounts {
		account.sync.restartWaiting(now)
	}
}

// accountOf returns the account of a tenant that received a request, and creates it if
// there is none.
func (l *Limiter) accountOf(tenant string, now time.Time) *account {
	account := l.accounts[tenant]
	if account == nil {
		account = l.newAccount(tenant)
		l.accounts[tenant] = account
	}
	account.sync.reactivate(&l.config, account.lastUsedAt)
	account.lastUsedAt = now
	return account
}

func (l *Limiter) newAccount(tenant string) *account {
	return &account{
		tenant: tenant,
		spend: spendCounters{
			own: newSliceRing(l.grid),
			all: newSliceRing(l.grid),
		},
		allocation: allocation{
			allocationReport: allocationReport{
				share:       l.evenShare(),
				sendSpacing: baseSpacing(&l.config, len(l.fronts)),
			},
			evenShare: l.evenShare(),
			rank:      l.rank(tenant),
		},
	}
}

// Admit decides whether to allow a request. The tokens of an allowed request are counted
// immediately; a rejected request's tokens are not counted.
func (l *Limiter) Admit(tenant string, tokens float64, allowance Allowance, now time.Time) Decision {
	now = l.advance(now)
	account := l.accountOf(tenant, now)
	account.demand.add(tokens, now)
	return l.decide(account, tokens, allowance, now)
}

// AdmitQueued decides again on a request that was queued.
func (l *Limiter) AdmitQueued(tenant string, tokens float64, allowance Allowance, now time.Time) Decision {
	now = l.advance(now)
	return l.decide(l.accountOf(tenant, now), tokens, allowance, now)
}

func (l *Limiter) decide(account *account, tokens float64, allowance Allowance, now time.Time) Decision {
	account.allowance = allowance
	admission := admission{
		limiter:  l,
		account:  account,
		tokens:   tokens,
		now:      now,
		estimate: account.estimate(&l.config, l.grid, now),
	}
	return admission.decide()
}

func (l *Limiter) markUrgent(account *account) {
	if !account.sync.urgent {
		account.sync.urgent = true
		l.urgent = append(l.urgent, account)
	}
}

// Inspect returns the usage of all tenants with an account, sorted by tenant.
func (l *Limiter) Inspect(now time.Time) []TenantUsage {
	now = l.advance(now)
	usages := make([]TenantUsage, 0, len(l.accounts))
	for _, account := range l.accounts {
		usages = append(usages, l.usage(account, now))
	}
	sort.Slice(usages, func(i, j int) bool { return usages[i].Tenant < usages[j].Tenant })
	return usages
}

func (l *Limiter) usage(account *account, now time.Time) TenantUsage {
	estimate := account.estimate(&l.config, l.grid, now)
	slice := l.grid.slice(now)
	usage := TenantUsage{
		Tenant:    account.tenant,
		Limit:     estimate.limit,
		Estimate:  estimate.weighted,
		Recent:    estimate.recent,
		Own:       account.spend.own.sum(slice-l.grid.slicesPerWindow, slice),
		Share:     account.allocation.share,
		Reserved:  account.allocation.reserved,
		OverLimit: account.checkLimits(&l.config, &estimate, 0) == overLimit,
		Owner:     account.sync.owner.name,
		Age:       -1,
	}
	if account.sync.hasTotals() {
		usage.Age = now.Sub(account.sync.totalsAsOf)
	}
	return usage
}

// ActiveTenants returns the number of tenants with an account.
func (l *Limiter) ActiveTenants() int { return len(l.accounts) }
