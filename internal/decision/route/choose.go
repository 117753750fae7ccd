package route

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"stepwick/internal/apierror"
	"stepwick/internal/decision/plan"
	"stepwick/internal/decision/statemachine"
	"stepwick/internal/wire"
)

const (
	comeBack     = time.Second
	leastBack    = 100 * time.Millisecond
	mostBack     = 5 * time.Second
	wheelPhase   = 1024
	leastCredits = 2
	mostCredits  = 20
)

// Choose decides where a request goes now. A retry (with Tried) spends from the
// retry budget, a first attempt adds to it. The caller calls Started when it
// follows the choice, before it asks again.
func (t *Table) Choose(req Request, now time.Time) Choice {
	if len(req.Tried) == 0 {
		t.budget.add()
	} else if !t.budget.has() {
		return Choice{Fault: apierror.Errorf(apierror.BudgetSpent, "retries are bound to a share of the requests").WithRetryAfter(comeBack)}
	}
	if req.Prefix != 0 {
		t.popular.add(req.Prefix)
	}
	c, _ := t.choose(&req, now, now, true)
	if c.Server != "" && len(req.Tried) > 0 {
		t.budget.spend()
	}
	return c
}

// choose also tells whether some server has room, though not for this request,
// which has waited since an instant.
func (t *Table) choose(req *Request, since, now time.Time, fresh bool) (c Choice, room bool) {
	switch {
	case t.view.Plan == nil || t.view.State.Sheet == nil:
		c.Fault = apierror.Errorf(apierror.NoPlan, "no plan has arrived").WithRetryAfter(comeBack)
		return c, false
	case !now.Before(req.Deadline):
		c.Fault = apierror.Errorf(apierror.DeadlinePassed, "the deadline has passed").WithRetryAfter(leastBack)
		return c, false
	}
	if _, known := t.view.State.Sheet.Services[req.Service]; !known {
		c.Fault = apierror.Errorf(apierror.UnknownService, "no service %q", req.Service)
		return c, false
	}
	if fresh && t.queue.unserved && len(t.queue.line) > 0 {
		return t.wait(req, now, c), false
	}
	key := req.Prefix
	if key == 0 {
		key = xxhash.Sum64String(req.ID) | 1
	}
	var found fit
	if req.Home != "" {
		if p := t.pools[poolKey{req.Service, req.Home}]; p != nil {
			s, here := t.pick(p, req, key, now.Sub(since), now, &c)
			if s != nil {
				return t.seated(c, s, req), true
			}
			found = here
		}
	} else {
		w := t.wheel(req)
		first := w.peek()
		for i := range w.spokes {
			at := i
			if first > 0 {
				at = spill(i, first)
			}
			k := &w.spokes[at]
			if k.pool == nil {
				continue
			}
			s, here := t.pick(k.pool, req, key, now.Sub(since), now, &c)
			if s != nil {
				w.commit(first)
				return t.seated(c, s, req), true
			}
			found = max(found, here)
		}
	}
	switch {
	case found > none && fresh:
		return t.wait(req, now, c), false
	case found > none:
		c.Queued = true
		return c, found == elsewhere
	}
	c.Fault = apierror.Errorf(apierror.NoServer, "no server of %s can take requests%s", req.Service, t.homeNote(req.Home)).WithRetryAfter(comeBack)
	return c, false
}

func (t *Table) homeNote(home string) string {
	switch {
	case home == "":
		return ""
	case plan.IsEvacuated(t.view.State, home, ""):
		return " in " + home + ", its home, which is evacuated"
	}
	return " in " + home + ", its home"
}

// spill puts the first spoke first and leaves the others in their order.
func spill(i, first int) int {
	switch {
	case i == 0:
		return first
	case i <= first:
		return i - 1
	}
	return i
}

func (t *Table) seated(c Choice, s *server, req *Request) Choice {
	c.FirstEvent = t.firstEvent(s, req)
	c.Server, c.Address, c.Region = s.name, s.status.Address, s.status.Region
	c.Queued, c.Fault = false, nil
	return c
}

// wheel is a smooth weighted round robin over the regions of one service and
// region of origin: over any short span the shares hold to within one request.
type wheel struct {
	spokes []spoke
	total  float64
}

type spoke struct {
	region  string
	weight  float64
	current float64
	pool    *pool
}

func (w *wheel) peek() int {
	best := -1
	for i := range w.spokes {
		k := &w.spokes[i]
		if k.pool != nil && (best < 0 || k.current+k.weight > w.spokes[best].current+w.spokes[best].weight) {
			best = i
		}
	}
	return best
}

func (w *wheel) commit(at int) {
	for i := range w.spokes {
		if k := &w.spokes[i]; k.pool != nil {
			k.current += k.weight
		}
	}
	w.spokes[at].current -= w.total
}

// wheel returns the wheel of a request; an origin that the plan doesn't name
// goes by the shares of the front's own region.
func (t *Table) wheel(req *Request) *wheel {
	if w := t.shares[shareKey{req.Service, req.FromRegion}]; w != nil {
		return w
	}
	if w := t.shares[shareKey{req.Service, t.cfg.Region}]; w != nil {
		return w
	}
	return &noWheel
}

var noWheel wheel

// turnWheels sets the wheels by the plan's shares, minus the regions that have
// no server left. Two things are worked out here from the sheet in force: all
// shares, when the plan is older than the sheet, so that no older sheet rules on
// through its plan; and those of a service to which the plan gives no region
// that has a server.
func (t *Table) turnWheels() {
	old := t.shares
	t.shares = map[shareKey]*wheel{}
	if t.view.Plan == nil || t.view.State.Sheet == nil {
		return
	}
	if t.view.Plan.Epoch >= t.view.State.SheetVersion {
		t.spoke(t.view.Plan.Shares, func(string) bool { return true })
	}
	stranded := map[string]bool{}
	for service := range t.view.State.Sheet.Services {
		w := t.shares[shareKey{service, t.cfg.Region}]
		if w == nil || w.peek() < 0 {
			stranded[service] = true
		}
	}
	if len(stranded) > 0 {
		here := []statemachine.Member{{Name: t.cfg.Self, Region: t.cfg.Region}}
		t.spoke(plan.Shares(t.view.State, t.view.Servers, here, t.cfg.Policy), func(service string) bool { return stranded[service] })
	}
	for key, w := range t.shares {
		t.settle(key, w, old[key])
	}
}

// spoke replaces the wheels of the wanted services by those of the shares.
func (t *Table) spoke(shares []*wire.Share, wanted func(service string) bool) {
	fresh := map[shareKey]*wheel{}
	for _, share := range shares {
		if share.Share <= 0 || !wanted(share.Service) {
			continue
		}
		key := shareKey{share.Service, share.FromRegion}
		w := fresh[key]
		if w == nil {
			w = &wheel{}
			fresh[key] = w
		}
		w.spokes = append(w.spokes, spoke{region: share.ToRegion, weight: share.Share,
			pool: t.pools[poolKey{share.Service, share.ToRegion}]})
	}
	maps.Copy(t.shares, fresh)
}

func (t *Table) settle(key shareKey, w, old *wheel) {
	for i := range w.spokes {
		k := &w.spokes[i]
		if k.pool != nil {
			w.total += k.weight
		}
		if old == nil {
			phase := mix(t.self^xxhash.Sum64String(key.service+"/"+key.from+"/"+k.region)) % wheelPhase
			k.current = k.weight * (float64(phase)/wheelPhase - 0.5)
			continue
		}
		at := slices.IndexFunc(old.spokes, func(o spoke) bool { return o.region == k.region })
		if at >= 0 && k.pool != nil {
			k.current = min(max(old.spokes[at].current, -1), 1)
		}
	}
}

// budget bounds retries to a share of the requests.
type budget struct {
	ratio, credits float64
}

func newBudget(ratio float64) budget { return budget{ratio, mostCredits / 2} }

func (b *budget) tune(ratio float64) {
	b.ratio = ratio
	if ratio == 0 {
		b.credits = 0
	}
}

func (b *budget) add()      { b.credits = min(mostCredits, b.credits+b.ratio) }
func (b *budget) has() bool { return b.credits >= 1 }
func (b *budget) spend()    { b.credits-- }
