package quota

import (
	"sort"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/rendezvous"
	"stepwick/internal/wire"
)

const (
	silentAfter = 5   // intervals without an answer after which a holder is out of reach
	holdBelow   = 0.9 // part of the limit below which a request may be held for an exchange
	sendAt      = 0.25
	askFor      = 2    // intervals after its last request for which a tenant's totals are asked for
	quietFor    = 3    // intervals between two asks for a tenant far below its limit
	quietBelow  = 0.5  // part of the limit that is far below
	activeFor   = 4    // intervals without counts after which a front is missed
	calmFor     = 15   // intervals without an answer for which a request is held for the next holder
	youngFor    = 3    // intervals in which a count that moved is asked for by all fronts where the tenant is active
	missedFor   = 12   // intervals for which a front that is not heard still counts as active
	keptPart    = 0.85 // of an even part of the limit that is kept for a silent front
	cutPart     = 0.25 // of the roster that falls silent where the load may be on another side of a cut
	unsure      = 0.1  // part of its budget that a front spends before the first answer after a silence of its own
	standingKey = 0    // window number of a count whose own tokens are what was asked of the front of late, none when the tenant left, as of the microsecond in learned; and of a total that tells the part of the limit kept for silent fronts and, as acked, the front's share
)

// Limiter is one front's side of the tally: an account for each tenant that was
// active on this front within the last two windows. A Book has one owner; to use
// several cores, give each its own Book and part the tenants among them.
type Limiter struct {
	self     string
	config   Config
	grid     grid
	roster   []string
	accounts map[string]*account
	urgent   []*account
	holders  map[string]holderSight
	newest   time.Time
}

type holderSight struct {
	incarnation uint64
	fresh       bool
}

// NewLimiter returns an empty Book of the front named self.
func NewLimiter(self string, config Config) *Limiter {
	config = config.withDefaults()
	return &Limiter{self: self, config: config, grid: gridOf(config), roster: []string{self},
		accounts: map[string]*account{}, holders: map[string]holderSight{}}
}

// SetFronts tells the names of all fronts on the roster; the floor of a front's
// share is counted over them.
func (b *Limiter) SetFronts(names []string) {
	if len(names) == 0 {
		names = []string{b.self}
	}
	b.roster = names
	for _, a := range b.accounts {
		a.turn, a.even = b.turnOf(a.tenant), 1/float64(len(names))
	}
}

func (b *Limiter) turnOf(tenant string) float64 {
	own, rank := rendezvous.Weight(b.self, tenant), 0
	for _, name := range b.roster {
		if rendezvous.Weight(name, tenant) > own {
			rank++
		}
	}
	return (float64(rank) + 0.5) / float64(max(1, len(b.roster)))
}

// steady keeps time from running backwards over a small step of fleet time; a
// step of more than a window starts the Book anew.
func (b *Limiter) steady(now time.Time) time.Time {
	switch {
	case !now.Before(b.newest):
		if now.Sub(b.newest) > activeFor*b.config.Interval {
			b.wake(now)
		}
		b.newest = now
	case b.newest.Sub(now) > b.config.Window:
		clear(b.accounts)
		b.urgent = nil
		b.newest = now
	}
	return b.newest
}

// wake begins the asks anew that this process stood still in: their age says
// nothing of the holder.
func (b *Limiter) wake(now time.Time) {
	for _, a := range b.accounts {
		if !a.asked.IsZero() {
			a.asked = now
		}
	}
}

func (b *Limiter) open(tenant string, now time.Time) *account {
	a := b.accounts[tenant]
	if a == nil {
		a = &account{tenant: tenant, own: newRing(b.grid), all: newRing(b.grid),
			share: 1 / float64(len(b.roster)), even: 1 / float64(len(b.roster)), turn: b.turnOf(tenant)}
		b.accounts[tenant] = a
	}
	if a.left {
		a.left = false
		if !a.asked.IsZero() && a.used.Sub(a.asked) <= silentAfter*b.config.Interval {
			a.asked = time.Time{}
		}
	}
	a.used = now
	return a
}

// Admit decides one request of so many tokens at fleet time now. A passed
// request's tokens are added at once; a refused one adds nothing.
func (b *Limiter) Admit(tenant string, tokens float64, terms Allowance, now time.Time) Decision {
	now = b.steady(now)
	a := b.open(tenant, now)
	a.want(tokens, now)
	return b.decide(a, tokens, terms, now)
}

// AdmitQueued decides a request that was held before.
func (b *Limiter) AdmitQueued(tenant string, tokens float64, terms Allowance, now time.Time) Decision {
	now = b.steady(now)
	return b.decide(b.open(tenant, now), tokens, terms, now)
}

func (b *Limiter) decide(a *account, tokens float64, terms Allowance, now time.Time) Decision {
	a.terms = terms
	e := a.at(&b.config, b.grid, now)
	d := Decision{Estimate: e.blend, Previous: e.prev, Current: e.cur, Limit: e.limit, Recent: e.recent}
	ruling := a.judge(&b.config, e, tokens)
	if !b.config.has(EarlyUnblock) && now.Before(a.marked) {
		ruling = overLimit
	}
	if ruling == passes {
		slice, _ := b.grid.at(now)
		a.own.add(slice, tokens)
		a.all.add(slice, tokens)
		a.unsent += tokens
		d.Allowed = true
		d.SendNow = b.config.has(FrontShares) && a.unsent > sendAt*e.budget
		b.hurry(a, d.SendNow)
		return d
	}
	if ruling == overLimit && e.kept > 0 {
		free := e
		if free.kept = 0; a.judge(&b.config, free, tokens) != overLimit {
			ruling = overShare
		}
	}
	d.Code = apierror.QuotaExceeded
	silent := a.silent(&b.config, now)
	if ruling == overLimit {
		d.OverLimit = true
		a.marked = b.windowEnd(now)
	} else if silent || a.asOf.IsZero() || e.kept > 0 {
		d.Code = apierror.ShareExceeded
	}
	calm := e.prev < holdBelow*e.limit && !a.unanswered(&b.config, now, calmFor)
	if ruling == overShare && (!silent || calm) {
		d.SendNow = true
		d.Queue = b.config.has(Queueing) && e.recent+e.kept+tokens/2 <= holdBelow*e.limit
		b.hurry(a, true)
	}
	if d.Queue {
		d.RetryAfter = b.config.Interval
		return d
	}
	if d.RetryAfter = a.opens(&b.config, b.grid, now, tokens); !b.config.has(EarlyUnblock) {
		d.RetryAfter = max(d.RetryAfter, a.marked.Sub(now))
	}
	return d
}

func (b *Limiter) windowEnd(now time.Time) time.Time {
	window := b.config.Window.Microseconds()
	return time.UnixMicro((now.UnixMicro()/window + 1) * window)
}

func (b *Limiter) hurry(a *account, urgent bool) {
	if urgent && !a.urgent {
		a.urgent = true
		b.urgent = append(b.urgent, a)
	}
}

func (a *account) silent(c *Config, now time.Time) bool {
	return a.unanswered(c, now, silentAfter)
}

func (a *account) unanswered(c *Config, now time.Time, intervals time.Duration) bool {
	return !a.asked.IsZero() && now.Sub(a.asked) > intervals*c.Interval
}

// CountsToSend returns the counts to send, by holder, of all tenants that were just
// active or have adds to tell, and drops tenants that were idle for two windows. Counts are
// cumulative: sending one twice, late or to another holder is harmless.
func (b *Limiter) CountsToSend(now time.Time, holderOf func(tenant string) string) map[string][]*wire.Count {
	now = b.steady(now)
	batches := map[string][]*wire.Count{}
	for tenant, a := range b.accounts {
		idle := now.Sub(a.used)
		if idle > 2*b.config.Window {
			delete(b.accounts, tenant)
			continue
		}
		switch {
		case b.quiet(a, now):
		case idle <= askFor*b.config.Interval || a.unsent > 0 || !a.asked.IsZero():
			b.pack(batches, a, now, holderOf)
		case !a.left:
			a.left = true
			if holder := holderOf(tenant); holder != "" {
				batches[holder] = append(batches[holder], &wire.Count{Tenant: tenant, Window: standingKey})
			}
		}
	}
	for _, a := range b.urgent {
		a.urgent = false
	}
	b.urgent = b.urgent[:0]
	for _, counts := range batches {
		sort.Slice(counts, func(i, j int) bool {
			return counts[i].Tenant < counts[j].Tenant || (counts[i].Tenant == counts[j].Tenant && counts[i].Window < counts[j].Window)
		})
	}
	return batches
}

// quiet tells that a tenant far below its limit was asked for just before.
func (b *Limiter) quiet(a *account, now time.Time) bool {
	if now.Sub(a.sent) >= (quietFor-1)*b.config.Interval+b.config.Interval/2 {
		return false
	}
	e := a.at(&b.config, b.grid, now)
	return max(e.blend, e.recent) < quietBelow*e.limit
}

// HasUrgent tells whether some counts should not wait for the next interval.
func (b *Limiter) HasUrgent() bool { return len(b.urgent) > 0 }

// UrgentCounts returns the counts that should not wait for the next interval, by
// holder, for which ready holds; the others stay urgent.
func (b *Limiter) UrgentCounts(now time.Time, holderOf func(tenant string) string, ready func(holder string) bool) map[string][]*wire.Count {
	if len(b.urgent) == 0 {
		return nil
	}
	now = b.steady(now)
	batches := map[string][]*wire.Count{}
	waiting := b.urgent[:0]
	for _, a := range b.urgent {
		if !ready(holderOf(a.tenant)) {
			waiting = append(waiting, a)
			continue
		}
		a.urgent = false
		b.pack(batches, a, now, holderOf)
	}
	b.urgent = waiting
	return batches
}

func (b *Limiter) pack(batches map[string][]*wire.Count, a *account, now time.Time, holderOf func(string) string) {
	holder := holderOf(a.tenant)
	if holder == "" {
		return
	}
	if a.asked.IsZero() {
		a.asked = now
	}
	a.unsent, a.sent = 0, now
	sight := b.holders[holder]
	teach := !a.asOf.IsZero() && (sight.fresh || a.from != source{holder, sight.incarnation})
	slice, _ := b.grid.at(now)
	window := b.grid.window(slice)
	a.want(0, now)
	batches[holder] = append(batches[holder], &wire.Count{Tenant: a.tenant, Window: standingKey, Own: max(a.wanted, 1e-9),
		Learned: float64(now.UnixMicro())})
	if teach || a.asOf.IsZero() || a.asOf.Before(now.Add(-b.config.Window/8)) || slice-window*b.grid.slices < b.grid.slices/4 {
		batches[holder] = append(batches[holder], b.count(a, window-1, teach))
	}
	batches[holder] = append(batches[holder], b.count(a, window, teach))
}

func (b *Limiter) count(a *account, window int64, teach bool) *wire.Count {
	first := window * b.grid.slices
	last := first + b.grid.slices - 1
	c := &wire.Count{Tenant: a.tenant, Window: window, Own: a.own.sum(first, last), Slices: a.own.window(b.grid, window)}
	if teach {
		c.Learned, c.LearnedSlices = a.all.sum(first, last), a.all.window(b.grid, window)
	}
	return c
}

// ApplyTotals takes a holder's answer to counts that left at fleet time sentAt.
// Answers may come late, twice or out of order.
func (b *Limiter) ApplyTotals(resp *wire.AddResponse, sentAt, now time.Time) {
	now = b.steady(now)
	if sentAt.After(now) {
		sentAt = now
	}
	b.holders[resp.Holder] = holderSight{resp.Incarnation, resp.Fresh}
	for _, total := range resp.Totals {
		a := b.accounts[total.Tenant]
		if a == nil {
			continue
		}
		if total.Window == standingKey {
			a.kept, a.met, a.share = total.Total, 0, total.Acked
			if len(total.Slices) > 0 {
				a.met = total.Slices[0]
			}
			b.learned(a, source{resp.Holder, resp.Incarnation}, sentAt)
			continue
		}
		first := total.Window * b.grid.slices
		for k, tokens := range total.Slices {
			if k < len(total.AckedSlices) {
				tokens -= total.AckedSlices[k]
			}
			if slice := first + int64(k); tokens > 0 && slice >= 0 && slice <= b.grid.bound(now) {
				a.all.raise(slice, tokens+a.own.get(slice))
			}
		}
	}
}

func (b *Limiter) learned(a *account, from source, sentAt time.Time) {
	a.asked = time.Time{}
	a.from = from
	if sentAt.Before(a.asOf) {
		return
	}
	a.asOf = sentAt
}

// Inspect returns what the Book knows, in the order of the tenants' names.
func (b *Limiter) Inspect(now time.Time) []TenantUsage {
	now = b.steady(now)
	views := make([]TenantUsage, 0, len(b.accounts))
	for tenant, a := range b.accounts {
		e := a.at(&b.config, b.grid, now)
		slice, _ := b.grid.at(now)
		v := TenantUsage{Tenant: tenant, Limit: e.limit, Estimate: e.blend, Recent: e.recent, Share: a.share,
			Own: a.own.sum(slice-b.grid.slices, slice), Reserved: a.kept, Owner: a.from.name, Age: -1,
			OverLimit: a.judge(&b.config, e, 0) == overLimit}
		if !a.asOf.IsZero() {
			v.Age = now.Sub(a.asOf)
		}
		views = append(views, v)
	}
	sort.Slice(views, func(i, j int) bool { return views[i].Tenant < views[j].Tenant })
	return views
}

// ActiveTenants returns the number of tenants with an account.
func (b *Limiter) ActiveTenants() int { return len(b.accounts) }
