package tally

import (
	"stepwick/internal/kernel"
	"stepwick/internal/wire"
)

// Ledger is the holder's side: the counts of the tenants that this front holds,
// by front. It has one owner.
type Ledger struct {
	self        string
	incarnation uint64
	config      Config
	grid        grid
	began       kernel.Time
	newest      kernel.Time
	roster      []string
	silent      map[string]kernel.Time // since when
	tenants     map[string]*held
}

type held struct {
	fronts  map[source]*contribution
	shares  map[string]float64 // last told, by front
	sum     ring
	learned ring
	touched kernel.Time
	weighed kernel.Time
	active  int     // fronts heard of late
	usage   float64 // of theirs in the usage span
	from    int64   // first slice of the usage span
	to      int64   // last
}

type contribution struct {
	own   ring
	heard kernel.Time
}

// NewLedger returns an empty Ledger of the front named self.
func NewLedger(self string, incarnation uint64, config Config) *Ledger {
	config = config.withDefaults()
	return &Ledger{self: self, incarnation: incarnation, config: config, grid: gridOf(config), tenants: map[string]*held{}}
}

// SetReach tells the roster, and which of its fronts are silent without being
// known to be gone: what they may be spending on their own is kept for them.
func (l *Ledger) SetReach(roster, silent []string, now kernel.Time) {
	l.roster = roster
	since := make(map[string]kernel.Time, len(silent))
	for _, name := range silent {
		since[name] = now
		if before, known := l.silent[name]; known {
			since[name] = before
		}
	}
	l.silent = since
}

// Add takes a front's counts and answers with the totals over all fronts. Each
// slice of a front keeps the highest count seen, so an Add may be sent again,
// late or out of order.
func (l *Ledger) Add(req *wire.AddRequest, now kernel.Time) *wire.AddResponse {
	if now.After(l.newest) {
		l.newest = now
	}
	if l.began.IsZero() {
		l.began = now
	}
	resp := &wire.AddResponse{Holder: l.self, Incarnation: l.incarnation,
		Fresh: now.Sub(l.began) < 2*kernel.Duration(silentAfter)*l.config.Interval}
	front := source{req.Front, req.Incarnation}
	for i, count := range req.Counts {
		t := l.open(count.Tenant, now)
		c := t.fronts[front]
		if c == nil {
			c = &contribution{own: newRing(l.grid)}
			t.fronts[front], t.weighed = c, kernel.Time{}
		}
		c.heard = now
		first := count.Window * l.grid.slices
		for k, tokens := range count.Slices {
			if int64(k) >= l.grid.slices {
				break
			}
			if risen := c.own.raise(first+int64(k), tokens); risen > 0 {
				t.sum.add(first+int64(k), risen)
			}
		}
		for k, tokens := range count.LearnedSlices {
			if int64(k) < l.grid.slices {
				t.learned.raise(first+int64(k), tokens)
			}
		}
		resp.Totals = append(resp.Totals, l.total(t, c, count))
		if i+1 == len(req.Counts) || req.Counts[i+1].Tenant != count.Tenant {
			t.shares[req.Front] = l.share(t, c, now)
			resp.Totals = append(resp.Totals, &wire.Total{Tenant: count.Tenant, Window: standingKey,
				Total: l.reserved(t, now), Acked: t.shares[req.Front]})
		}
	}
	return resp
}

func (l *Ledger) open(tenant string, now kernel.Time) *held {
	t := l.tenants[tenant]
	if t == nil {
		t = &held{fronts: map[source]*contribution{}, shares: map[string]float64{},
			sum: newRing(l.grid), learned: newRing(l.grid)}
		l.tenants[tenant] = t
	}
	t.touched = now
	return t
}

func (l *Ledger) total(t *held, c *contribution, count *wire.Count) *wire.Total {
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

// share is a front's part of the room: some of it even among the fronts where
// the tenant is active, so that none is without, and the rest by usage up to
// where every front's adds are known; even over the roster when there was none.
func (l *Ledger) share(t *held, c *contribution, now kernel.Time) float64 {
	if now.Sub(t.weighed) > l.config.Interval/4 || now.Before(t.weighed) {
		l.weigh(t, now)
	}
	if t.usage <= 0 {
		return 1 / float64(max(1, len(l.roster)))
	}
	return l.config.Floor/float64(max(1, t.active)) + (1-l.config.Floor)*c.own.sum(t.from, t.to)/t.usage
}

func (l *Ledger) weigh(t *held, now kernel.Time) {
	t.weighed = now
	t.to, _ = l.grid.at(now.Add(-l.config.Lag))
	for _, t.from = range []int64{t.to - l.grid.slices/usageOf, t.to - l.grid.slices} {
		t.active, t.usage = 0, 0
		for _, c := range t.fronts {
			if now.Sub(c.heard) <= activeFor*l.config.Interval {
				t.active++
				t.usage += c.own.sum(t.from, t.to)
			}
		}
		if t.usage > 0 {
			return
		}
	}
}

// reserved is the part of the limit kept for silent fronts, who may each spend
// the higher of their even part and their part by last known usage. It grows as
// what is known of their spend runs out. A quarter of the limit is let go of
// what the even parts add, and a quarter is never kept, so that neither side of
// a cut starves.
func (l *Ledger) reserved(t *held, now kernel.Time) float64 {
	if len(l.silent) == 0 || len(l.roster) == 0 {
		return 0
	}
	even := 1 / float64(len(l.roster))
	byUsage, atMost := 0.0, 0.0
	for name, since := range l.silent {
		part := max(t.shares[name], l.config.Floor*even)
		grown := min(1, now.Sub(since).Seconds()/l.config.Window.Seconds())
		byUsage += part * grown
		atMost += max(even, part) * grown
	}
	return min(0.75, max(byUsage, atMost-0.25))
}

// Expire drops tenants and fronts' counts that were idle for two windows.
func (l *Ledger) Expire(now kernel.Time) {
	horizon := now.Add(-2 * l.config.Window)
	for tenant, t := range l.tenants {
		if t.touched.Before(horizon) {
			delete(l.tenants, tenant)
			continue
		}
		for front, c := range t.fronts {
			if c.heard.Before(horizon) {
				delete(t.fronts, front)
				if _, silent := l.silent[front.name]; !silent {
					delete(t.shares, front.name)
				}
			}
		}
	}
}

// Held returns the number of tenants whose count is held here.
func (l *Ledger) Held() int { return len(l.tenants) }
