package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/wire"
)

const (
	rateSpan   = 5 * time.Second
	rateWarmUp = 2 * time.Second
	mostHope   = 4.0
	lookAhead  = 64
	// startMargin is how many mean durations must be left after the wait for a
	// request to be let in: one that starts with less ends too late every other
	// time.
	startMargin = 1.5
	tookWeight  = 0.05
	wakeStep    = 50 * time.Millisecond

	firstLeast  = time.Second
	firstMeans  = 5
	firstTwice  = 2
	coldPrefill = 4
)

// class is a set of queued requests that wait for the same servers.
type class struct{ service, home, from string }

func classOf(req *Request) class { return class{req.Service, req.Home, req.FromRegion} }

type waiter struct {
	req   Request
	since time.Time
	order uint64
}

func compare(a, b *waiter) int {
	return cmp.Or(a.req.Deadline.Compare(b.req.Deadline), cmp.Compare(a.order, b.order))
}

// waitQueue holds what waits, in the order of the deadlines. unserved says that
// room may have come since Next found nothing to go.
type waitQueue struct {
	line     []*waiter
	byID     map[string]*waiter
	order    uint64
	unserved bool
}

func newWaitQueue() waitQueue { return waitQueue{byID: map[string]*waiter{}} }

func (p *waitQueue) place(w *waiter) int {
	at, _ := slices.BinarySearchFunc(p.line, w, compare)
	return at
}

func (p *waitQueue) add(req Request, now time.Time) {
	p.order++
	w := &waiter{req, now, p.order}
	p.line = slices.Insert(p.line, p.place(w), w)
	p.byID[req.ID] = w
}

func (p *waitQueue) remove(w *waiter) {
	at := p.place(w)
	p.line = slices.Delete(p.line, at, at+1)
	delete(p.byID, w.req.ID)
}

func (p *waitQueue) ahead(deadline time.Time) int {
	at, _ := slices.BinarySearchFunc(p.line, deadline, func(w *waiter, deadline time.Time) int {
		if w.req.Deadline.After(deadline) {
			return 1
		}
		return -1
	})
	return at
}

// Ready is a request that leaves the queued requests: with a server, or with
// the fault to answer.
type Ready struct {
	Request Request
	Choice  Choice
}

// wait turns a choice into the word to wait, or into a fault when the pending
// requests are at their bound or the wait would outlast the deadline.
func (t *Table) wait(req *Request, now time.Time, c Choice) Choice {
	ahead := t.queue.ahead(req.Deadline)
	c.Wait = t.estimate(req, ahead+1, now)
	left := req.Deadline.Sub(now)
	switch {
	case len(t.queue.byID) >= t.cfg.QueueBound:
		whole := t.estimate(req, len(t.queue.byID)/2, now)
		c.Fault = apierror.Errorf(apierror.QueueFull, "%d requests are queued", len(t.queue.byID)).WithRetryAfter(back(whole))
	case c.Wait+t.lasts(req, startMargin) >= left:
		c.Fault = t.tooShort(req, c.Wait, left)
	default:
		c.Queued = true
	}
	return c
}

func (t *Table) tooShort(req *Request, wait, left time.Duration) *apierror.Error {
	takes := t.lasts(req, 1)
	return apierror.Errorf(apierror.DeadlineTooShort, "the wait is about %s and the answer takes %s, the deadline is in %s",
		wait.Round(time.Millisecond), takes.Round(time.Millisecond), left.Round(time.Millisecond)).WithRetryAfter(back(wait + takes - left))
}

// mean is an exponentially weighted mean of durations.
type mean struct{ value float64 }

func (t *Table) learnTook(o Outcome) {
	if o.Service == "" || o.Took <= 0 || !o.OK && o.FirstToken <= 0 {
		return
	}
	learn(t.took, o.Service, o.Took)
	if o.FirstToken > 0 {
		learn(t.first, o.Service, o.FirstToken)
	}
}

func learn(means map[string]*mean, service string, d time.Duration) {
	m := means[service]
	if m == nil {
		m = &mean{float64(d)}
		means[service] = m
	}
	m.value += (float64(d) - m.value) * tookWeight
}

// firstEvent bounds the time to a first event: several times the mean, and
// twice what it takes the server to prefill all that it may have in flight as if
// each request were like this one and none in its cache, and to free a slot.
func (t *Table) firstEvent(s *server, req *Request) time.Duration {
	if s.status.PrefillPerSecond <= 0 || req.Tokens <= 0 {
		return 0
	}
	ahead := max(s.own+s.others, int(s.status.Running+s.status.Queued)) + 1
	seconds := float64(ahead) * req.Tokens / s.status.PrefillPerSecond
	if s.status.State == wire.ServerState_SERVER_STATE_COLD {
		seconds *= coldPrefill
	}
	explained := firstTwice * seconds * float64(time.Second)
	if ahead > int(s.status.Slots) {
		explained += float64(t.lasts(req, firstTwice))
	}
	if m := t.first[req.Service]; m != nil {
		explained = max(explained, firstMeans*m.value)
	}
	return max(firstLeast, time.Duration(min(explained, float64(time.Minute))))
}

// lasts returns what a request takes once started, times a margin; 0 when
// nothing is known.
func (t *Table) lasts(req *Request, margin float64) time.Duration {
	if m := t.took[req.Service]; m != nil {
		return time.Duration(m.value * margin)
	}
	return 0
}

func back(d time.Duration) time.Duration { return min(max(d, leastBack), mostBack) }

// estimate tells how long it takes until n more requests have been answered by
// the servers that could take this one; 0 while too little has been seen.
func (t *Table) estimate(req *Request, n int, now time.Time) time.Duration {
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
	return time.Duration(min(float64(n)/perSecond, 3600) * float64(time.Second))
}

// Enqueue puts a request in the queue, as Choose said. It refuses a
// request whose id already waits, and any beyond the bound.
func (t *Table) Enqueue(req Request, now time.Time) *apierror.Error {
	if t.queue.byID[req.ID] != nil {
		return apierror.Errorf(apierror.BadField, "a request with this id is queued")
	}
	if len(t.queue.byID) >= t.cfg.QueueBound {
		return t.wait(&req, now, Choice{}).Fault
	}
	t.queue.add(req, now)
	return nil
}

// Next takes one request out of the queue that can go now, or that must
// be refused because its servers are gone or no answer could come by its
// deadline: in a crowd, work on requests that end too late would starve those
// that could still be met. The caller calls Started for a choice and then Next again, after each Finished,
// each Update and at Wake.
func (t *Table) Next(now time.Time) (Ready, bool) {
	var held [8]class
	passed := held[:0]
	for i, w := range t.queue.line {
		if i == lookAhead {
			break
		}
		if slices.Contains(passed, classOf(&w.req)) && now.Before(w.req.Deadline) {
			continue
		}
		if left := w.req.Deadline.Sub(now); left > 0 && left < t.lasts(&w.req, 1) {
			t.queue.remove(w)
			return Ready{w.req, Choice{Fault: t.tooShort(&w.req, 0, left)}}, true
		}
		c, room := t.choose(&w.req, w.since, now, false)
		if c.Queued {
			if !room {
				passed = append(passed, classOf(&w.req))
			}
			continue
		}
		t.queue.remove(w)
		if c.Server != "" && len(w.req.Tried) > 0 {
			t.budget.spend()
		}
		return Ready{w.req, c}, true
	}
	t.queue.unserved = false
	return Ready{}, false
}

// Cancel takes a request out of the queue, as when its caller is gone.
func (t *Table) Cancel(id string) bool {
	w := t.queue.byID[id]
	if w == nil {
		return false
	}
	t.queue.remove(w)
	return true
}

// Waiting returns the number of queued requests.
func (t *Table) Waiting() int { return len(t.queue.byID) }

// Wake returns when Next should be called even if nothing happens: at the
// earliest deadline, and each 50 ms while anything is queued, since ejections
// end by time alone.
func (t *Table) Wake(now time.Time) (time.Time, bool) {
	if len(t.queue.line) == 0 {
		return time.Time{}, false
	}
	soon := now.Add(wakeStep)
	if first := t.queue.line[0].req.Deadline; first.Before(soon) {
		return first, true
	}
	return soon, true
}

// rate is an exponentially weighted count of events a second.
type rate struct {
	value       float64
	first, last time.Time
}

func (r *rate) hit(now time.Time) {
	if r.first.IsZero() {
		r.first, r.last = now, now
	}
	r.decay(now)
	r.value += 1 / rateSpan.Seconds()
}

func (r *rate) decay(now time.Time) {
	if dt := now.Sub(r.last); dt > 0 {
		r.value *= math.Exp(-dt.Seconds() / rateSpan.Seconds())
		r.last = now
	}
}

func (r *rate) perSecond(now time.Time) float64 {
	if r.first.IsZero() || now.Sub(r.first) < rateWarmUp {
		return 0
	}
	r.decay(now)
	return r.value / (1 - math.Exp(-now.Sub(r.first).Seconds()/rateSpan.Seconds()))
}
