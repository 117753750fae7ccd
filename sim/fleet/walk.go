package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"stepwick/internal/apierror"
	"stepwick/internal/clock"
)

// Tally of one walk: what was done and what broke. Violations name the point
// of the brief.
type Tally struct {
	Seed         uint64
	Acknowledged int
	Pending      int
	Asked        int
	Taken        int // asks that a node took, by any key
	Faults       []string
	Violations   []string
}

// Walk drives a fleet of the first deployment's size through faults; see WalkIn.
func Walk(ctx context.Context, seed uint64, folder string, span time.Duration) (Tally, error) {
	return WalkIn(ctx, small, seed, folder, span)
}

// WalkIn drives a fleet through random faults for a span while operators
// replace the only key again and again, now and then two of them on one base,
// and judges: no node takes an older key 2.5 s after a newer one was
// acknowledged, none steps back, of a race one operator wins and the other's key
// is never taken, and what was acknowledged is read back at the end.
func WalkIn(ctx context.Context, config Config, seed uint64, folder string, span time.Duration) (t Tally, err error) {
	t.Seed = seed
	random := Draw(seed)
	f, err := Start(ctx, config, folder)
	if err != nil {
		return t, err
	}
	defer f.Close()
	w := &walk{fleet: f, random: random, clock: clock.System(), tally: &t, took: map[int]int{}, lost: map[int]bool{}, leaving: map[int]bool{}, n: config.Nodes}
	w.start = w.clock.Now()
	if !w.form() {
		t.Violations = append(t.Violations, "no first sheet in force within 30 s")
		return t, nil
	}
	end := w.clock.Now().Add(span)
	for w.clock.Now().Before(end) {
		w.step()
	}
	w.finish()
	return t, nil
}

type walk struct {
	fleet  *Fleet
	random *rand.Rand
	clock  clock.Clock
	start  time.Time
	tally  *Tally
	n      int

	race    []*sending // orders under way, all on one base
	key     int        // newest key that was sent
	base    uint64
	next    uint64 // base after the orders under way
	acked   []ack
	lost    map[int]bool // keys of orders that lost a race
	took    map[int]int  // newest key that each life of a node took
	split   map[int]bool
	heal    time.Time
	back    map[int]time.Time
	leaving map[int]bool // asked to stop and still up
	turns   []int        // nodes to be replaced, one after another
	turnAt  time.Time
}

// sending is one operator's order and what became of it.
type sending struct {
	key     int
	answers chan Answer
	outcome int // status of the answer that settled it, 0 while it is open
}

type ack struct {
	key int
	at  time.Time
}

func (w *walk) pause(d time.Duration) { <-w.clock.After(d) }

func (w *walk) since() string {
	return fmt.Sprintf("%.1fs", w.clock.Now().Sub(w.start).Seconds())
}

func (w *walk) form() bool {
	for range 30 {
		a := w.fleet.First(w.random.IntN(w.n))
		if a.Status == 200 && a.InForce {
			w.base = a.SheetVersion
			w.acked = append(w.acked, ack{0, w.clock.Now()})
			w.back = map[int]time.Time{}
			return true
		}
		w.pause(time.Second)
	}
	return false
}

// step takes a tenth of a second: an order ends or begins, a fault may come or
// heal, and one node is asked with the newest keys.
func (w *walk) step() {
	w.pause(100 * time.Millisecond)
	w.order()
	w.fault()
	w.probe()
}

func (w *walk) order() {
	if w.race == nil {
		if w.random.IntN(6) == 0 {
			w.begin()
		}
		return
	}
	open, winners := 0, 0
	for _, s := range w.race {
		if s.outcome == 0 {
			w.answered(s)
		}
		switch s.outcome {
		case 0:
			open++
		case http.StatusOK:
			winners++
		}
	}
	if winners > 1 {
		w.violate("%d operators were told that they won on base %d", winners, w.base)
	}
	if open > 0 {
		return
	}
	if winners == 0 {
		w.violate("no order won on base %d", w.base)
	}
	w.race = nil
	w.base = w.next
}

// begin sends an order, or two that race on one base.
func (w *walk) begin() {
	n := 1
	if w.random.IntN(5) == 0 {
		n = 2
	}
	for range n {
		w.key++
		s := &sending{key: w.key}
		w.race = append(w.race, s)
		w.send(s)
	}
}

// answered takes the answer to an order, if there is one. What settles nothing
// is sent again.
func (w *walk) answered(s *sending) {
	select {
	case a := <-s.answers:
		switch {
		case a.Status == http.StatusOK && a.InForce:
			s.outcome = a.Status
			w.tally.Acknowledged++
			w.next = a.SheetVersion
			w.acked = append(w.acked, ack{s.key, w.clock.Now()})
		case a.Status == http.StatusConflict && a.Code == apierror.BaseMoved:
			s.outcome = a.Status
			w.lost[s.key] = true
		default:
			w.tally.Pending++
			w.send(s)
		}
	default:
	}
}

// send sends an order, again if need be, through a node that is up.
func (w *walk) send(s *sending) {
	i := w.random.IntN(w.n)
	for range w.n {
		if w.fleet.Running(i) {
			break
		}
		i = (i + 1) % w.n
	}
	answers, base := make(chan Answer, 1), w.base
	s.answers = answers
	go func() {
		a := w.fleet.Change(i, s.key, base)
		if a.Status != http.StatusOK {
			<-w.clock.After(300 * time.Millisecond)
		}
		answers <- a
	}()
}

func (w *walk) violate(format string, args ...any) {
	w.tally.Violations = append(w.tally.Violations, w.since()+" "+fmt.Sprintf(format, args...))
}

func (w *walk) note(format string, args ...any) {
	w.tally.Faults = append(w.tally.Faults, w.since()+" "+fmt.Sprintf(format, args...))
}

// probe asks one node with the newest key and, 2.5 s after a newer one was
// acknowledged, with an older one, which it must not take.
func (w *walk) probe() {
	i := w.random.IntN(w.n)
	if !w.fleet.Running(i) {
		return
	}
	newest, older := -1, -1
	for _, a := range w.acked {
		if w.clock.Now().Sub(a.at) > 2500*time.Millisecond {
			newest, older = a.key, newest
		}
	}
	asked := []int{w.key, older}
	if len(w.race) == 2 || w.lost[w.key] {
		asked = append(asked, w.key-1)
	}
	for _, k := range asked {
		if k < 0 {
			continue
		}
		w.tally.Asked++
		a := w.fleet.Ask(i, k)
		if a.Status != 200 {
			continue
		}
		w.tally.Taken++
		if w.lost[k] {
			w.violate("node %d took key %d of an order that lost", i, k)
		}
		if k < newest {
			w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("%s node %d took key %d although %d was acknowledged 2.5 s before", w.since(), i, k, newest))
		}
		if k < w.took[i] {
			w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("%s node %d stepped back from key %d to %d", w.since(), i, w.took[i], k))
		}
		w.took[i] = max(w.took[i], k)
	}
}

// finish heals everything, and reads back what was acknowledged last.
func (w *walk) finish() {
	if w.split != nil {
		w.fleet.Split(w.split, false)
	}
	for range 40 {
		w.pause(500 * time.Millisecond)
		w.leave(w.clock.Now())
		for i := range w.back {
			if !w.fleet.Running(i) {
				if err := w.fleet.Up(i); err != nil {
					w.violate("node %d doesn't start: %v", i, err)
				}
			}
		}
		if w.race != nil {
			w.order()
			continue
		}
		last := w.acked[len(w.acked)-1].key
		a := w.fleet.Read(w.random.IntN(w.n))
		if a.Status == 200 && a.Holds(last) {
			return
		}
		if a.Status == 200 {
			w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("%s read back epoch %d without the acknowledged key %d", w.since(), a.Version, last))
			return
		}
	}
	w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("20 s after the last fault: order under way %v, nothing can be read back", w.race != nil))
}
