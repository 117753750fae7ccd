package quota

import (
	"time"

	"stepwick/internal/wire"
)

// demandReportsPerInterval limits how many demand reports of a front are kept, and how
// often the fronts' demand is summed, per interval.
const demandReportsPerInterval = 4

// minExcessFactor is the factor by which another owner's total must exceed the reported
// spend to indicate spend that was not reported here. A smaller excess may be due to
// rounding.
const minExcessFactor = 1.000001

// Counter counts the spend, per front, of the tenants that this front owns, and divides
// their remaining capacity among the fronts.
type Counter struct {
	self        string
	incarnation uint64
	config      Config
	grid        timeGrid
	membership  membership
	uptime      uptime
	load        loadControl
	tenants     map[string]*tenantCount
}

// NewCounter returns an empty Counter of the front named self.
func NewCounter(self string, incarnation uint64, config Config) *Counter {
	config = config.withDefaults()
	return &Counter{
		self:        self,
		incarnation: incarnation,
		config:      config,
		grid:        newTimeGrid(config),
		membership:  membership{unresponsive: map[string]time.Time{}},
		load:        newLoadControl(),
		tenants:     map[string]*tenantCount{},
	}
}

// uptime detects starts and suspensions of the process by gaps between calls.
type uptime struct {
	lastCall     time.Time
	runningSince time.Time
}

// recordCall records a call and reports whether it is the first one or the previous one
// was longer than maxGap ago.
func (u *uptime) recordCall(now time.Time, maxGap time.Duration) (resumed bool) {
	if u.lastCall.IsZero() || now.Sub(u.lastCall) > maxGap {
		u.runningSince = now
		resumed = true
	}
	if now.After(u.lastCall) {
		u.lastCall = now
	}
	return resumed
}

// recordCall must be called first by each exported method that receives counts or the
// membership. After a start or suspension the totals are out of date and the other
// fronts have had no time to respond, so it discards which fronts are unresponsive.
func (c *Counter) recordCall(now time.Time) {
	if c.uptime.recordCall(now, frontMissingAfter.duration(&c.config)) {
		c.membership.assumeResponsive()
	}
}

// justStarted reports whether the process started or resumed less than startupGrace ago.
func (c *Counter) justStarted(now time.Time) bool {
	return now.Sub(c.uptime.runningSince) < startupGrace.duration(&c.config)
}

// SetMembership sets the names of all fronts, and which of them are unresponsive but not
// known to be down: capacity is reserved for what these may be spending.
func (c *Counter) SetMembership(fronts, unresponsive []string, now time.Time) {
	c.recordCall(now)
	c.load.update(&c.config, now)
	c.membership.setFronts(fronts)
	if c.justStarted(now) {
		unresponsive = nil
	}
	c.membership.setUnresponsive(unresponsive, now, c.config.Window)
	c.membership.detectPartition(len(unresponsive), now)
	if !c.membership.setReachable(Reachable(fronts, unresponsive)) {
		return
	}
	for tenant, count := range c.tenants {
		count.setCountedForOther(c.countedForOther(tenant), now)
	}
}

// countedForOther reports whether this front counts a tenant's spend on behalf of
// another front, which is the owner according to this front's view of the membership.
func (c *Counter) countedForOther(tenant string) bool {
	reachable := c.membership.reachable
	return len(reachable) > 0 && OwnerOf(tenant, reachable) != c.self
}

// Add applies a front's counts and returns the totals over all fronts. For each slice of
// a front, the highest count received is kept, so that requests may be repeated, late or
// out of order.
func (c *Counter) Add(req *wire.AddRequest, now time.Time) *wire.AddResponse {
	c.recordCall(now)
	call := addCall{
		counter: c,
		front:   frontID{req.Front, req.Incarnation},
		window:  c.grid.window(now),
		now:     now,
		response: &wire.AddResponse{
			Holder:      c.self,
			Incarnation: c.incarnation,
			Fresh:       c.justStarted(now),
		},
	}
	c.load.observeSender(call.front, now)
	for i, count := range req.Counts {
		lastOfTenant := i+1 == len(req.Counts) || req.Counts[i+1].Tenant != count.Tenant
		call.apply(count, lastOfTenant)
	}
	return call.response
}

// addCall is the state of one call of Add.
type addCall struct {
	counter   *Counter
	front     frontID
	window    int64 // current window
	now       time.Time
	lastAdded *contribution // last contribution that this call added
	response  *wire.AddResponse
}

func (a *addCall) apply(count *wire.Count, lastOfTenant bool) {
	tenant := a.counter.openCount(count.Tenant, a.now)
	contribution := a.contribution(tenant)
	if isDemandReport(count) {
		a.applyDemand(contribution, readDemandReport(count))
		return
	}
	if contribution == a.lastAdded && count.Learned > 0 {
		tenant.hasOtherOwnerTotals = true
	}
	a.counter.merge(tenant, contribution, count, a.now)
	a.appendTotal(tenant, contribution, count.Tenant, count.Window)
	if count.Window < a.window {
		contribution.previousWindowSentAt = a.now
	}
	if lastOfTenant {
		a.finishTenant(tenant, contribution, count.Tenant)
	}
}

// contribution returns the front's contribution to a tenant's count, marked as active,
// and adds it if there is none.
func (a *addCall) contribution(tenant *tenantCount) *contribution {
	existing := tenant.contributions[a.front]
	if existing == nil {
		existing = &contribution{}
		tenant.contributions[a.front] = existing
		tenant.demand.invalidate()
		a.lastAdded = existing
	}
	if existing.idle {
		existing.demand = demandHistory{}
		tenant.demand.invalidate()
	}
	existing.lastReceivedAt = a.now
	existing.idle = false
	return existing
}

func (a *addCall) applyDemand(sender *contribution, report demandReport) {
	sender.idle = report.idle
	sampledAt := report.sampledAt
	if sampledAt.After(a.now) {
		sampledAt = a.now
	}
	if !report.idle && !a.counter.justStarted(a.now) {
		a.counter.load.observeLag(&a.counter.config, a.now.Sub(sampledAt))
	}
	sender.demand.record(report.tokens, sampledAt, a.counter.config.Interval/demandReportsPerInterval)
}

func (a *addCall) appendTotal(tenant *tenantCount, sender *contribution, name string, window int64) {
	a.response.Totals = append(a.response.Totals, a.counter.total(tenant, sender, name, window))
}

// finishTenant appends the last entries for a tenant to the response: the previous
// window's total, if it was raised after it was last sent to the front, and the front's
// allocation.
func (a *addCall) finishTenant(tenant *tenantCount, sender *contribution, name string) {
	if !sender.previousWindowSentAt.After(tenant.previousWindowRaisedAt) {
		sender.previousWindowSentAt = a.now
		a.appendTotal(tenant, sender, name, a.window-1)
	}
	if a.counter.mayAllocate(tenant, a.now) {
		report := a.counter.allocate(tenant, sender, a.now)
		a.response.Totals = append(a.response.Totals, report.wireTotal(name))
	}
}

// mayAllocate reports whether the count is complete enough to divide the capacity. A
// count on behalf of another front isn't at first, since this front's view of the
// membership, rather than the sender's, may be out of date. A count taken over from
// another owner isn't until each front has had time to send its counts.
func (c *Counter) mayAllocate(tenant *tenantCount, now time.Time) bool {
	age := now.Sub(tenant.countStartedAt)
	if tenant.countedForOther {
		return age > ownerUnresponsiveAfter.duration(&c.config)
	}
	spacing := baseSpacing(&c.config, len(c.membership.fronts))
	return !tenant.hasOtherOwnerTotals || spacing == 0 || age > spacing+c.config.Interval
}

// openCount returns a tenant's count and creates it if there is none.
func (c *Counter) openCount(name string, now time.Time) *tenantCount {
	tenant := c.tenants[name]
	if tenant == nil {
		tenant = &tenantCount{
			contributions:    map[frontID]*contribution{},
			reportedSpend:    newSliceRing(c.grid),
			otherOwnerTotals: newSliceRing(c.grid),
			countedForOther:  c.countedForOther(name),
			countStartedAt:   now,
		}
		c.tenants[name] = tenant
	}
	if tenant.countedForOther && now.Sub(tenant.lastCountedAt) > ownerUnresponsiveAfter.duration(&c.config) {
		tenant.countStartedAt = now
	}
	tenant.lastCountedAt = now
	return tenant
}

// merge raises the contribution's spend and the other owners' totals to those in count.
func (c *Counter) merge(tenant *tenantCount, sender *contribution, count *wire.Count, now time.Time) {
	first, _ := c.grid.windowSlices(count.Window)
	newest := c.grid.newestAcceptedSlice(now)
	for i, tokens := range c.truncateToWindow(count.Slices) {
		slice := first + int64(i)
		if slice < 0 || slice > newest {
			continue
		}
		if increase := sender.spend.raise(c.grid, slice, tokens); increase > 0 {
			tenant.reportedSpend.add(slice, increase)
			c.recordIncrease(tenant, slice, now)
		}
	}
	for i, tokens := range c.truncateToWindow(count.LearnedSlices) {
		slice := first + int64(i)
		if slice < 0 || slice > newest {
			continue
		}
		if tenant.otherOwnerTotals.raise(slice, tokens) > 0 {
			c.recordIncrease(tenant, slice, now)
			tenant.hasOtherOwnerTotals = tenant.hasOtherOwnerTotals || tokens > minExcessFactor*tenant.reportedSpend.get(slice)
		}
	}
}

func (c *Counter) truncateToWindow(tokens []float64) []float64 {
	return tokens[:min(len(tokens), int(c.grid.slicesPerWindow))]
}

// recordIncrease records the time of an increase in a window that has ended, so that
// fronts that no longer request the window's total receive it once more.
func (c *Counter) recordIncrease(tenant *tenantCount, slice int64, now time.Time) {
	if c.grid.windowOf(slice) < c.grid.window(now) {
		tenant.previousWindowRaisedAt = now
	}
}

// total returns the total of a window: for each slice, the higher of the sum of the
// fronts' spend and the total reported by other owners.
func (c *Counter) total(tenant *tenantCount, sender *contribution, name string, window int64) *wire.Total {
	total := &wire.Total{
		Tenant:      name,
		Window:      window,
		Slices:      tenant.reportedSpend.windowTokens(c.grid, window),
		AckedSlices: sender.spend.windowTokens(c.grid, window),
	}
	for i, tokens := range tenant.otherOwnerTotals.windowTokens(c.grid, window) {
		if i >= len(total.Slices) {
			total.Slices = append(total.Slices, 0)
		}
		total.Slices[i] = max(total.Slices[i], tokens)
	}
	total.Total = accumulate(0, total.Slices)
	total.Acked = accumulate(0, total.AckedSlices)
	return total
}

// Prune removes tenants and contributions of fronts without counts for two windows.
// Contributions of unresponsive fronts are kept.
func (c *Counter) Prune(now time.Time) {
	idleBefore := now.Add(-2 * c.config.Window)
	for name, tenant := range c.tenants {
		if tenant.lastCountedAt.Before(idleBefore) {
			delete(c.tenants, name)
			continue
		}
		for front, contribution := range tenant.contributions {
			if !c.membership.tracksUnresponsive(front.name) && contribution.lastReceivedAt.Before(idleBefore) {
				delete(tenant.contributions, front)
			}
		}
	}
}

// Tenants returns the number of tenants with a count.
func (c *Counter) Tenants() int { return len(c.tenants) }
