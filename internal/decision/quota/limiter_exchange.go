package quota

import (
	"sort"
	"time"

	"stepwick/internal/wire"
)

const (
	// lowUsageFraction is the fraction of the limit below which a tenant's counts are
	// sent less often: once per lowUsageSendIntervals.
	lowUsageFraction = 0.5

	lowUsageSendIntervals intervals = 3

	// staleTotalsDivisor sets the age of totals, Window/staleTotalsDivisor, above which
	// the previous window's count is sent as well. It is also sent in the first quarter
	// of a window.
	staleTotalsDivisor = 8
)

// CountsToSend returns the counts to send, by owner, of all tenants that recently
// received requests, have unsent tokens or have become idle. It removes tenants that
// were idle for two windows.
func (l *Limiter) CountsToSend(now time.Time, ownerOf func(tenant string) string) map[string][]*wire.Count {
	now = l.advance(now)
	batches := countBatches{}
	tolerance := l.config.Interval / 2
	for tenant, account := range l.accounts {
		if now.Sub(account.lastUsedAt) > 2*l.config.Window {
			delete(l.accounts, tenant)
			continue
		}
		owner := ownerOf(tenant)
		switch {
		case l.untilNextSend(owner, now) > tolerance:
		case l.canDefer(account, now):
		case l.needsSending(account, now):
			account.sync.urgent = false
			l.appendCounts(batches, owner, account, now)
		case !account.sync.reportedIdle:
			account.sync.reportedIdle = true
			batches.add(owner, demandReport{idle: true}.wireCount(tenant))
		}
	}
	l.retainUrgent(ownerOf)
	l.recordSent(batches, now)
	batches.sort()
	return batches
}

// owner returns the state of an owner and creates it if there is none.
func (l *Limiter) owner(name string) *ownerState {
	state := l.owners[name]
	if state == nil {
		state = &ownerState{sendSpacing: baseSpacing(&l.config, len(l.fronts))}
		l.owners[name] = state
	}
	return state
}

// untilNextSend returns the time until counts may be sent to an owner. It is zero or
// negative if they may be sent now.
func (l *Limiter) untilNextSend(owner string, now time.Time) time.Duration {
	state := l.owner(owner)
	return state.sendSpacing - now.Sub(state.lastSentAt)
}

func (l *Limiter) recordSent(batches countBatches, now time.Time) {
	for owner := range batches {
		l.owner(owner).lastSentAt = now
	}
}

// retainUrgent keeps only those urgent accounts whose counts were not sent because of
// their owner's send spacing.
func (l *Limiter) retainUrgent(ownerOf func(tenant string) string) {
	remaining := l.urgent[:0]
	for _, account := range l.urgent {
		account.sync.urgent = account.sync.urgent && l.owner(ownerOf(account.tenant)).sendSpacing > 0
		if account.sync.urgent {
			remaining = append(remaining, account)
		}
	}
	l.urgent = remaining
}

// CountsToFlush returns, by owner, the counts of all tenants with tokens that no owner
// has acknowledged.
func (l *Limiter) CountsToFlush(now time.Time, ownerOf func(tenant string) string) map[string][]*wire.Count {
	now = l.advance(now)
	batches := countBatches{}
	for tenant, account := range l.accounts {
		if account.sync.unsent > 0 || account.sync.waiting() {
			l.appendCounts(batches, ownerOf(tenant), account, now)
		}
	}
	l.recordSent(batches, now)
	batches.sort()
	return batches
}

// needsSending reports whether a tenant's counts must be sent: it is active, has unsent
// tokens, or awaits the response to an earlier request.
func (l *Limiter) needsSending(account *account, now time.Time) bool {
	return now.Sub(account.lastUsedAt) <= requestTotalsFor.duration(&l.config) || account.sync.unsent > 0 || account.sync.waiting()
}

// canDefer reports whether sending a tenant's counts can wait: it is far below its limit
// and its counts were sent recently.
func (l *Limiter) canDefer(account *account, now time.Time) bool {
	if now.Sub(account.sync.lastSentAt) >= (lowUsageSendIntervals-1).duration(&l.config)+l.config.Interval/2 {
		return false
	}
	estimate := account.estimate(&l.config, l.grid, now)
	return max(estimate.weighted, estimate.recent) < lowUsageFraction*estimate.limit
}

// HasUrgent reports whether any counts should be sent before the next interval.
func (l *Limiter) HasUrgent() bool { return len(l.urgent) > 0 }

// UrgentCounts returns, by owner, the counts that should be sent before the next
// interval and whose owner is ready. The others remain urgent.
func (l *Limiter) UrgentCounts(now time.Time, ownerOf func(tenant string) string, ready func(owner string) bool) map[string][]*wire.Count {
	if len(l.urgent) == 0 {
		return nil
	}
	now = l.advance(now)
	batches := countBatches{}
	remaining := l.urgent[:0]
	for _, account := range l.urgent {
		owner := ownerOf(account.tenant)
		if l.untilNextSend(owner, now) > 0 || !ready(owner) {
			remaining = append(remaining, account)
			continue
		}
		account.sync.urgent = false
		l.appendCounts(batches, owner, account, now)
	}
	l.urgent = remaining
	l.recordSent(batches, now)
	return batches
}

// countBatches holds the counts to send, by owner.
type countBatches map[string][]*wire.Count

// add appends counts unless there is no owner to send them to.
func (b countBatches) add(owner string, counts ...*wire.Count) {
	if owner != "" {
		b[owner] = append(b[owner], counts...)
	}
}

func (b countBatches) sort() {
	for _, counts := range b {
		sort.Slice(counts, func(i, j int) bool {
			if counts[i].Tenant != counts[j].Tenant {
				return counts[i].Tenant < counts[j].Tenant
			}
			return counts[i].Window < counts[j].Window
		})
	}
}

// appendCounts appends an account's demand and its count of the current window. It
// appends the count of the previous window if the owner may lack it or its total is
// needed.
func (l *Limiter) appendCounts(batches countBatches, owner string, account *account, now time.Time) {
	if owner == "" {
		return
	}
	account.sync.recordSend(now)
	account.demand.decay(now)
	batches.add(owner, demandReport{tokens: account.demand.tokens, sampledAt: now}.wireCount(account.tenant))

	withTotals := account.sync.hasTotals() && l.ownerNeedsTotals(owner, account)
	window := l.grid.window(now)
	if withTotals || l.needsPreviousWindow(account, now) {
		batches.add(owner, l.count(account, window-1, withTotals))
	}
	batches.add(owner, l.count(account, window, withTotals))
}

// ownerNeedsTotals reports whether an owner may lack spend of other fronts that this
// front knows of: it has just started, or this front's totals are from another owner.
func (l *Limiter) ownerNeedsTotals(owner string, account *account) bool {
	state := l.owner(owner)
	return state.justStarted || account.sync.owner != frontID{owner, state.incarnation}
}

func (l *Limiter) needsPreviousWindow(account *account, now time.Time) bool {
	slice := l.grid.slice(now)
	first, _ := l.grid.windowSlices(l.grid.windowOf(slice))
	staleBefore := now.Add(-l.config.Window / staleTotalsDivisor)
	return account.sync.totalsAsOf.Before(staleBefore) || slice-first < l.grid.slicesPerWindow/4
}

func (l *Limiter) count(account *account, window int64, withTotals bool) *wire.Count {
	first, last := l.grid.windowSlices(window)
	count := &wire.Count{
		Tenant: account.tenant,
		Window: window,
		Own:    account.spend.own.sum(first, last),
		Slices: account.spend.own.windowTokens(l.grid, window),
	}
	if withTotals {
		count.Learned = account.spend.all.sum(first, last)
		count.LearnedSlices = account.spend.all.windowTokens(l.grid, window)
	}
	return count
}

// ApplyTotals applies an owner's response to counts that were sent at sentAt. Responses
// may be late, repeated or out of order.
func (l *Limiter) ApplyTotals(resp *wire.AddResponse, sentAt, now time.Time) {
	now = l.advance(now)
	if sentAt.After(now) {
		sentAt = now
	}
	owner := l.owner(resp.Holder)
	owner.incarnation = resp.Incarnation
	owner.justStarted = resp.Fresh
	for _, total := range resp.Totals {
		account := l.accounts[total.Tenant]
		switch {
		case account == nil:
		case isAllocationReport(total):
			account.allocation.allocationReport = readAllocationReport(total)
			owner.sendSpacing = account.allocation.sendSpacing
			account.sync.recordAnswer(frontID{resp.Holder, resp.Incarnation}, sentAt)
		default:
			l.applyTotal(account, total, now)
		}
	}
}

// applyTotal raises the slices of a window to the sum of the other fronts' reported
// spend and this front's current spend.
func (l *Limiter) applyTotal(account *account, total *wire.Total, now time.Time) {
	first, _ := l.grid.windowSlices(total.Window)
	newest := l.grid.newestAcceptedSlice(now)
	for i, tokens := range total.Slices {
		slice := first + int64(i)
		if i < len(total.AckedSlices) {
			tokens -= total.AckedSlices[i]
		}
		if tokens > 0 && slice >= 0 && slice <= newest {
			account.spend.all.raise(slice, tokens+account.spend.own.get(slice))
		}
	}
}
