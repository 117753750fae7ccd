package quota

import (
	"sort"
	"time"

	"stepwick/internal/decision/rendezvous"
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
	owners   map[string]*ownerState
	now      time.Time // latest instant of a call
}

// ownerState is what an owner last reported of itself, and when it was last sent to.
type ownerState struct {
	incarnation uint64
	fresh       bool          // it has just started and needs the totals that fronts know
	sendSpacing time.Duration // least time between two requests to it
	lastSent    time.Time
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

// SetFronts sets the names of all fronts. Without any, this front is the only one.
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
		if now.Sub(l.now) > frontMissingAfter.in(&l.config) {
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
	for _, account := range l.accounts {
		account.sync.restartWaiting(now)
	}
}

// accountOf returns a tenant's account for a request, and opens it if necessary.
func (l *Limiter) accountOf(tenant string, now time.Time) *account {
	account := l.accounts[tenant]
	if account == nil {
		account = l.newAccount(tenant)
		l.accounts[tenant] = account
	}
	account.sync.reactivate(&l.config, account.lastUsed)
	account.lastUsed = now
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

// Admit decides a request. An allowed request's tokens are counted at once; a
// rejected one counts nothing.
func (l *Limiter) Admit(tenant string, tokens float64, allowance Allowance, now time.Time) Decision {
	now = l.advance(now)
	account := l.accountOf(tenant, now)
	account.demand.add(tokens, now)
	return l.decide(account, tokens, allowance, now)
}

// AdmitQueued decides a request that was queued before.
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

func (l *Limiter) setUrgent(account *account) {
	if !account.sync.urgent {
		account.sync.urgent = true
		l.urgent = append(l.urgent, account)
	}
}

// Inspect returns what the Limiter knows, sorted by tenant.
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
		OverLimit: account.judge(&l.config, &estimate, 0) == overLimit,
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
