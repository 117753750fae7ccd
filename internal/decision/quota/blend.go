package quota

import (
	"math"
	"time"
)

// account is what one front knows of one tenant.
type account struct {
	tenant string
	own    ring // this front's adds
	all    ring // every front's, the others' as far as learned

	terms    Allowance
	used     time.Time // last request
	wanted   float64   // tokens asked of this front, fading over half a second
	wantedAt time.Time
	sent     time.Time // last ask
	asOf     time.Time // when the totals learned last were asked for; zero: never
	asked    time.Time // first ask that has no answer yet; zero: none
	share    float64   // this front's part of the room
	kept     float64   // part of the limit kept for silent fronts
	met      float64   // tokens of it that they are known to have spent
	left     bool      // the holder was told that the tenant is not active here
	even     float64   // one front's even part
	turn     float64   // where this front stands in the order of rounding, 0..1
	unsent   float64   // own adds since the last ask
	urgent   bool
	marked   time.Time // the mark's end
	from     source
}

type source struct {
	name        string
	incarnation uint64
}

// want counts what is asked of this front; it fades over half a second.
func (a *account) want(tokens float64, now time.Time) {
	if passed := now.Sub(a.wantedAt); passed > 0 {
		a.wanted *= math.Exp(-2 * passed.Seconds())
		a.wantedAt = now
	}
	a.wanted += tokens
}

// estimate is what an account amounts to at one instant; tokens.
type estimate struct {
	limit, prev, cur, blend, recent float64
	kept                            float64 // of the limit, for silent fronts, beside what is known of their spend
	slack, band                     float64 // what the limit may be passed by, less while some is kept
	since                           float64 // own adds that the holder's totals may not have met
	budget                          float64 // bound of since
}

func (a *account) at(c *Config, g grid, now time.Time) estimate {
	slice, passed := g.at(now)
	first := g.window(slice) * g.slices
	oldest := slice - g.slices
	newest := max(a.all.top, slice)
	early, late := a.all.sum(first-g.slices, oldest), a.all.sum(oldest+1, first-1)
	e := estimate{limit: a.terms.TokensPerWindow(c.Window), prev: early + late, cur: a.all.sum(first, newest)}
	over := (float64(slice-first) + passed) / float64(g.slices)
	e.blend = e.prev*(1-over) + e.cur
	e.recent = late + e.cur + a.all.get(oldest)*(1-passed)

	if sure, part := g.at(a.asOf.Add(-c.MaxLag)); sure > oldest && !a.asOf.IsZero() {
		e.since = a.own.sum(sure+1, newest) + a.own.get(sure)*(1-part)
	} else {
		e.since = a.own.sum(oldest+1, newest) + a.own.get(oldest)*(1-passed)
	}
	e.kept = max(0, a.kept*e.limit-a.met)
	silent, blind := a.silent(c, now), a.asOf.IsZero() || a.asked.Sub(a.asOf) > silentAfter*c.Interval
	spent := e.recent - e.since
	if silent && blind {
		over := min(1, now.Sub(a.asked).Seconds()/c.Window.Seconds())
		spent = max(spent, e.limit*(1-over*over))
	}
	share := a.share
	if silent {
		share = max(a.even, (share+a.even)/2)
	}
	e.slack, e.band = c.Overspend*e.limit, c.Overshoot*e.limit
	if a.kept > 0 {
		e.slack, e.band = e.slack/2, 0
	}
	e.budget = share * max(0, e.limit+e.slack-e.kept-spent)
	if !silent && (blind || now.Sub(a.asOf) > silentAfter*c.Interval) {
		e.budget *= unsure
	}
	return e
}

type verdict uint8

const (
	passes verdict = iota
	overLimit
	overShare
)

// judge decides whether tokens may pass. A large request may end half of itself
// over the bound, so that a tenant of large ones gets its limit and not always
// less; against the front's share it counts by the front's turn, so that of many
// fronts with less than one request's share each only as many pass as there is
// room for.
func (a *account) judge(c *Config, e estimate, tokens float64) verdict {
	if e.limit <= 0 {
		return overLimit
	}
	end, half := e.recent+min(tokens, e.limit)+e.kept, min(tokens, e.limit)/2
	switch {
	case e.blend >= e.limit && !(c.has(SlidingCapacity) && end <= e.limit+max(e.slack, half)):
		return overLimit
	case c.has(SlidingBound) && end > e.limit+max(e.band, half) && e.recent > 0:
		return overLimit
	case c.has(FrontShares) && e.since+tokens*a.turn+a.share*min(half, e.slack) > e.budget:
		return overShare
	}
	return passes
}

// opens returns how long it takes until tokens may pass if nobody spends.
func (a *account) opens(c *Config, g grid, now time.Time, tokens float64) time.Duration {
	low, high := time.Duration(0), 2*c.Window
	for high-low > c.Window/256 {
		middle := (low + high) / 2
		if a.judge(c, a.at(c, g, now.Add(middle)), tokens) == passes {
			high = middle
		} else {
			low = middle
		}
	}
	return max(high, c.Interval/4)
}
