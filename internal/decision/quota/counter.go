package quota

import (
	"time"

	"stepwick/internal/wire"
)

// demandReportSpacing is the fraction of an interval in which at most one demand
// report of a front is retained and the fronts' demand is summed at most once.
const demandReportSpacing = 4

// relevantExcess is the factor by which a total that a front knows must exceed the
// reported spend to show spend that was not reported here; less may be rounding.
const relevantExcess = 1.000001

// Counter counts, by front, the spend of the tenants that this front owns.
type Counter struct {
	self        string
	incarnation uint64
	config      Config
	grid        timeGrid
	membership  membership
	uptime      uptime
	load        addLoad
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
		load:        newAddLoad(),
		tenants:     map[string]*tenantCount{},
	}
}

// uptime detects that the process has just started or was suspended.
type uptime struct {
	lastCall     time.Time
	runningSince time.Time
}

// observe records a call and reports whether it is the first one or comes after a gap.
func (u *uptime) observe(now time.Time, maxGap time.Duration) (resumed bool) {
	if u.lastCall.IsZero() || now.Sub(u.lastCall) > maxGap {
		u.runningSince = now
		resumed = true
	}
	if now.After(u.lastCall) {
		u.lastCall = now
	}
	return resumed
}

// observe has to be called first at each entry. After a start or suspension the totals
// are out of date, and this process hasn't had time to hear the other fronts: its own
// view of who is unresponsive is discarded.
func (c *Counter) observe(now time.Time) {
	if c.uptime.observe(now, frontMissingAfter.in(&c.config)) {
		c.membership.assumeResponsive()
	}
}

// justStarted reports whether the process started or resumed so recently that it
// doesn't know all fronts' spend and state.
func (c *Counter) justStarted(now time.Time) bool {
	return now.Sub(c.uptime.runningSince) < startupGrace.in(&c.config)
}

// SetMembership sets the names of all fronts, and which of them are unresponsive
// without being known to be down: capacity is reserved for what these may be spending.
func (c *Counter) SetMembership(fronts, unresponsive []string, now time.Time) {
	c.observe(now)
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
		count.setForOther(c.countedForOther(tenant), now)
	}
}

// countedForOther reports whether this front counts a tenant's spend on behalf of
// another front, which is the owner by this front's own view of the membership.
func (c *Counter) countedForOther(tenant string) bool {
	reachable := c.membership.reachable
	return len(reachable) > 0 && OwnerOf(tenant, reachable) != c.self
}

// Add applies a front's counts and returns the totals over all fronts. Each slice of
// a front keeps the highest count received, so that a request may be repeated, late
// or out of order.
func (c *Counter) Add(req *wire.AddRequest, now time.Time) *wire.AddResponse {
	c.observe(now)
	addition := addition{
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
	c.load.observeSender(addition.front, now)
	for i, count := range req.Counts {
		lastOfTenant := i+1 == len(req.Counts) || req.Counts[i+1].Tenant != count.Tenant
		addition.apply(count, lastOfTenant)
	}
	return addition.response
}

// addition is the state of one Add.
type addition struct {
	counter  *Counter
	front    frontID
	window   int64 // current window
	now      time.Time
	newcomer *contribution // added last by this addition
	response *wire.AddResponse
}

func (a *addition) apply(count *wire.Count, lastOfTenant bool) {
	tenant := a.counter.open(count.Tenant, a.now)
	contribution := a.contribution(tenant)
	if isDemandReport(count) {
		a.applyDemand(contribution, readDemandReport(count))
		return
	}
	if contribution == a.newcomer && count.Learned > 0 {
		tenant.totalsReported = true
	}
	a.counter.merge(tenant, contribution, count, a.now)
	a.respond(tenant, contribution, count.Tenant, count.Window)
	if count.Window < a.window {
		contribution.previousSentAt = a.now
	}
	if lastOfTenant {
		a.complete(tenant, contribution, count.Tenant)
	}
}

// contribution returns the front's contribution to a tenant's count, now active.
func (a *addition) contribution(tenant *tenantCount) *contribution {
	existing := tenant.fronts[a.front]
	if existing == nil {
		existing = &contribution{}
		tenant.fronts[a.front] = existing
		tenant.demand.invalidate()
		a.newcomer = existing
	}
	if existing.idle {
		existing.demand = demandHistory{}
		tenant.demand.invalidate()
	}
	existing.lastReceived = a.now
	existing.idle = false
	return existing
}

func (a *addition) applyDemand(from *contribution, report demandReport) {
	from.idle = report.idle
	at := report.at
	if at.After(a.now) {
		at = a.now
	}
	if !report.idle && !a.counter.justStarted(a.now) {
		a.counter.load.observeLag(&a.counter.config, a.now.Sub(at))
	}
	from.demand.record(report.tokens, at, a.counter.config.Interval/demandReportSpacing)
}

func (a *addition) respond(tenant *tenantCount, from *contribution, name string, window int64) {
	a.response.Totals = append(a.response.Totals, a.counter.total(tenant, from, name, window))
}

// complete ends a tenant's part of the response: with the previous window's total if
// it rose after the front received it last, and with the front's allocation.
func (a *addition) complete(tenant *tenantCount, from *contribution, name string) {
	if !from.previousSentAt.After(tenant.previousRoseAt) {
		from.previousSentAt = a.now
		a.respond(tenant, from, name, a.window-1)
	}
	if a.counter.mayAllocate(tenant, a.now) {
		report := a.counter.allocate(tenant, from, a.now)
		a.response.Totals = append(a.response.Totals, report.total(name))
	}
}

// mayAllocate reports whether the count is complete enough to divide the capacity. At
// first a count on behalf of another front isn't, since this front's view, not the
// caller's, may be out of date; nor is one taken over from another owner before each
// front has sent its part.
func (c *Counter) mayAllocate(tenant *tenantCount, now time.Time) bool {
	age := now.Sub(tenant.startedAt)
	if tenant.countedForOther {
		return age > ownerUnresponsiveAfter.in(&c.config)
	}
	spacing := baseSpacing(&c.config, len(c.membership.fronts))
	return !tenant.totalsReported || spacing == 0 || age > spacing+c.config.Interval
}

// open returns a tenant's count, new if there is none.
func (c *Counter) open(name string, now time.Time) *tenantCount {
	tenant := c.tenants[name]
	if tenant == nil {
		tenant = &tenantCount{
			fronts:          map[frontID]*contribution{},
			reported:        newSliceRing(c.grid),
			learned:         newSliceRing(c.grid),
			countedForOther: c.countedForOther(name),
			startedAt:       now,
		}
		c.tenants[name] = tenant
	}
	if tenant.countedForOther && now.Sub(tenant.lastCounted) > ownerUnresponsiveAfter.in(&c.config) {
		tenant.startedAt = now
	}
	tenant.lastCounted = now
	return tenant
}

// merge adds what is new in a count.
func (c *Counter) merge(tenant *tenantCount, from *contribution, count *wire.Count, now time.Time) {
	first, _ := c.grid.windowSlices(count.Window)
	newest := c.grid.newestPlausible(now)
	for i, tokens := range c.withinWindow(count.Slices) {
		slice := first + int64(i)
		if slice < 0 || slice > newest {
			continue
		}
		if increase := from.spend.raise(c.grid, slice, tokens); increase > 0 {
			tenant.reported.add(slice, increase)
			c.recordIncrease(tenant, slice, now)
		}
	}
	for i, tokens := range c.withinWindow(count.LearnedSlices) {
		slice := first + int64(i)
		if slice < 0 || slice > newest {
			continue
		}
		if tenant.learned.raise(slice, tokens) > 0 {
			c.recordIncrease(tenant, slice, now)
			tenant.totalsReported = tenant.totalsReported || tokens > relevantExcess*tenant.reported.get(slice)
		}
	}
}

func (c *Counter) withinWindow(tokens []float64) []float64 {
	return tokens[:min(len(tokens), int(c.grid.slicesPerWindow))]
}

// recordIncrease records when a window rose after its end: fronts that no longer
// request its total receive it once more.
func (c *Counter) recordIncrease(tenant *tenantCount, slice int64, now time.Time) {
	if c.grid.windowOf(slice) < c.grid.window(now) {
		tenant.previousRoseAt = now
	}
}

// total returns the total of a window: for each slice the higher of the fronts' sum and
// of what a front knew of it.
func (c *Counter) total(tenant *tenantCount, from *contribution, name string, window int64) *wire.Total {
	total := &wire.Total{
		Tenant:      name,
		Window:      window,
		Slices:      tenant.reported.windowTokens(c.grid, window),
		AckedSlices: from.spend.windowTokens(c.grid, window),
	}
	for i, tokens := range tenant.learned.windowTokens(c.grid, window) {
		if i >= len(total.Slices) {
			total.Slices = append(total.Slices, 0)
		}
		total.Slices[i] = max(total.Slices[i], tokens)
	}
	total.Total = accumulate(0, total.Slices)
	total.Acked = accumulate(0, total.AckedSlices)
	return total
}

// Prune forgets the tenants and the fronts' contributions that were idle for two
// windows. Contributions of unresponsive fronts are retained.
func (c *Counter) Prune(now time.Time) {
	horizon := now.Add(-2 * c.config.Window)
	for name, tenant := range c.tenants {
		if tenant.lastCounted.Before(horizon) {
			delete(c.tenants, name)
			continue
		}
		for front, contribution := range tenant.fronts {
			if !c.membership.tracksUnresponsive(front.name) && contribution.lastReceived.Before(horizon) {
				delete(tenant.fronts, front)
			}
		}
	}
}

// Tenants returns the number of tenants counted.
func (c *Counter) Tenants() int { return len(c.tenants) }
