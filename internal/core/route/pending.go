package route

import (
	"container/heap"
	"math"

	"stepwick/internal/kernel"
)

const (
	rateSpan   = 5 * kernel.Second
	rateWarmUp = 2 * kernel.Second
	mostHope   = 4.0
)

// class is a set of pending requests that wait for the same servers.
type class struct{ service, home, from string }

func classOf(req *Request) class { return class{req.Service, req.Home, req.FromRegion} }

type waiter struct {
	req   Request
	at    int
	order uint64
	class class
}

type waiters []*waiter

func (w waiters) Len() int           { return len(w) }
func (w waiters) Less(i, j int) bool { return before(w[i], w[j]) }
func (w waiters) Swap(i, j int)      { w[i], w[j] = w[j], w[i]; w[i].at, w[j].at = i, j }
func (w *waiters) Push(x any) {
	item := x.(*waiter)
	item.at = len(*w)
	*w = append(*w, item)
}
func (w *waiters) Pop() any {
	old := *w
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*w = old[:len(old)-1]
	return last
}

func before(a, b *waiter) bool {
	if !a.req.Deadline.Equal(b.req.Deadline) {
		return a.req.Deadline.Before(b.req.Deadline)
	}
	return a.order < b.order
}

// pending holds what waits: a heap by deadline for each class.
type pending struct {
	classes map[class]*waiters
	byID    map[string]*waiter
	order   uint64
}

func newPending() pending {
	return pending{classes: map[class]*waiters{}, byID: map[string]*waiter{}}
}

func (p *pending) waiting(c class) bool { return p.classes[c] != nil }

func (p *pending) ahead(deadline kernel.Time) int {
	n := 0
	for _, w := range p.byID {
		if !w.req.Deadline.After(deadline) {
			n++
		}
	}
	return n
}

func (p *pending) remove(w *waiter) {
	all := p.classes[w.class]
	heap.Remove(all, w.at)
	if all.Len() == 0 {
		delete(p.classes, w.class)
	}
	delete(p.byID, w.req.ID)
}

// first returns the waiter with the earliest deadline of the classes that are
// not in passed.
func (p *pending) first(passed []class) *waiter {
	var best *waiter
next:
	for c, all := range p.classes {
		for _, skip := range passed {
			if skip == c {
				continue next
			}
		}
		if head := (*all)[0]; best == nil || before(head, best) {
			best = head
		}
	}
	return best
}

// Ready is a request that leaves the pending requests: with a server, or with
// the fault to answer.
type Ready struct {
	Request Request
	Choice  Choice
}

// wait turns a choice into the word to wait, or into a fault when the pending
// requests are at their bound or the wait would outlast the deadline.
func (t *Table) wait(req *Request, now kernel.Time, c Choice) Choice {
	ahead := t.pending.ahead(req.Deadline)
	c.Wait = t.estimate(req, ahead+1, now)
	left := req.Deadline.Sub(now)
	switch {
	case len(t.pending.byID) >= t.cfg.PendingBound:
		whole := t.estimate(req, len(t.pending.byID)/2, now)
		c.Fault = kernel.Decline(kernel.PendingFull, "%d requests are pending", len(t.pending.byID)).After(back(whole))
	case c.Wait >= left:
		c.Fault = kernel.Decline(kernel.DeadlineTooShort, "the wait is about %s, the deadline in %s",
			c.Wait.Round(kernel.Millisecond), left.Round(kernel.Millisecond)).After(back(c.Wait - left))
	default:
		c.Pending = true
	}
	return c
}

func back(d kernel.Duration) kernel.Duration { return min(max(d, leastBack), mostBack) }

// estimate tells how long it takes until n more requests have been answered by
// the servers that could take this one; 0 while too little has been seen.
func (t *Table) estimate(req *Request, n int, now kernel.Time) kernel.Duration {
	perSecond := 0.0
	count := func(p *pool) {
		if p == nil {
			return
		}
		full := 0
		for _, group := range p.groups {
			for _, s := range group {
				full += s.full
			}
			if len(p.groups) > 1 {
				full *= len(p.groups)
				break
			}
		}
		perSecond += p.rate.perSecond(now) * min(mostHope, max(1, float64(full)/float64(max(1, p.cap))))
	}
	if req.Home != "" {
		count(t.pools[poolKey{req.Service, req.Home}])
	} else {
		for _, k := range t.wheel(req).spokes {
			count(k.pool)
		}
	}
	if perSecond <= 0 {
		return 0
	}
	return kernel.Duration(min(float64(n)/perSecond, 3600) * float64(kernel.Second))
}

// Enqueue puts a request among the pending ones, as Choose said. It declines a
// request whose id already waits, and any beyond the bound.
func (t *Table) Enqueue(req Request, now kernel.Time) *kernel.Fault {
	if t.pending.byID[req.ID] != nil {
		return kernel.Decline(kernel.BadField, "a request with this id is pending")
	}
	if len(t.pending.byID) >= t.cfg.PendingBound {
		return t.wait(&req, now, Choice{}).Fault
	}
	t.pending.order++
	w := &waiter{req: req, order: t.pending.order, class: classOf(&req)}
	all := t.pending.classes[w.class]
	if all == nil {
		all = &waiters{}
		t.pending.classes[w.class] = all
	}
	heap.Push(all, w)
	t.pending.byID[req.ID] = w
	return nil
}

// Next takes one request out of the pending ones that can go now, or that must
// be declined because its deadline has passed or its servers are gone. The
// caller calls Started for a choice and then Next again, after each Finished,
// each Update and at Wake.
func (t *Table) Next(now kernel.Time) (Ready, bool) {
	var held [8]class
	passed := held[:0]
	for {
		w := t.pending.first(passed)
		if w == nil {
			return Ready{}, false
		}
		c := t.choose(&w.req, now, false)
		if c.Pending {
			passed = append(passed, w.class)
			continue
		}
		t.pending.remove(w)
		if c.Server != "" && len(w.req.Tried) > 0 {
			t.budget.spend()
		}
		return Ready{w.req, c}, true
	}
}

// Cancel takes a request out of the pending ones, as when its caller is gone.
func (t *Table) Cancel(id string) bool {
	w := t.pending.byID[id]
	if w == nil {
		return false
	}
	t.pending.remove(w)
	return true
}

// Pending returns the number of pending requests.
func (t *Table) Pending() int { return len(t.pending.byID) }

// Wake returns when Next should be called even if nothing happens: at the
// earliest deadline, and each 50 ms while anything is pending, since ejections
// end by time alone.
func (t *Table) Wake(now kernel.Time) (kernel.Time, bool) {
	w := t.pending.first(nil)
	if w == nil {
		return kernel.Time{}, false
	}
	soon := now.Add(50 * kernel.Millisecond)
	if w.req.Deadline.Before(soon) {
		return w.req.Deadline, true
	}
	return soon, true
}

// rate is an exponentially weighted count of events a second.
type rate struct {
	value       float64
	first, last kernel.Time
}

func (r *rate) hit(now kernel.Time) {
	if r.first.IsZero() {
		r.first, r.last = now, now
	}
	r.decay(now)
	r.value += 1 / rateSpan.Seconds()
}

func (r *rate) decay(now kernel.Time) {
	if dt := now.Sub(r.last); dt > 0 {
		r.value *= math.Exp(-dt.Seconds() / rateSpan.Seconds())
		r.last = now
	}
}

func (r *rate) perSecond(now kernel.Time) float64 {
	if r.first.IsZero() || now.Sub(r.first) < rateWarmUp {
		return 0
	}
	r.decay(now)
	return r.value / (1 - math.Exp(-now.Sub(r.first).Seconds()/rateSpan.Seconds()))
}
