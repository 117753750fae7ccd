package quota

import (
	"math"
	"time"
)

const (
	// uncertainBudgetFraction is the fraction of its budget that a front spends
	// while its totals are stale though the owner is not known to be unresponsive.
	uncertainBudgetFraction = 0.1

	// demandDecayRate is the rate per second at which demand decays exponentially.
	demandDecayRate = 2

	retrySearchSteps = 256 // of a window, the precision of RetryAfter
)

// account is a limiter's state of one tenant.
type account struct {
	tenant       string
	allowance    Allowance
	lastUsed     time.Time // last request
	blockedUntil time.Time // in effect without EarlyUnblock
	spend        spendCounters
	demand       decayingDemand
	allocation   allocation
	sync         ownerSync
}

// spendCounters count a tenant's tokens by slice.
type spendCounters struct {
	own sliceRing // spent at this front
	all sliceRing // spent at all fronts, at the others as far as known
}

func (s *spendCounters) add(slice int64, tokens float64) {
	s.own.add(slice, tokens)
	s.all.add(slice, tokens)
}

// decayingDemand sums the tokens requested of this front, decaying by demandDecayRate.
type decayingDemand struct {
	tokens    float64
	decayedAt time.Time
}

func (d *decayingDemand) decay(now time.Time) {
	if elapsed := now.Sub(d.decayedAt); elapsed > 0 {
		d.tokens *= math.Exp(-demandDecayRate * elapsed.Seconds())
		d.decayedAt = now
	}
}

func (d *decayingDemand) add(tokens float64, now time.Time) {
	d.decay(now)
	d.tokens += tokens
}

// allocation is this front's part in a tenant's limit.
type allocation struct {
	allocationReport         // as last reported by the owner
	evenShare        float64 // share if all fronts' were equal
	rank             float64 // of this front in the tenant's order of fronts, 0 to 1
}

// estimate is what an account amounts to at one instant.
type estimate struct {
	limit    float64
	previous float64 // total of the previous window
	current  float64 // total of the current window
	weighted float64 // sliding window counter
	recent   float64 // spend within one window's length

	reserved  float64 // for unresponsive fronts, beyond what they are known to have spent
	overspend float64 // by which fronts may exceed the limit by their shares
	overshoot float64 // by which recent may exceed the limit

	unconfirmed float64 // spent at this front, possibly missing in the owner's totals
	budget      float64 // bound of unconfirmed
}

func (a *account) estimate(config *Config, grid timeGrid, now time.Time) estimate {
	result := estimate{limit: a.allowance.TokensPerWindow(config.Window)}
	a.estimateSpend(&result, grid, now)
	result.unconfirmed = a.unconfirmedSpend(config, grid, now)
	result.reserved = max(0, a.allocation.reserved*result.limit-a.allocation.reservedSpent)
	result.overspend = config.Overspend * result.limit
	result.overshoot = config.Overshoot * result.limit
	if a.allocation.reserved > 0 {
		result.overspend /= 2
		result.overshoot = 0
	}
	result.budget = a.budget(config, &result, now)
	return result
}

// estimateSpend sets the totals of the windows and the estimates made of them.
func (a *account) estimateSpend(estimate *estimate, grid timeGrid, now time.Time) {
	slice, elapsed := grid.position(now)
	first, _ := grid.windowSlices(grid.windowOf(slice))
	oldest := slice - grid.slicesPerWindow
	newest := max(a.spend.all.newest, slice)

	outside := a.spend.all.sum(first-grid.slicesPerWindow, oldest)
	overlapping := a.spend.all.sum(oldest+1, first-1)
	estimate.previous = outside + overlapping
	estimate.current = a.spend.all.sum(first, newest)

	windowElapsed := (float64(slice-first) + elapsed) / float64(grid.slicesPerWindow)
	estimate.weighted = estimate.previous*(1-windowElapsed) + estimate.current
	estimate.recent = overlapping + estimate.current + a.spend.all.get(oldest)*(1-elapsed)
}

// unconfirmedSpend returns what this front has spent since the instant up to which
// the owner's totals are complete, or within one window's length if that is later.
func (a *account) unconfirmedSpend(config *Config, grid timeGrid, now time.Time) float64 {
	slice, elapsed := grid.position(now)
	oldest := slice - grid.slicesPerWindow
	newest := max(a.spend.all.newest, slice)
	if confirmed, part := grid.position(a.confirmedUntil(config)); confirmed > oldest && a.sync.hasTotals() {
		return a.spend.own.sum(confirmed+1, newest) + a.spend.own.get(confirmed)*(1-part)
	}
	return a.spend.own.sum(oldest+1, newest) + a.spend.own.get(oldest)*(1-elapsed)
}

// confirmedUntil returns the instant up to which the totals have all fronts' spend.
func (a *account) confirmedUntil(config *Config) time.Time {
	return a.sync.totalsAsOf.Add(-config.MaxLag - a.allocation.sendSpacing)
}

// budget returns how much this front may spend before the owner's totals include it:
// its share of the capacity that is known to be left. While the owner is unresponsive
// the share is an even one, since the last ones may add up to more than one: a front
// where the tenant was idle retains its own. A front that had no recent totals when the
// owner stopped answering takes the limit for spent, less and less over one window
// (assumedSpent).
func (a *account) budget(config *Config, estimate *estimate, now time.Time) float64 {
	unresponsive := a.sync.ownerUnresponsive(config, now)
	maxAge := ownerUnresponsiveAfter.in(config) + a.allocation.sendSpacing
	uninformed := !a.sync.hasTotals() || a.sync.waitingSince.Sub(a.sync.totalsAsOf) > maxAge
	spent := estimate.recent - estimate.unconfirmed
	if unresponsive && uninformed {
		spent = max(spent, estimate.limit*assumedSpent(a.sync.waitingSince, now, config.Window))
	}
	share := a.allocation.share
	if unresponsive {
		share = a.allocation.evenShare
	}
	budget := share * max(0, estimate.limit+estimate.overspend-estimate.reserved-spent)
	stale := uninformed || now.Sub(a.sync.totalsAsOf) > maxAge
	if stale && !unresponsive {
		budget *= uncertainBudgetFraction
	}
	return budget
}

// verdict is the outcome of comparing a request with the limit and the front's share.
type verdict uint8

const (
	withinLimit verdict = iota
	overLimit
	overShare
)

// judge compares a request with the estimate. A large request may exceed the bound by
// half of itself, so that a tenant of large requests gets its limit and not always
// less. Against the front's share it counts by the front's rank: of many fronts whose
// shares are below one request's size, only as many allow one as there is capacity for.
func (a *account) judge(config *Config, estimate *estimate, tokens float64) verdict {
	if estimate.limit <= 0 {
		return overLimit
	}
	bounded := min(tokens, estimate.limit)
	half := bounded / 2
	after := estimate.recent + bounded + estimate.reserved
	hasCapacity := config.enabled(SlidingCapacity) && after <= estimate.limit+max(estimate.overspend, half)
	switch {
	case estimate.weighted >= estimate.limit && !hasCapacity:
		return overLimit
	case config.enabled(SlidingLimit) && after > estimate.limit+max(estimate.overshoot, half) && estimate.recent > 0:
		return overLimit
	case config.enabled(FrontShares) && estimate.unconfirmed+tokens*a.allocation.rank+a.allocation.share*min(half, estimate.overspend) > estimate.budget:
		return overShare
	}
	return withinLimit
}

// retryAfter returns how long it takes until a request is within the limit if nobody
// spends meanwhile.
func (a *account) retryAfter(config *Config, grid timeGrid, now time.Time, tokens float64) time.Duration {
	low, high := time.Duration(0), 2*config.Window
	for high-low > config.Window/retrySearchSteps {
		middle := (low + high) / 2
		estimate := a.estimate(config, grid, now.Add(middle))
		if a.judge(config, &estimate, tokens) == withinLimit {
			high = middle
		} else {
			low = middle
		}
	}
	return max(high, config.Interval/4)
}
