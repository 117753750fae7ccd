package quota

import (
	"sort"
	"time"

	"stepwick/internal/wire"
)

const (
	// calmBelow is the fraction of the limit below which a tenant's counts are sent
	// less often: once in calmSendIntervals.
	calmBelow = 0.5

	calmSendIntervals intervals = 3

	// The previous window's count is sent as well while its total may be needed: with
	// totals older than Window/staleTotalsDivisor, and in the first quarter of a window.
	staleTotalsDivisor = 8
)

// CountsToSend returns the counts to send, by owner, of all tenants that were
// requested recently, have unsent tokens or have become idle, and drops tenants that
// were idle for two windows.
func (l *Limiter) CountsToSend(now time.Time, ownerOf func(tenant string) string) map[string][]*wire.Count {
	now = l.advance(now)
	batches := countBatches{}
	early := l.config.Interval / 2
	for tenant, account := range l.accounts {
		if now.Sub(account.lastUsed) > 2*l.config.Window {
			delete(l.accounts, tenant)
			continue
		}
		owner := ownerOf(tenant)
		switch {
		case l.untilNextSend(owner, now) > early:
		case l.sentRecently(account, now):
		case l.needsSending(account, now):
			account.sync.urgent = false
			l.appendCounts(batches, owner, account, now)
		case !account.sync.reportedIdle:
			account.sync.reportedIdle = true
			batches.add(owner, demandReport{idle: true}.count(tenant))
		}
	}
	l.retainUrgent(ownerOf)
	l.recordSent(batches, now)
	batches.sort()
	return batches
}

// owner returns the state of an owner, added if it is new.
func (l *Limiter) owner(name string) *ownerState {
	state := l.owners[name]
	if state == nil {
		state = &ownerState{sendSpacing: baseSpacing(&l.config, len(l.fronts))}
		l.owners[name] = state
	}
	return state
}

// untilNextSend returns how long it takes until counts may be sent to an owner; zero or
// less if they may be now.
func (l *Limiter) untilNextSend(owner string, now time.Time) time.Duration {
	state := l.owner(owner)
	return state.sendSpacing - now.Sub(state.lastSent)
}

func (l *Limiter) recordSent(batches countBatches, now time.Time) {
	for owner := range batches {
		l.owner(owner).lastSent = now
	}
}

// retainUrgent leaves among the urgent accounts those that were not sent because of
// their owner's spacing.
func (l *Limiter) retainUrgent(ownerOf func(tenant string) string) {
	waiting := l.urgent[:0]
	for _, account := range l.urgent {
		account.sync.urgent = account.sync.urgent && l.owner(ownerOf(account.tenant)).sendSpacing > 0
		if account.sync.urgent {
			waiting = append(waiting, account)
		}
	}
	l.urgent = waiting
}

// CountsToFlush returns, by owner, the counts of all tenants with tokens that no owner
// is known to have.
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

// needsSending reports whether a tenant's counts have to be sent: it is active, has unsent
// tokens or a request for its totals is unanswered.
func (l *Limiter) needsSending(account *account, now time.Time) bool {
	return now.Sub(account.lastUsed) <= requestTotalsFor.in(&l.config) || account.sync.unsent > 0 || account.sync.waiting()
}

// sentRecently reports whether the counts of a tenant far below its limit were sent
// so recently that they can wait.
func (l *Limiter) sentRecently(account *account, now time.Time) bool {
	if now.Sub(account.sync.lastSent) >= (calmSendIntervals-1).in(&l.config)+l.config.Interval/2 {
		return false
	}
	estimate := account.estimate(&l.config, l.grid, now)
	return max(estimate.weighted, estimate.recent) < calmBelow*estimate.limit
}

// HasUrgent reports whether some counts should not wait for the next interval.
func (l *Limiter) HasUrgent() bool { return len(l.urgent) > 0 }

// UrgentCounts returns the counts, by owner, that should not wait for the next
// interval and whose owner is ready; the others stay urgent.
func (l *Limiter) UrgentCounts(now time.Time, ownerOf func(tenant string) string, ready func(owner string) bool) map[string][]*wire.Count {
	if len(l.urgent) == 0 {
		return nil
	}
	now = l.advance(now)
	batches := countBatches{}
	waiting := l.urgent[:0]
	for _, account := range l.urgent {
		owner := ownerOf(account.tenant)
		if l.untilNextSend(owner, now) > 0 || !ready(owner) {
			waiting = append(waiting, account)
			continue
		}
		account.sync.urgent = false
		l.appendCounts(batches, owner, account, now)
	}
	l.urgent = waiting
	l.recordSent(batches, now)
	return batches
}

// countBatches are counts by owner.
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

// appendCounts adds an account's demand and its counts of the current window and, if
// the owner may lack it or its total is needed, of the previous one.
func (l *Limiter) appendCounts(batches countBatches, owner string, account *account, now time.Time) {
	if owner == "" {
		return
	}
	account.sync.sent(now)
	account.demand.decay(now)
	batches.add(owner, demandReport{tokens: account.demand.tokens, at: now}.count(account.tenant))

	withTotals := account.sync.hasTotals() && l.needsTotals(owner, account)
	window := l.grid.window(now)
	if withTotals || l.needsPreviousWindow(account, now) {
		batches.add(owner, l.count(account, window-1, withTotals))
	}
	batches.add(owner, l.count(account, window, withTotals))
}

// needsTotals reports whether an owner may lack what this front knows of the other
// fronts' spend: it has just started, or another one reported the totals.
func (l *Limiter) needsTotals(owner string, account *account) bool {
	state := l.owner(owner)
	return state.fresh || account.sync.owner != frontID{owner, state.incarnation}
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

// ApplyTotals applies an owner's response to counts that were sent at sentAt.
// Responses may be late, repeated or out of order.
func (l *Limiter) ApplyTotals(resp *wire.AddResponse, sentAt, now time.Time) {
	now = l.advance(now)
	if sentAt.After(now) {
		sentAt = now
	}
	owner := l.owner(resp.Holder)
	owner.incarnation = resp.Incarnation
	owner.fresh = resp.Fresh
	for _, total := range resp.Totals {
		account := l.accounts[total.Tenant]
		switch {
		case account == nil:
		case isAllocationReport(total):
			account.allocation.allocationReport = readAllocationReport(total)
			owner.sendSpacing = account.allocation.sendSpacing
			account.sync.answered(frontID{resp.Holder, resp.Incarnation}, sentAt)
		default:
			l.applyTotal(account, total, now)
		}
	}
}

// applyTotal raises the slices of a window to the other fronts' spend, as reported,
// and this front's, as it is now.
func (l *Limiter) applyTotal(account *account, total *wire.Total, now time.Time) {
	first, _ := l.grid.windowSlices(total.Window)
	newest := l.grid.newestPlausible(now)
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
