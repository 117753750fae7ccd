package quota

import (
	"math"
	"time"
)

const (
	// staleBudgetFraction is the fraction of its budget that a front may spend while
	// its totals are stale but the owner is not yet considered unresponsive.
	staleBudgetFraction = 0.1

	// demandDecayRate is the rate of the exponential decay of demand, per second.
	demandDecayRate = 2

	// retrySearchSteps is the precision of RetryAfter, in steps per window.
	retrySearchSteps = 256
)

// account is a limiter's state for one tenant.
type account struct {
	tenant       string
	allowance    Allowance
	lastUsedAt   time.Time // last request
	blockedUntil time.Time // used only if EarlyUnblock is disabled
	spend        spendCounters
	demand       decayingDemand
	allocation   allocation
	sync         ownerSync
}

// spendCounters holds a tenant's spend per slice.
type spendCounters struct {
	own sliceRing // spend at this front
	all sliceRing // spend at this front plus the reported spend of all others
}

func (s *spendCounters) add(slice int64, tokens float64) {
	s.own.add(slice, tokens)
	s.all.add(slice, tokens)
}

// decayingDemand is the sum of the tokens requested at this front, decaying
// exponentially at demandDecayRate.
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

// allocation is the part of a tenant's limit that this front may spend.
type allocation struct {
	allocationReport         // last one received from the owner
	evenShare        float64 // share if it were equal for all fronts
	rank             float64 // position of this front in the tenant's rendezvous order, 0 to 1
}

// estimate is a tenant's spend, limit and budget at one instant, in tokens.
type estimate struct {
	limit    float64
	previous float64 // total of the previous window
	current  float64 // total of the current window
	weighted float64 // value of the sliding window counter
	recent   float64 // spend during the last Config.Window

	reserved  float64 // reserved for unresponsive fronts, less their known spend
	overspend float64 // by which all fronts' shares together may exceed the limit
	overshoot float64 // by which recent may exceed the limit

	unconfirmed float64 // spend at this front that the owner's totals may lack
	budget      float64 // upper bound of unconfirmed
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

// estimateSpend sets the fields previous, current, weighted and recent.
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

// unconfirmedSpend returns this front's spend since the instant up to which the
// owner's totals are complete, but at most that of the last Config.Window.
func (a *account) unconfirmedSpend(config *Config, grid timeGrid, now time.Time) float64 {
	slice, elapsed := grid.position(now)
	oldest := slice - grid.slicesPerWindow
	newest := max(a.spend.all.newest, slice)
	if confirmed, fraction := grid.position(a.confirmedUntil(config)); confirmed > oldest && a.sync.hasTotals() {
		return a.spend.own.sum(confirmed+1, newest) + a.spend.own.get(confirmed)*(1-fraction)
	}
	return a.spend.own.sum(oldest+1, newest) + a.spend.own.get(oldest)*(1-elapsed)
}

// confirmedUntil returns the instant up to which the totals include all fronts' spend.
func (a *account) confirmedUntil(config *Config) time.Time {
	return a.sync.totalsAsOf.Add(-config.MaxLag - a.allocation.sendSpacing)
}

// budget returns how much this front may spend before the owner's totals include it:
// its share of the remaining capacity. While the owner is unresponsive, each front uses
// an even share, since the last reported shares may add up to more than 1: a front
// where the tenant was idle keeps the share it had. A front whose totals were already
// stale when the owner stopped responding assumes that the limit is spent, to a
// fraction that falls to 0 over one window (assumedSpentFraction).
func (a *account) budget(config *Config, estimate *estimate, now time.Time) float64 {
	unresponsive := a.sync.ownerUnresponsive(config, now)
	maxAge := ownerUnresponsiveAfter.duration(config) + a.allocation.sendSpacing
	totalsWereStale := !a.sync.hasTotals() || a.sync.waitingSince.Sub(a.sync.totalsAsOf) > maxAge
	spent := estimate.recent - estimate.unconfirmed
	if unresponsive && totalsWereStale {
		spent = max(spent, estimate.limit*assumedSpentFraction(a.sync.waitingSince, now, config.Window))
	}
	share := a.allocation.share
	if unresponsive {
		share = a.allocation.evenShare
	}
	budget := share * max(0, estimate.limit+estimate.overspend-estimate.reserved-spent)
	stale := totalsWereStale || now.Sub(a.sync.totalsAsOf) > maxAge
	if stale && !unresponsive {
		budget *= staleBudgetFraction
	}
	return budget
}

// limitStatus is the result of checking a request against the tenant's limit and the
// front's share.
type limitStatus uint8

const (
	withinLimit limitStatus = iota
	overLimit
	overShare
)

// checkLimits checks a request against the tenant's limit and the front's share. A
// request may exceed the limit by half of its size; otherwise a tenant with large
// requests would always stay below its limit. For the front's share, the request's size
// is scaled by the front's rank: if the shares of many fronts are smaller than one
// request, only as many fronts allow one as the capacity permits.
func (a *account) checkLimits(config *Config, estimate *estimate, tokens float64) limitStatus {
	if estimate.limit <= 0 {
		return overLimit
	}
	cappedTokens := min(tokens, estimate.limit)
	halfRequest := cappedTokens / 2
	recentAfter := estimate.recent + cappedTokens + estimate.reserved
	hasCapacity := config.enabled(SlidingCapacity) && recentAfter <= estimate.limit+max(estimate.overspend, halfRequest)
	switch {
	case estimate.weighted >= estimate.limit && !hasCapacity:
		return overLimit
	case config.enabled(SlidingLimit) && recentAfter > estimate.limit+max(estimate.overshoot, halfRequest) && estimate.recent > 0:
		return overLimit
	case config.enabled(FrontShares) && estimate.unconfirmed+tokens*a.allocation.rank+a.allocation.share*min(halfRequest, estimate.overspend) > estimate.budget:
		return overShare
	}
	return withinLimit
}

// retryAfter returns the time until a request is within the limits if nothing else is
// spent, found by binary search.
func (a *account) retryAfter(config *Config, grid timeGrid, now time.Time, tokens float64) time.Duration {
	low, high := time.Duration(0), 2*config.Window
	for high-low > config.Window/retrySearchSteps {
		middle := (low + high) / 2
		estimate := a.estimate(config, grid, now.Add(middle))
		if a.checkLimits(config, &estimate, tokens) == withinLimit {
			high = middle
		} else {
			low = middle
		}
	}
	return max(high, config.Interval/4)
}
