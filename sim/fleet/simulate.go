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

// Report counts what one run did, and lists its faults and violations.
type Report struct {
	Seed         uint64
	Acknowledged int
	Pending      int
	Asked        int
	Taken        int // probes that a node accepted, with any key
	Faults       []string
	Violations   []string
}

// Simulate drives a fleet of the first deployment's size through faults; see SimulateIn.
func Simulate(ctx context.Context, seed uint64, folder string, span time.Duration) (Report, error) {
	return SimulateIn(ctx, small, seed, folder, span)
}

// SimulateIn drives a fleet through random faults for a span while operators
// replace the only key again and again, now and then two of them on one base,
// and checks: no node takes an older key 2.5 s after a newer one was
// acknowledged, none steps back, of a race one operator wins and the other's key
// is never taken, and what was acknowledged is read back at the end.
func SimulateIn(ctx context.Context, config Config, seed uint64, folder string, span time.Duration) (report Report, err error) {
	report.Seed = seed
	random := Draw(seed)
	f, err := Start(ctx, config, folder)
	if err != nil {
		return report, err
	}
	defer f.Close()
	w := &simulation{fleet: f, random: random, clock: clock.System(), report: &report, took: map[int]int{}, lost: map[int]bool{}, leaving: map[int]bool{}, n: config.Nodes}
	w.start = w.clock.Now()
	if !w.form() {
		report.Violations = append(report.Violations, "no first sheet in force within 30 s")
		return report, nil
	}
	end := w.clock.Now().Add(span)
	for w.clock.Now().Before(end) {
		w.step()
	}
	w.finish()
	return report, nil
}

// simulation is the state of one run: the fleet, its faults and the operators'
// orders.
type simulation struct {
	fleet  *Fleet
	random *rand.Rand
	clock  clock.Clock
	start  time.Time
	report *Report
	n      int

	race    []*sending // orders under way, all on one base
	key     int        // newest key that was sent
	base    uint64
	next    uint64 // base after the orders under way
	acked   []ack
	lost    map[int]bool // keys of orders that lost a race
	took    map[int]int  // newest key that the incarnation of a node accepted
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

func (w *simulation) pause(d time.Duration) { <-w.clock.After(d) }

func (w *simulation) since() string {
	return fmt.Sprintf("%.1fs", w.clock.Now().Sub(w.start).Seconds())
}

func (w *simulation) form() bool {
	for range 30 {
		a := w.fleet.First(w.random.IntN(w.n))
		if a.Status == http.StatusOK && a.InForce {
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
func (w *simulation) step() {
	w.pause(100 * time.Millisecond)
	w.order()
	w.fault()
	w.probe()
}

func (w *simulation) order() {
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
func (w *simulation) begin() {
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

// answered handles the answer to an order, if there is one. An order that neither
// won nor lost is sent again.
func (w *simulation) answered(s *sending) {
	select {
	case a := <-s.answers:
		switch {
		case a.Status == http.StatusOK && a.InForce:
			s.outcome = a.Status
			w.report.Acknowledged++
			w.next = a.SheetVersion
			w.acked = append(w.acked, ack{s.key, w.clock.Now()})
		case a.Status == http.StatusConflict && a.Code == apierror.BaseConflict:
			s.outcome = a.Status
			w.lost[s.key] = true
		default:
			w.report.Pending++
			w.send(s)
		}
	default:
	}
}

// send sends an order, or sends it again, through a running node.
func (w *simulation) send(s *sending) {
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

func (w *simulation) violate(format string, args ...any) {
	w.report.Violations = append(w.report.Violations, w.since()+" "+fmt.Sprintf(format, args...))
}

func (w *simulation) note(format string, args ...any) {
	w.report.Faults = append(w.report.Faults, w.since()+" "+fmt.Sprintf(format, args...))
}

// ruleDelay is the time after an acknowledgement from which no node may accept an
// older key.
const ruleDelay = 2500 * time.Millisecond

// probe sends one node the newest key and, 2.5 s after a newer one was
// acknowledged, an older one, which it must refuse.
func (w *simulation) probe() {
	i := w.random.IntN(w.n)
	if !w.fleet.Running(i) {
		return
	}
	newest, older := -1, -1
	for _, a := range w.acked {
		if w.clock.Now().Sub(a.at) > ruleDelay {
			newest, older = a.key, newest
		}
	}
	keys := []int{w.key, older}
	if len(w.race) == 2 || w.lost[w.key] {
		keys = append(keys, w.key-1)
	}
	for _, k := range keys {
		if k >= 0 {
			w.probeKey(i, k, newest)
		}
	}
}

// probeKey sends node i a key and checks what it accepts. newest is the newest key
// that no node may be behind of.
func (w *simulation) probeKey(i, k, newest int) {
	w.report.Asked++
	if w.fleet.Ask(i, k).Status != http.StatusOK {
		return
	}
	w.report.Taken++
	if w.lost[k] {
		w.violate("node %d took key %d of an order that lost", i, k)
	}
	if k < newest {
		w.violate("node %d took key %d although %d was acknowledged 2.5 s before", i, k, newest)
	}
	if k < w.took[i] {
		w.violate("node %d stepped back from key %d to %d", i, w.took[i], k)
	}
	w.took[i] = max(w.took[i], k)
}

// finish ends all faults, and reads back what was acknowledged last.
func (w *simulation) finish() {
	if w.split != nil {
		w.fleet.Split(w.split, false)
	}
	for range 40 {
		w.pause(500 * time.Millisecond)
		w.leave(w.clock.Now())
		w.restartAll()
		if w.race != nil {
			w.order()
			continue
		}
		last := w.acked[len(w.acked)-1].key
		a := w.fleet.Read(w.random.IntN(w.n))
		if a.Status != http.StatusOK {
			continue
		}
		if !a.Holds(last) {
			w.violate("read back epoch %d without the acknowledged key %d", a.Version, last)
		}
		return
	}
	w.report.Violations = append(w.report.Violations, fmt.Sprintf("20 s after the last fault: order under way %v, nothing can be read back", w.race != nil))
}

// restartAll restarts the nodes that are down.
func (w *simulation) restartAll() {
	for i := range w.back {
		if w.fleet.Running(i) {
			continue
		}
		if err := w.fleet.Up(i); err != nil {
			w.violate("node %d doesn't start: %v", i, err)
		}
	}
}
