package fleet

import (
	"fmt"
	"math/rand/v2"

	"stepwick/internal/kernel"
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

// Walk drives a fleet of nine through random faults for a span while an
// operator replaces the only key again and again, and judges: no node takes an
// older key 2.5 s after a newer one was acknowledged, none steps back, and
// what was acknowledged is read back at the end.
func Walk(ctx kernel.Context, seed uint64, folder string, span kernel.Duration) (t Tally, err error) {
	const n = 9
	t.Seed = seed
	random := Draw(seed)
	f, err := Start(ctx, n, folder)
	if err != nil {
		return t, err
	}
	defer f.Close()
	w := &walk{fleet: f, random: random, clock: kernel.System(), tally: &t, took: map[int]int{}, n: n}
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
	clock  kernel.Clock
	start  kernel.Time
	tally  *Tally
	n      int

	orders chan Answer // of the order under way, nil when none is
	key    int         // newest key that was sent
	base   uint64
	acked  []ack
	took   map[int]int // newest key that each life of a node took
	split  map[int]bool
	heal   kernel.Time
	back   map[int]kernel.Time
}

type ack struct {
	key int
	at  kernel.Time
}

func (w *walk) pause(d kernel.Duration) { <-w.clock.After(d) }

func (w *walk) since() string {
	return fmt.Sprintf("%.1fs", w.clock.Now().Sub(w.start).Seconds())
}

func (w *walk) form() bool {
	for range 30 {
		a := w.fleet.First(w.random.IntN(w.n))
		if a.Status == 200 && a.InForce {
			w.base = a.SheetEpoch
			w.acked = append(w.acked, ack{0, w.clock.Now()})
			w.back = map[int]kernel.Time{}
			return true
		}
		w.pause(kernel.Second)
	}
	return false
}

// step takes a tenth of a second: an order ends or begins, a fault may come or
// heal, and one node is asked with the newest keys.
func (w *walk) step() {
	w.pause(100 * kernel.Millisecond)
	w.order()
	w.fault()
	w.probe()
}

func (w *walk) order() {
	if w.orders != nil {
		select {
		case a := <-w.orders:
			w.orders = nil
			switch {
			case a.Status == 200 && a.InForce:
				w.tally.Acknowledged++
				w.base = a.SheetEpoch
				w.acked = append(w.acked, ack{w.key, w.clock.Now()})
			default:
				w.tally.Pending++
				w.send()
			}
		default:
		}
		return
	}
	if w.random.IntN(6) == 0 {
		w.key++
		w.send()
	}
}

// send sends the newest order, again if need be, through a node that is up.
func (w *walk) send() {
	i := w.random.IntN(w.n)
	for range w.n {
		if w.fleet.Running(i) {
			break
		}
		i = (i + 1) % w.n
	}
	orders, key, base := make(chan Answer, 1), w.key, w.base
	w.orders = orders
	go func() {
		a := w.fleet.Change(i, key, base)
		if a.Status != 200 {
			<-w.clock.After(300 * kernel.Millisecond)
		}
		orders <- a
	}()
}

func (w *walk) fault() {
	now := w.clock.Now()
	if w.split != nil && now.After(w.heal) {
		w.fleet.Split(w.split, false)
		w.split = nil
		w.note("heal")
	}
	for i, at := range w.back {
		if now.After(at) {
			delete(w.back, i)
			if err := w.fleet.Up(i); err != nil {
				w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("node %d doesn't start: %v", i, err))
			}
			w.note("up %d", i)
		}
	}
	if w.random.IntN(40) != 0 {
		return
	}
	switch w.random.IntN(5) {
	case 0, 1:
		w.kill(w.random.IntN(w.n))
	case 2:
		for range 2 + w.random.IntN(3) {
			w.kill(w.random.IntN(w.n))
		}
	default:
		if w.split != nil {
			return
		}
		w.split = map[int]bool{}
		if w.random.IntN(2) == 0 {
			w.split[w.random.IntN(w.n)] = true
		} else {
			for i := range w.n {
				w.split[i] = w.random.IntN(2) == 0
			}
		}
		w.heal = now.Add(kernel.Duration(3+w.random.IntN(25)) * kernel.Second)
		w.fleet.Split(w.split, true)
		w.note("split %v", w.split)
	}
}

// kill ends a node for a while; one core at a time may lose its disk, and only
// while the others are up.
func (w *walk) kill(i int) {
	if !w.fleet.Running(i) {
		return
	}
	w.fleet.Kill(i)
	delete(w.took, i)
	w.back[i] = w.clock.Now().Add(kernel.Duration(1+w.random.IntN(12)) * kernel.Second)
	if w.split != nil {
		w.fleet.Split(w.split, true)
	}
	wiped := i < cores && w.random.IntN(3) == 0 && w.wipeable(i)
	if wiped {
		if err := w.fleet.Wipe(i); err != nil {
			w.tally.Violations = append(w.tally.Violations, err.Error())
		}
	}
	w.note("kill %d wiped %v", i, wiped)
}

// wipeable tells whether the disks of all other cores are whole and voting.
func (w *walk) wipeable(i int) bool {
	for c := range cores {
		if c == i {
			continue
		}
		if !w.fleet.Running(c) || w.fleet.standing(c) != "voting" {
			return false
		}
	}
	return true
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
	newest := -1
	for _, a := range w.acked {
		if w.clock.Now().Sub(a.at) > 2500*kernel.Millisecond {
			newest = a.key
		}
	}
	for _, k := range []int{w.key, newest - 1} {
		if k < 0 {
			continue
		}
		w.tally.Asked++
		a := w.fleet.Ask(i, k)
		if a.Status != 200 {
			continue
		}
		w.tally.Taken++
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
	for i := range w.back {
		if err := w.fleet.Up(i); err != nil {
			w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("node %d doesn't start: %v", i, err))
		}
	}
	last := w.acked[len(w.acked)-1].key
	for range 40 {
		w.pause(500 * kernel.Millisecond)
		if w.orders != nil {
			select {
			case a := <-w.orders:
				w.orders = nil
				if a.Status != 200 || !a.InForce {
					w.send()
				} else {
					last = w.key
				}
			default:
			}
			continue
		}
		a := w.fleet.Read(w.random.IntN(w.n))
		if a.Status == 200 && a.Holds(last) {
			return
		}
		if a.Status == 200 {
			w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("%s read back epoch %d without the acknowledged key %d", w.since(), a.Epoch, last))
			return
		}
	}
	w.tally.Violations = append(w.tally.Violations, fmt.Sprintf("20 s after the last fault: order under way %v, nothing can be read back", w.orders != nil))
}
