package quota

import (
	"slices"
	"time"

	"stepwick/internal/wire"
)

// Counter is the holder's side: the counts of the tenants that this front holds,
// by front. It has one owner.
type Counter struct {
	self        string
	incarnation uint64
	config      Config
	grid        grid
	began       time.Time
	roster      []string
	rostered    map[string]bool
	reached     []string             // the roster without the silent ones: a tenant's holder is among them
	silent      map[string]time.Time // when last told so
	seen        time.Time            // last call
	thawed      time.Time            // when calls came first, or again after a long gap
	cut         time.Time            // when so many fronts fell silent that there may be another side; zero: there is none
	tenants     map[string]*held
}

type held struct {
	fronts  map[source]*contribution
	sum     ring
	learned ring
	touched time.Time
	weighed time.Time
	late    time.Time // when last something was added to a window that had passed
	guest   bool      // another front that can be reached is the holder
	since   time.Time // when it was opened, or became a guest
	taught  bool      // a front told what it had learned elsewhere
	active  int       // fronts where the tenant is active
	demand  float64   // theirs, the newest
	kept    float64   // part of the limit kept for silent fronts
	met     float64   // what is known of their spend
}

type contribution struct {
	own   sparse
	heard time.Time
	prior time.Time // when the front was last told the window before the current one
	left  bool      // the front said that the tenant is not active there
	share float64
	told  [8]demand // oldest first
}

// demand is what a front said that was asked of it of late; tokens.
type demand struct {
	at     int64 // microseconds of the front's fleet time
	tokens float64
}

func (c *contribution) tell(tokens float64, at time.Time, apart time.Duration) {
	if at.UnixMicro()-c.told[len(c.told)-1].at >= apart.Microseconds() {
		copy(c.told[:], c.told[1:])
		c.told[len(c.told)-1] = demand{at.UnixMicro(), tokens}
	}
}

func (c *contribution) demandAt(t time.Time) float64 {
	for i := len(c.told) - 1; i >= 0; i-- {
		if c.told[i].at <= t.UnixMicro() {
			return c.told[i].tokens
		}
	}
	return c.told[0].tokens
}

// NewCounter returns an empty Ledger of the front named self.
func NewCounter(self string, incarnation uint64, config Config) *Counter {
	config = config.withDefaults()
	return &Counter{self: self, incarnation: incarnation, config: config, grid: gridOf(config), silent: map[string]time.Time{}, tenants: map[string]*held{}}
}

// wake notices that this process has just started or stood still: its totals are from before, so
// the fronts are asked for theirs, and whom it takes for silent itself is not
// believed before it had time to hear them.
func (l *Counter) wake(now time.Time) {
	if l.seen.IsZero() || now.Sub(l.seen) > activeFor*l.config.Interval {
		l.began, l.thawed = now, now
		clear(l.silent)
		l.reached = l.roster
	}
	if now.After(l.seen) {
		l.seen = now
	}
}

// SetMembership tells the roster, and which of its fronts are silent without being
// known to be gone: what they may be spending on their own is kept for them.
func (l *Counter) SetMembership(roster, silent []string, now time.Time) {
	l.wake(now)
	if !slices.Equal(roster, l.roster) {
		l.roster, l.rostered = roster, make(map[string]bool, len(roster))
		for _, name := range roster {
			l.rostered[name] = true
		}
	}
	if !l.thawed.IsZero() && now.Sub(l.thawed) < 2*silentAfter*l.config.Interval {
		silent = nil
	}
	for _, name := range silent {
		l.silent[name] = now
	}
	for name, last := range l.silent {
		if now.Sub(last) > l.config.Window {
			delete(l.silent, name)
		}
	}
	if float64(len(silent)) < cutPart*float64(len(roster)) {
		l.cut = time.Time{}
	} else if l.cut.IsZero() {
		l.cut = now
	}
	reached := Reachable(roster, silent)
	if slices.Equal(reached, l.reached) {
		return
	}
	l.reached = reached
	for tenant, t := range l.tenants {
		if guest := l.isGuest(tenant); guest != t.guest {
			t.guest, t.since = guest, now
		}
	}
}

// isGuest tells that fronts bring a tenant's counts here though another front
// is its holder by what this one can reach.
func (l *Counter) isGuest(tenant string) bool {
	return len(l.reached) > 0 && OwnerOf(tenant, l.reached) != l.self
}

// Add takes a front's counts and answers with the totals over all fronts. Each
// slice of a front keeps the highest count seen, so an Add may be sent again,
// late or out of order.
func (l *Counter) Add(req *wire.AddRequest, now time.Time) *wire.AddResponse {
	if l.began.IsZero() {
		l.began = now
	}
	l.wake(now)
	resp := &wire.AddResponse{Holder: l.self, Incarnation: l.incarnation,
		Fresh: now.Sub(l.began) < 2*time.Duration(silentAfter)*l.config.Interval}
	front := source{req.Front, req.Incarnation}
	slice, _ := l.grid.at(now)
	current := l.grid.window(slice)
	var newcomer *contribution
	for i, count := range req.Counts {
		t := l.open(count.Tenant, now)
		c := t.fronts[front]
		if c == nil {
			c = &contribution{}
			t.fronts[front], t.weighed = c, time.Time{}
			newcomer = c
		}
		if c.left {
			c.told, t.weighed = [8]demand{}, time.Time{}
		}
		c.heard, c.left = now, false
		if count.Window == standingKey {
			c.left = count.Own == 0
			if at := time.UnixMicro(int64(count.Learned)); !at.After(now) {
				c.tell(count.Own, at, l.config.Interval/4)
			} else {
				c.tell(count.Own, now, l.config.Interval/4)
			}
			continue
		}
		t.taught = t.taught || (c == newcomer && count.Learned > 0)
		l.take(t, c, count, now)
		resp.Totals = append(resp.Totals, l.total(t, c, count))
		if count.Window < current {
			c.prior = now
		}
		if i+1 == len(req.Counts) || req.Counts[i+1].Tenant != count.Tenant {
			if !c.prior.After(t.late) {
				c.prior = now
				resp.Totals = append(resp.Totals, l.total(t, c, &wire.Count{Tenant: count.Tenant, Window: current - 1}))
			}
			if !t.guest || now.Sub(t.since) > silentAfter*l.config.Interval {
				resp.Totals = append(resp.Totals, l.standing(t, c, count.Tenant, now))
			}
		}
	}
	return resp
}

// take adds what is new in a count, and nothing that lies in the future: a front
// with a wrong clock must not push the others' slices out.
func (l *Counter) take(t *held, c *contribution, count *wire.Count, now time.Time) {
	first, bound := count.Window*l.grid.slices, l.grid.bound(now)
	for k, tokens := range count.Slices[:min(len(count.Slices), int(l.grid.slices))] {
		if slice := first + int64(k); slice >= 0 && slice <= bound {
			if risen := c.own.raise(l.grid, slice, tokens); risen > 0 {
				t.sum.add(slice, risen)
				t.notice(l.grid, slice, now)
			}
		}
	}
	for k, tokens := range count.LearnedSlices[:min(len(count.LearnedSlices), int(l.grid.slices))] {
		if slice := first + int64(k); slice >= 0 && slice <= bound {
			if t.learned.raise(slice, tokens) > 0 {
				t.notice(l.grid, slice, now)
				t.taught = t.taught || tokens > 1.000001*t.sum.get(slice)
			}
		}
	}
}

// notice keeps when a window rose that had passed: fronts that no longer ask
// for it are told it once more.
func (t *held) notice(g grid, slice int64, now time.Time) {
	if newest, _ := g.at(now); g.window(slice) < g.window(newest) {
		t.late = now
	}
}

func (l *Counter) open(tenant string, now time.Time) *held {
	t := l.tenants[tenant]
	if t == nil {
		t = &held{fronts: map[source]*contribution{}, sum: newRing(l.grid), learned: newRing(l.grid), guest: l.isGuest(tenant), since: now}
		l.tenants[tenant] = t
	}
	if now.Sub(t.touched) > silentAfter*l.config.Interval && t.guest {
		t.since = now
	}
	t.touched = now
	return t
}

func (l *Counter) total(t *held, c *contribution, count *wire.Count) *wire.Total {
	out := &wire.Total{Tenant: count.Tenant, Window: count.Window, Slices: t.sum.window(l.grid, count.Window),
		AckedSlices: c.own.window(l.grid, count.Window)}
	for k, tokens := range t.learned.window(l.grid, count.Window) {
		if k >= len(out.Slices) {
			out.Slices = append(out.Slices, 0)
		}
		out.Slices[k] = max(out.Slices[k], tokens)
	}
	for _, tokens := range out.Slices {
		out.Total += tokens
	}
	for _, tokens := range out.AckedSlices {
		out.Acked += tokens
	}
	return out
}

// standing tells a front where it stands beside the others: its share of the
// room by demand, the part of the limit kept for silent fronts, and how much of that they
// are known to have spent.
func (l *Counter) standing(t *held, c *contribution, tenant string, now time.Time) *wire.Total {
	if now.Sub(t.weighed) > l.config.Interval/4 || now.Before(t.weighed) {
		l.weigh(t, now)
	}
	if c.share = 1 / float64(max(1, len(l.roster))); t.demand > 0 {
		c.share = l.config.EvenFraction/float64(max(1, t.active)) + (1-l.config.EvenFraction)*c.demandAt(now.Add(-l.config.MaxLag))/t.demand
	}
	out := &wire.Total{Tenant: tenant, Window: standingKey, Total: t.kept, Acked: c.share}
	if t.kept > 0 {
		out.Slices = []float64{t.met}
	}
	return out
}

// weigh looks at all fronts at once, among those where the tenant is active. A
// front's own demand counts as it was when every front's is known, beside the
// newest of all, so that the shares never sum to more than one for long.
func (l *Counter) weigh(t *held, now time.Time) {
	t.weighed, t.active, t.demand = now, 0, 0
	for _, c := range t.fronts {
		if !c.left && now.Sub(c.heard) <= missedFor*l.config.Interval {
			t.active++
			t.demand += max(c.told[len(c.told)-1].tokens, c.demandAt(now.Add(-l.config.MaxLag)))
		}
	}
	l.keep(t, now)
}

// keep sets apart what silent fronts may spend on their own: an even part for
// each, less the part that is let go so that neither side of a cut starves, and
// less still of a few fronts; on a side of a cut, more of those that last had a larger share. A
// front is silent if it is told so; to a guest every front is that it doesn't hear.
// One that left the roster spends nothing. On a side of a cut where nobody knows
// what the other has spent, the whole limit is kept first, and that runs out. What the silent ones are known to
// have spent counts towards what is kept.
func (l *Counter) keep(t *held, now time.Time) {
	t.kept, t.met = 0, 0
	met := make(map[string]bool, len(t.fronts))
	slice, _ := l.grid.at(now)
	oldest, even, missed, above := slice-l.grid.slices+1, 1/float64(max(1, len(l.roster))), 0, 0.0
	for front, c := range t.fronts {
		if now.Sub(c.heard) <= activeFor*l.config.Interval {
			met[front.name] = true
			continue
		}
		if c.left || !l.rostered[front.name] || l.restarted(t, front) || met[front.name] {
			continue
		}
		if t.guest || l.toldSilent(front.name, now) {
			met[front.name] = true
			missed++
			above += max(0, c.share-even) / 2
			t.met += c.own.sum(oldest, slice)
		}
	}
	unheard := 0
	for _, name := range l.roster {
		if !met[name] && (t.guest || l.toldSilent(name, now)) {
			unheard++
		}
	}
	if unheard > 0 {
		t.met += max(0, t.learned.sum(oldest, slice)-t.sum.sum(oldest, slice))
	}
	if part := float64(missed+unheard) * even; part < cutPart {
		t.kept = keptPart * part * part / cutPart
	} else {
		t.kept = keptPart * part
	}
	if !l.cut.IsZero() {
		t.kept += keptPart * above
	}
	began := l.cut
	if t.guest {
		began = t.since
	}
	if began.IsZero() || t.taught || t.since.Before(began.Add(-2*silentAfter*l.config.Interval)) {
		return
	}
	over := min(1, now.Sub(began).Seconds()/l.config.Window.Seconds())
	t.kept = max(t.kept, 1-over*over)
}

func (l *Counter) toldSilent(front string, now time.Time) bool {
	last, told := l.silent[front]
	return told && now.Sub(last) <= silentAfter*l.config.Interval
}

func (l *Counter) restarted(t *held, front source) bool {
	for other := range t.fronts {
		if other.name == front.name && other.incarnation > front.incarnation {
			return true
		}
	}
	return false
}

// Expire drops tenants and fronts' counts that were idle for two windows.
func (l *Counter) Expire(now time.Time) {
	horizon := now.Add(-2 * l.config.Window)
	for tenant, t := range l.tenants {
		if t.touched.Before(horizon) {
			delete(l.tenants, tenant)
			continue
		}
		for front, c := range t.fronts {
			if _, silent := l.silent[front.name]; !silent && c.heard.Before(horizon) {
				delete(t.fronts, front)
			}
		}
	}
}

// Tenants returns the number of tenants whose count is held here.
func (l *Counter) Tenants() int { return len(l.tenants) }
