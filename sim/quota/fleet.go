// Package quota runs the fronts' books and the holders' ledgers, the same code
// that decides in production, as a fleet in virtual time, and judges from what
// callers asked for and got.
package quota

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"stepwick/internal/decision/quota"
	"stepwick/internal/wire"
)

// Fleet describes one run. Times count from the run's start.
type Fleet struct {
	Seed        uint64
	Config      quota.Config
	Terms       quota.Terms
	Fronts      int           // 9
	Split       int           // fronts of the first region; the others are in the second
	Across      time.Duration // longest delay between regions, 150 ms
	Loss        float64       // part of the messages that is lost
	Size        float64       // mean tokens of a request, as part of the limit
	Length      time.Duration
	Random      bool                                            // requests come at random, not regularly
	HoldFor     time.Duration                                   // 2.5 s
	Demand      func(at time.Duration, front int) float64       // offered tokens a second at a front, as part of limit/window
	Bursts      []Burst                                         // beside Demand
	Down        func(at time.Duration, front int) bool          // the front's process is gone
	Frozen      func(at time.Duration, front int) bool          // the front's process stands still; its callers go to the next one
	Follows     bool                                            // fronts learn of refusals after 0.5 to 1 s and of silence after 1.5 to 2 s, and see all others silent for 0.2 s after a freeze of their own
	Flushed     bool                                            // a front that goes down sends its counts first
	Cut         func(at time.Duration) bool                     // the regions are cut from each other, in silence
	Clock       func(at time.Duration, front int) time.Duration // how far off the front's fleet time is
	Forgets     time.Duration                                   // after how long fronts leave a dead front out of the roster; zero: never
	HolderFirst bool                                            // the first front holds the tenant's count
	Unmarked    bool                                            // silent fronts are not told to the ledgers
}

// Burst is a batch of requests that come at one instant.
type Burst struct {
	At     time.Duration
	Front  int
	Tokens float64 // as part of the limit
}

// Request is one request as its caller sees it; Tokens as part of the limit.
type Request struct {
	At, Answered time.Duration
	Front        int
	Tokens       float64
	Decision     quota.Decision
}

const version = int64(1_800_000_000_000_000) // microseconds; a multiple of the window

type front struct {
	name        string
	book        *quota.Book
	ledger      *quota.Ledger
	incarnation uint64
	down        bool
	paced       map[string]bool
	flying      map[string]int
	holds       []held
	due         float64
	frozen      bool
	thawed      time.Duration
}

type held struct {
	request int
	tokens  float64
	until   time.Duration
}

type run struct {
	Fleet
	random    *rand.Rand
	now       time.Duration
	queue     queue
	order     int
	fronts    []*front
	names     []string
	limit     float64
	requests  []Request
	exchanges int
}

const tenant = "press"

// Run plays the fleet and returns every request in the order of arrival.
func (f Fleet) Run() []Request {
	if f.Fronts == 0 {
		f.Fronts = 9
	}
	if f.Split == 0 {
		f.Split = 6
	}
	if f.Across == 0 {
		f.Across = 150 * time.Millisecond
	}
	if f.Size == 0 {
		f.Size = 0.004
	}
	if f.HoldFor == 0 {
		f.HoldFor = 2500 * time.Millisecond
	}
	if f.Config.Window == 0 {
		f.Config.Window = 8 * time.Second
	}
	if f.Config.Interval == 0 {
		f.Config.Interval = 200 * time.Millisecond
	}
	if f.Terms == (quota.Terms{}) {
		f.Terms = quota.Terms{Rate: 1000, Burst: 2000}
	}
	r := &run{Fleet: f, random: rand.New(rand.NewPCG(f.Seed, 7)), limit: f.Terms.Limit(f.Config.Window)}
	for i := range f.Fronts {
		r.names = append(r.names, fmt.Sprintf("front-%d-%d", i, f.Seed))
	}
	if f.HolderFirst {
		holder := r.index(quota.HolderOf(tenant, r.names))
		r.names[0], r.names[holder] = r.names[holder], r.names[0]
	}
	for i := range f.Fronts {
		r.fronts = append(r.fronts, &front{name: r.names[i], down: true, due: r.random.Float64()})
		r.start(i)
		r.after(time.Duration(r.random.Int64N(int64(f.Config.Interval/10))), func() { r.pace(i, int(r.random.Int64N(10))) })
		if f.Demand != nil {
			r.after(0, func() { r.arrive(i) })
		}
	}
	for _, b := range f.Bursts {
		r.after(b.At, func() {
			for left := b.Tokens; left > 0; {
				tokens := min(left, r.size())
				left -= tokens
				r.ask(b.Front, tokens)
			}
		})
	}
	for r.queue.Len() > 0 {
		e := heap.Pop(&r.queue).(event)
		if e.at > f.Length {
			break
		}
		r.now = e.at
		e.do()
	}
	return r.requests
}

func (r *run) after(d time.Duration, do func()) {
	r.order++
	heap.Push(&r.queue, event{r.now + d, r.order, do})
}

func (r *run) start(i int) {
	f := r.fronts[i]
	f.down = false
	f.incarnation++
	f.book = quota.NewBook(f.name, r.Config)
	f.ledger = quota.NewLedger(f.name, f.incarnation, r.Config)
	f.paced, f.flying, f.holds = map[string]bool{}, map[string]int{}, nil
}

func (r *run) clock(i int) time.Time {
	t := time.UnixMicro(version + r.now.Microseconds())
	if r.Clock != nil {
		t = t.Add(r.Clock(r.now, i))
	}
	return t
}

func (r *run) gone(at time.Duration, i int) bool { return r.Down != nil && r.Down(at, i) }

func (r *run) stands(at time.Duration, i int) bool { return r.Frozen != nil && r.Frozen(at, i) }

// reach tells which fronts i takes for live, and which of those for silent.
func (r *run) reach(i int) (live, silent []string) {
	skew := time.Duration(i) * 60 * time.Millisecond
	forgets, notices := r.Forgets, 2*time.Second
	if r.Follows {
		forgets, notices = 500*time.Millisecond+skew, 1500*time.Millisecond+skew
	}
	for j, name := range r.names {
		if forgets > 0 && r.gone(r.now, j) && r.gone(r.now-forgets, j) {
			continue
		}
		live = append(live, name)
		away := r.Cut != nil && r.apart(i, j) && !r.gone(r.now, j) && r.Cut(r.now) && r.Cut(r.now-notices)
		away = away || (r.stands(r.now-notices, j) && (r.stands(r.now, j) || r.now-r.fronts[j].thawed < 200*time.Millisecond))
		away = away || (r.fronts[i].thawed > 0 && r.now-r.fronts[i].thawed < 200*time.Millisecond)
		if away && i != j && !r.Unmarked {
			silent = append(silent, name)
		}
	}
	return live, silent
}

func (r *run) apart(i, j int) bool { return (i < r.Split) != (j < r.Split) }

func (r *run) delay(i, j int) time.Duration {
	if i == j {
		return 20 * time.Microsecond
	}
	if r.apart(i, j) {
		return r.Across/2 + time.Duration(r.random.Int64N(int64(r.Across/2)))
	}
	return time.Millisecond + time.Duration(r.random.Int64N(int64(2*time.Millisecond)))
}

func (r *run) lost(i, j int) bool {
	return i != j && (r.random.Float64() < r.Loss || (r.Cut != nil && r.apart(i, j) && r.Cut(r.now)))
}

func (r *run) pace(i, number int) {
	f := r.fronts[i]
	r.after(r.Config.Interval/10, func() { r.pace(i, number+1) })
	if down := r.gone(r.now, i); down != f.down {
		if !down {
			r.start(i)
		} else {
			if r.Flushed {
				r.send(i, f.book.Outgoing(r.clock(i), r.holderOf(i)))
			}
			f.down = true
		}
	}
	if f.down {
		return
	}
	if frozen := r.stands(r.now, i); frozen != f.frozen {
		if f.frozen = frozen; frozen {
			f.holds = nil
		} else {
			f.thawed = r.now
		}
	}
	if f.frozen {
		return
	}
	clear(f.paced)
	if number%10 == 0 {
		live, silent := r.reach(i)
		f.book.SetRoster(live)
		f.ledger.SetReach(live, silent, r.clock(i))
		r.send(i, f.book.Outgoing(r.clock(i), r.holderOf(i)))
		if number%100 == 0 {
			f.ledger.Expire(r.clock(i))
		}
	}
	r.hurry(i)
	r.retry(i)
}

func (r *run) holderOf(i int) func(string) string {
	reached := quota.Reached(r.reach(i))
	return func(tenant string) string { return quota.HolderOf(tenant, reached) }
}

func (r *run) index(name string) int {
	for i := range r.names {
		if r.names[i] == name {
			return i
		}
	}
	return 0
}

func (r *run) hurry(i int) {
	f := r.fronts[i]
	r.send(i, f.book.Urgent(r.clock(i), r.holderOf(i), func(holder string) bool { return !f.paced[holder] && f.flying[holder] < 8 }))
}

func (r *run) send(i int, batches map[string][]*wire.Count) {
	f := r.fronts[i]
	for holder, counts := range batches {
		j, life, sentAt := r.index(holder), f.incarnation, r.clock(i)
		f.paced[holder] = true
		f.flying[holder]++
		r.exchanges++
		landed := func() {
			if f.incarnation == life {
				f.flying[holder]--
			}
		}
		if r.lost(i, j) || r.fronts[j].down {
			r.after(time.Second, landed)
			continue
		}
		req := &wire.AddRequest{Front: f.name, Incarnation: f.incarnation, Counts: counts}
		r.after(r.delay(i, j), func() {
			if r.fronts[j].down {
				r.after(time.Second, landed)
				return
			}
			if r.stands(r.now, j) {
				r.after(time.Second, landed)
				r.atThaw(j, func() { r.fronts[j].ledger.Add(req, r.clock(j)) })
				return
			}
			resp := r.fronts[j].ledger.Add(req, r.clock(j))
			if r.lost(j, i) {
				r.after(time.Second, landed)
				return
			}
			r.after(r.delay(j, i), func() {
				landed()
				learn := func() {
					if f.down || f.incarnation != life {
						return
					}
					f.book.Learn(resp, sentAt, r.clock(i))
					r.hurry(i)
					r.retry(i)
				}
				if r.stands(r.now, i) {
					r.atThaw(i, learn)
					return
				}
				learn()
			})
		})
	}
}

// atThaw does what waited in a front's buffers once it runs again.
func (r *run) atThaw(i int, do func()) {
	if !r.stands(r.now, i) {
		do()
		return
	}
	r.after(beat, func() { r.atThaw(i, do) })
}

func (r *run) size() float64 { return r.Size * (0.5 + r.random.Float64()) }

const beat = 4 * time.Millisecond

// arrive offers a front's demand; fronts that are down or frozen pass theirs on to the
// next one that is up.
func (r *run) arrive(i int) {
	r.after(beat, func() { r.arrive(i) })
	f := r.fronts[i]
	for f.due -= r.Demand(r.now, i) / r.Size / r.Config.Window.Seconds() * beat.Seconds(); f.due <= 0; {
		if r.Random {
			f.due += r.random.ExpFloat64()
		} else {
			f.due += 0.5 + r.random.Float64()
		}
		r.ask(i, r.size())
	}
}

func (r *run) ask(i int, tokens float64) {
	for n := 0; (r.fronts[i].down || r.stands(r.now, i)) && n < len(r.fronts); n++ {
		i = (i + 1) % len(r.fronts)
	}
	f := r.fronts[i]
	number := len(r.requests)
	r.requests = append(r.requests, Request{At: r.now, Answered: r.now, Front: i, Tokens: tokens})
	d := f.book.Admit(tenant, tokens*r.limit, r.Terms, r.clock(i))
	if d.Hold && len(f.holds) < 256 {
		f.holds = append(f.holds, held{number, tokens, r.now + r.HoldFor})
		return
	}
	r.requests[number].Decision = d
}

func (r *run) retry(i int) {
	f, kept := r.fronts[i], r.fronts[i].holds[:0]
	for _, h := range f.holds {
		d := f.book.Again(tenant, h.tokens*r.limit, r.Terms, r.clock(i))
		if d.Hold && r.now < h.until {
			kept = append(kept, h)
			continue
		}
		r.requests[h.request].Decision = d
		r.requests[h.request].Answered = r.now
	}
	f.holds = kept
}
